#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_result.h"
#include "base/ba_settings.h"
#include "distrib/ds_store.h"

enum { STORE_LIMIT_BYTES = 16 * 1024 * 1024 };

static int write_synced(const char *path, const struct ba_buf *content);
static int write_all(int fd, const struct ba_buf *content);
static int sync_folder(const char *folder);
static int result_code(int err);

/* The file starts with a digest of the rest, which detects damage. */
int ds_store_write(const char *folder, const struct cf_snapshot *s)
{
	char *path = g_build_filename(folder, "snapshot", NULL);
	char *next = g_build_filename(folder, "snapshot.next", NULL);
	struct ba_buf body = {0};
	struct ba_buf file = {0};
	struct ba_digest digest;
	int ret;

	cf_snapshot_encode(s, CF_FORM_DIGESTS, &body);
	digest = ba_digest(body.data, body.len);
	ba_buf_add(&file, digest.bytes, sizeof(digest.bytes));
	ba_buf_add(&file, body.data, body.len);
	ret = write_synced(next, &file);
	if (!ret && rename(next, path))
		ret = result_code(errno);
	if (!ret)
		ret = sync_folder(folder);
	ba_buf_free(&body);
	ba_buf_free(&file);
	g_free(path);
	g_free(next);
	return ret;
}

struct cf_snapshot *ds_store_read(const char *folder)
{
	char *path = g_build_filename(folder, "snapshot", NULL);
	struct cf_snapshot *s = NULL;
	struct ba_buf file = {0};
	struct ba_digest stored = {{0}};
	struct ba_digest computed;

	if (!ba_file_read(path, STORE_LIMIT_BYTES, &file) &&
	    file.len > sizeof(stored.bytes)) {
		memcpy(stored.bytes, file.data, sizeof(stored.bytes));
		ba_buf_consume(&file, sizeof(stored.bytes));
		computed = ba_digest(file.data, file.len);
		if (ba_digest_equal(&stored, &computed) &&
		    cf_snapshot_decode(file.data, file.len, &s))
			s = NULL;
	}
	ba_buf_free(&file);
	g_free(path);
	return s;
}

static int write_synced(const char *path, const struct ba_buf *content)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	int ret;

	if (fd < 0)
		return result_code(errno);
	ret = write_all(fd, content);
	if (!ret && fsync(fd))
		ret = result_code(errno);
	close(fd);
	return ret;
}

static int write_all(int fd, const struct ba_buf *content)
{
	size_t done = 0;

	while (done < content->len) {
		ssize_t n =
			write(fd, content->data + done, content->len - done);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return result_code(errno);
		done += (size_t)n;
	}
	return BA_OK;
}

static int sync_folder(const char *folder)
{
	int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	int ret = BA_OK;

	if (fd < 0)
		return result_code(errno);
	if (fsync(fd))
		ret = result_code(errno);
	close(fd);
	return ret;
}

static int result_code(int err)
{
	return err == ENOSPC || err == EDQUOT ? BA_DISK_FULL
					      : BA_FOLDER_UNWRITABLE;
}
