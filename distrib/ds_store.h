/*
 * The snapshot that a daemon stores in its data folder.  It records the
 * highest version held, and is what the daemon serves with after a restart
 * while it is cut off.
 */
#ifndef DS_STORE_H
#define DS_STORE_H

#include "config/cf.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * ds_store_write() - store @s in @folder in place of an older one, and sync it
 *
 * Return: %BA_OK, %BA_DISK_FULL or %BA_FOLDER_UNWRITABLE.
 */
int ds_store_write(const char *folder, const struct cf_snapshot *s);

/**
 * ds_store_read() - read the snapshot stored in @folder
 *
 * Return: the snapshot, or NULL if there is none or it is damaged.
 */
struct cf_snapshot *ds_store_read(const char *folder);

#ifdef __cplusplus
}
#endif
#endif
