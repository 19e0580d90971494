/*
 * A store in a data folder.  Files:
 *
 *   meta      two slots, written in turn: disk identity, term, vote and the
 *             mark, which is the last index that was synced
 *   log       records of length, checksum and a packed RpEntry
 *   snapshot  index, term, checksum and a packed RpState
 *   lock      held while a process uses the folder
 *
 * Rules:
 * - The mark is synced before an entry is acknowledged, so that a record
 *   which fails its checksum is a torn one behind the mark and a damaged
 *   one up to it.
 * - A damaged folder is set aside under a new name, never cut.
 */
#ifndef RP_DISK_H
#define RP_DISK_H

#include "replica/rp_store.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * rp_disk_open() - open or create a data folder
 *
 * Return: %BA_OK, or %BA_FOLDER_UNWRITABLE, also when another process
 * uses the folder.
 */
int rp_disk_open(const char *folder, struct rp_store **out);

#ifdef __cplusplus
}
#endif
#endif
