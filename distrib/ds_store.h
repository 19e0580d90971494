/*
 * The snapshot a daemon keeps in its data folder: its highest version held,
 * and what it serves after a restart when it is cut off.
 */
#ifndef DS_STORE_H
#define DS_STORE_H

#include "config/cf.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * ds_store_write() - keep @s in @folder, synced, in place of an older one
 *
 * Return: %BA_OK, %BA_DISK_FULL or %BA_FOLDER_UNWRITABLE.
 */
int ds_store_write(const char *folder, const struct cf_snapshot *s);

/**
 * ds_store_read() - the snapshot kept in @folder, or NULL when there is none
 * or it is damaged
 */
struct cf_snapshot *ds_store_read(const char *folder);

#ifdef __cplusplus
}
#endif
#endif
