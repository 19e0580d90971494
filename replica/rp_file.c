#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_result.h"
#include "replica/rp_file.h"

enum { NAME_BYTES = 64 };

int rp_file_write(int fd, const void *data, size_t len, off_t at)
{
	const uint8_t *p = data;

	while (len) {
		ssize_t n = pwrite(fd, p, len, at);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return rp_file_error();
		p += n;
		at += n;
		len -= (size_t)n;
	}
	return BA_OK;
}

int rp_file_replace(int dir_fd, const char *name, const struct ba_buf *content)
{
	char temporary[NAME_BYTES];
	int fd;
	int ret;

	g_snprintf(temporary, sizeof(temporary), "%s.new", name);
	fd = openat(dir_fd, temporary, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC,
		    RP_FILE_MODE);
	if (fd < 0)
		return rp_file_error();
	ret = rp_file_write(fd, content->data, content->len, 0);
	if (!ret && fsync(fd))
		ret = rp_file_error();
	close(fd);
	if (!ret &&
	    (renameat(dir_fd, temporary, dir_fd, name) || fsync(dir_fd)))
		ret = rp_file_error();
	if (ret)
		unlinkat(dir_fd, temporary, 0);
	return ret;
}

int rp_file_error(void)
{
	if (errno == ENOSPC || errno == EDQUOT || errno == EFBIG)
		return BA_DISK_FULL;
	return BA_FOLDER_UNWRITABLE;
}
