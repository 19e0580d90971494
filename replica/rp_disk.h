/*
 * Store of a replica in a data folder.  Files:
 *
 *   meta      two slots, written in turn: disk identity, term, vote and the
 *             synced index, which is the index of the last synced entry
 *   log       records, each with length, checksum and a packed RpEntry
 *   snapshot  index, term, checksum and a packed RpState
 *   lock      locked with flock() while a process uses the folder
 *
 * Rules:
 * - The synced index is written durably before an entry is acknowledged.  A
 *   record with a wrong checksum is therefore damage when its index is at most
 *   the synced index, and a torn write otherwise.
 * - The files of a damaged folder are renamed, never truncated.
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
 * Return: %BA_OK, or %BA_FOLDER_UNWRITABLE, also when another process uses
 * the folder.
 */
int rp_disk_open(const char *folder, struct rp_store **out);

#ifdef __cplusplus
}
#endif
#endif
