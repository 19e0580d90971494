/*
 * Writing files so that their content survives a crash.  The functions return
 * %BA_OK, %BA_DISK_FULL or %BA_FOLDER_UNWRITABLE.
 */
#ifndef RP_FILE_H
#define RP_FILE_H

#include <sys/types.h>

#include "base/ba_buf.h"

enum { RP_FILE_MODE = 0600 };

/** rp_file_write() - write all of @data at offset @at, not yet durable */
int rp_file_write(int fd, const void *data, size_t len, off_t at);

/** rp_file_replace() - atomically and durably replace file @name */
int rp_file_replace(int dir_fd, const char *name, const struct ba_buf *content);

/** rp_file_error() - result code for the current errno; never %BA_OK */
int rp_file_error(void);

#endif
