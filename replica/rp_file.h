/*
 * Writing files so that they outlive a crash.  All
 * return %BA_OK, %BA_DISK_FULL or %BA_FOLDER_UNWRITABLE.
 */
#ifndef RP_FILE_H
#define RP_FILE_H

#include <sys/types.h>

#include "base/ba_buf.h"

enum { RP_FILE_MODE = 0600 };

/** rp_file_write() - write all of @data at @at, not yet durable */
int rp_file_write(int fd, const void *data, size_t len, off_t at);

/** rp_file_replace() - put @content in place of file @name, durably */
int rp_file_replace(int dir_fd, const char *name, const struct ba_buf *content);

/** rp_file_failure() - the result code for errno */
int rp_file_failure(void);

#endif
