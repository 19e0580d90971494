#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib.h>
#include <sodium.h>

#include "base/ba_digest.h"
#include "base/ba_result.h"
#include "base/ba_settings.h"
#include "replica/rp_disk.h"
#include "replica/rp_file.h"
#include "replica/rp_record.h"

#define FILE_LIMIT_BYTES ((size_t)4 << 30)

enum {
	FOLDER_MODE = 0700,
	NAME_BYTES = 64,
};

/*
 * @pending: appended records that are not yet synced
 * @pending_last: index of the last of these records
 * @log_size: synced bytes of the log file
 * @last: index of the last entry in the log file
 */
struct rp_disk {
	struct rp_store store;
	char *folder;
	int dir_fd;
	int lock_fd;
	int meta_fd;
	int log_fd;
	struct rp_meta meta;
	struct ba_buf pending;
	uint64_t pending_last;
	off_t log_size;
	uint64_t last;
};

static int disk_load(struct rp_store *s, struct rp_recovered *out);
static int disk_append(struct rp_store *s, const struct rp_entry *e);
static int disk_sync(struct rp_store *s);
static int disk_truncate(struct rp_store *s, uint64_t index);
static int disk_save_vote(struct rp_store *s, uint64_t term, const char *vote);
static int disk_save_leader(struct rp_store *s, const char *leader);
static int disk_save_snapshot(struct rp_store *s, uint64_t index, uint64_t term,
			      const struct ba_buf *state, uint64_t keep_from,
			      bool reset);
static void disk_close(struct rp_store *s);

static const struct rp_store_ops disk_ops = {
	.load = disk_load,
	.append = disk_append,
	.sync = disk_sync,
	.truncate = disk_truncate,
	.save_vote = disk_save_vote,
	.save_leader = disk_save_leader,
	.save_snapshot = disk_save_snapshot,
	.close = disk_close,
};

static int open_folder(struct rp_disk *d);
static int open_data(struct rp_disk *d);
static bool load_meta(struct rp_disk *d, bool *fresh);
static int init_meta(struct rp_disk *d);
static void generate_disk_id(struct rp_disk *d);
static bool load_snapshot(struct rp_disk *d, struct rp_recovered *out);
static bool load_log(struct rp_disk *d, struct rp_recovered *out);
static bool read_records(struct rp_disk *d, const struct ba_buf *file,
			 struct rp_recovered *out);
static bool reconcile_log(struct rp_disk *d, struct rp_recovered *out);
static bool is_next_entry(const struct rp_log *l, const struct rp_entry *e);
static int set_aside(struct rp_disk *d, struct rp_recovered *out);
static int save_meta(struct rp_disk *d);
static int read_file(struct rp_disk *d, const char *name, struct ba_buf *out);
static int rewrite_log(struct rp_disk *d, uint64_t from, uint64_t to);
static int select_records(struct rp_disk *d, uint64_t from, uint64_t to,
			  struct ba_buf *out);

int rp_disk_open(const char *folder, struct rp_store **out)
{
	struct rp_disk *d = g_new0(struct rp_disk, 1);
	int ret;

	d->store.ops = &disk_ops;
	d->folder = g_strdup(folder);
	d->dir_fd = d->lock_fd = d->meta_fd = d->log_fd = -1;
	ret = open_folder(d);
	if (!ret)
		ret = open_data(d);
	if (ret) {
		disk_close(&d->store);
		return ret;
	}
	*out = &d->store;
	return BA_OK;
}

static int disk_load(struct rp_store *s, struct rp_recovered *out)
{
	struct rp_disk *d = (struct rp_disk *)s;
	bool fresh;
	bool valid = load_meta(d, &fresh);
	int ret = BA_OK;

	rp_log_init(&out->log, 0, 0);
	if (fresh) {
		ret = init_meta(d);
	} else if (!valid || !load_snapshot(d, out) || !load_log(d, out)) {
		ret = set_aside(d, out);
	}
	out->term = d->meta.term;
	out->damaged = d->meta.damaged;
	memcpy(out->vote, d->meta.vote, sizeof(out->vote));
	memcpy(out->leader, d->meta.leader, sizeof(out->leader));
	memcpy(out->disk_id, d->meta.disk_id, sizeof(out->disk_id));
	return ret;
}

static int disk_append(struct rp_store *s, const struct rp_entry *e)
{
	struct rp_disk *d = (struct rp_disk *)s;
	int ret = BA_OK;

	if (!d->pending.len && e->index <= d->last)
		ret = disk_truncate(s, e->index);
	if (ret)
		return ret;
	rp_record_add(&d->pending, e);
	d->pending_last = e->index;
	return BA_OK;
}

/* The entries are synced before the synced index is advanced past them. */
static int disk_sync(struct rp_store *s)
{
	struct rp_disk *d = (struct rp_disk *)s;
	struct rp_meta before = d->meta;
	int ret = rp_file_write(d->log_fd, d->pending.data, d->pending.len,
				d->log_size);

	if (!ret && fdatasync(d->log_fd))
		ret = rp_file_error();
	if (!ret) {
		d->meta.synced_index = d->pending_last;
		d->meta.damaged = false;
		ret = save_meta(d);
	}
	if (ret) {
		d->meta = before;
		if (ftruncate(d->log_fd, d->log_size))
			ret = rp_file_error();
	} else {
		d->last = d->pending_last;
		d->log_size += (off_t)d->pending.len;
	}
	d->pending.len = 0;
	return ret;
}

/*
 * The synced index is lowered before the log is cut, so that after a crash in
 * between the missing entries are not taken for damage.
 */
static int disk_truncate(struct rp_store *s, uint64_t index)
{
	struct rp_disk *d = (struct rp_disk *)s;
	int ret;

	d->meta.synced_index = MIN(d->meta.synced_index, index - 1);
	d->pending.len = 0;
	ret = save_meta(d);
	if (!ret)
		ret = rewrite_log(d, 0, index - 1);
	if (!ret)
		d->last = MIN(d->last, index - 1);
	return ret;
}

/* Written to both slots, so that the vote survives damage to one of them. */
static int disk_save_vote(struct rp_store *s, uint64_t term, const char *vote)
{
	struct rp_disk *d = (struct rp_disk *)s;
	struct rp_meta before = d->meta;
	int ret;

	d->meta.term = term;
	memset(d->meta.vote, 0, sizeof(d->meta.vote));
	g_strlcpy(d->meta.vote, vote, sizeof(d->meta.vote));
	memset(d->meta.leader, 0, sizeof(d->meta.leader));
	ret = save_meta(d);
	if (!ret)
		ret = save_meta(d);
	if (ret)
		d->meta = before;
	return ret;
}

static int disk_save_leader(struct rp_store *s, const char *leader)
{
	struct rp_disk *d = (struct rp_disk *)s;
	struct rp_meta before = d->meta;
	int ret;

	memset(d->meta.leader, 0, sizeof(d->meta.leader));
	g_strlcpy(d->meta.leader, leader, sizeof(d->meta.leader));
	ret = save_meta(d);
	if (ret)
		d->meta = before;
	return ret;
}

static int disk_save_snapshot(struct rp_store *s, uint64_t index, uint64_t term,
			      const struct ba_buf *state, uint64_t keep_from,
			      bool reset)
{
	struct rp_disk *d = (struct rp_disk *)s;
	struct ba_buf file = {0};
	int ret;

	rp_snapshot_write(&file, index, term, state);
	ret = rp_file_replace(d->dir_fd, "snapshot", &file);
	ba_buf_free(&file);
	if (ret)
		return ret;
	if (!reset)
		return rewrite_log(d, keep_from, UINT64_MAX);
	d->meta.synced_index = index;
	d->meta.damaged = false;
	ret = save_meta(d);
	if (!ret)
		ret = rewrite_log(d, index, 0);
	if (!ret)
		d->last = index;
	return ret;
}

static void disk_close(struct rp_store *s)
{
	struct rp_disk *d = (struct rp_disk *)s;
	int *const fds[] = {&d->log_fd, &d->meta_fd, &d->lock_fd, &d->dir_fd};

	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		if (*fds[i] >= 0)
			close(*fds[i]);
	ba_buf_free(&d->pending);
	g_free(d->folder);
	g_free(d);
}

static int open_folder(struct rp_disk *d)
{
	if (g_mkdir_with_parents(d->folder, FOLDER_MODE))
		return BA_FOLDER_UNWRITABLE;
	d->dir_fd = open(d->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (d->dir_fd < 0)
		return BA_FOLDER_UNWRITABLE;
	d->lock_fd = openat(d->dir_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC,
			    RP_FILE_MODE);
	if (d->lock_fd < 0 || flock(d->lock_fd, LOCK_EX | LOCK_NB))
		return BA_FOLDER_UNWRITABLE;
	return BA_OK;
}

static int open_data(struct rp_disk *d)
{
	d->meta_fd = openat(d->dir_fd, "meta", O_RDWR | O_CREAT | O_CLOEXEC,
			    RP_FILE_MODE);
	d->log_fd = openat(d->dir_fd, "log", O_RDWR | O_CREAT | O_CLOEXEC,
			   RP_FILE_MODE);
	if (d->meta_fd < 0 || d->log_fd < 0 || fsync(d->dir_fd))
		return BA_FOLDER_UNWRITABLE;
	return BA_OK;
}

/*
 * Reads the newer valid slot into @d->meta; returns whether there is one.
 * @fresh: the folder is new, or its first start was not completed; in any other
 *	folder meta, log and snapshot must be valid
 */
static bool load_meta(struct rp_disk *d, bool *fresh)
{
	struct ba_buf file = {0};
	struct rp_meta slot;
	struct stat log;
	bool found = false;

	read_file(d, "meta", &file);
	for (size_t at = 0; at + RP_META_SLOT_BYTES <= file.len;
	     at += RP_META_SLOT_BYTES) {
		if (!rp_meta_read(file.data + at, &slot))
			continue;
		if (!found || slot.sequence > d->meta.sequence)
			d->meta = slot;
		found = true;
	}
	*fresh = file.len < 2 * RP_META_SLOT_BYTES && !fstat(d->log_fd, &log) &&
		 !log.st_size && faccessat(d->dir_fd, "snapshot", F_OK, 0);
	ba_buf_free(&file);
	return found;
}

/*
 * Both slots are written, slot 0 first, so that later writes need no more disk
 * space.
 */
static int init_meta(struct rp_disk *d)
{
	int ret;

	generate_disk_id(d);
	d->meta.sequence |= 1;
	ret = save_meta(d);
	return ret ? ret : save_meta(d);
}

static void generate_disk_id(struct rp_disk *d)
{
	uint8_t id[(RP_DISK_ID_BYTES - 1) / 2];

	ba_random_bytes(id, sizeof(id));
	sodium_bin2hex(d->meta.disk_id, sizeof(d->meta.disk_id), id,
		       sizeof(id));
}

static bool load_snapshot(struct rp_disk *d, struct rp_recovered *out)
{
	struct ba_buf file = {0};
	uint64_t index = 0;
	uint64_t term = 0;
	bool valid = true;

	if (!faccessat(d->dir_fd, "snapshot", F_OK, 0))
		valid = !read_file(d, "snapshot", &file) &&
			rp_snapshot_read(&file, &index, &term, &out->snapshot);
	ba_buf_free(&file);
	rp_log_init(&out->log, index, term);
	return valid;
}

static bool load_log(struct rp_disk *d, struct rp_recovered *out)
{
	struct ba_buf file = {0};
	bool valid = !read_file(d, "log", &file) && read_records(d, &file, out);

	ba_buf_free(&file);
	return valid;
}

/*
 * Bytes after the last valid record were never synced, or are damaged: damage
 * is reported when records up to the synced index are missing.
 */
static bool read_records(struct rp_disk *d, const struct ba_buf *file,
			 struct rp_recovered *out)
{
	size_t at = 0;
	size_t size = 0;

	while (at < file->len) {
		struct rp_entry *e =
			rp_record_read(file->data + at, file->len - at, &size);

		if (!e)
			break;
		if (!is_next_entry(&out->log, e)) {
			g_free(e);
			return false;
		}
		rp_log_append(&out->log, e);
		at += size;
	}
	d->last = rp_log_last(&out->log);
	d->log_size = (off_t)at;
	out->cut_bytes = file->len - at;
	if (d->last < d->meta.synced_index &&
	    out->log.snapshot_index < d->meta.synced_index)
		return false;
	if (out->cut_bytes && ftruncate(d->log_fd, d->log_size))
		return false;
	return reconcile_log(d, out);
}

/*
 * After a crash during the installation of a snapshot, the log may not follow
 * the snapshot, and is dropped.  Complete records after the synced index are
 * kept, and the synced index is advanced to them.
 */
static bool reconcile_log(struct rp_disk *d, struct rp_recovered *out)
{
	struct rp_log *l = &out->log;
	const struct rp_entry *e = rp_log_get(l, l->snapshot_index);

	if (d->last < l->snapshot_index || (e && e->term != l->snapshot_term)) {
		rp_log_reset(l, l->snapshot_index, l->snapshot_term);
		if (rewrite_log(d, l->snapshot_index + 1, 0))
			return false;
	}
	d->last = rp_log_last(l);
	if (d->last == d->meta.synced_index)
		return true;
	d->meta.synced_index = d->last;
	return !fdatasync(d->log_fd) && !save_meta(d);
}

/* The log may begin before the snapshot ends, but leaves no gap after it. */
static bool is_next_entry(const struct rp_log *l, const struct rp_entry *e)
{
	if (l->n)
		return e->index == rp_log_last(l) + 1;
	return e->index && e->index <= l->snapshot_index + 1;
}

/*
 * The damaged files are renamed, so that an operator can examine them, and the
 * replica starts with an empty store and a new disk identity.
 */
static int set_aside(struct rp_disk *d, struct rp_recovered *out)
{
	static const char *const names[] = {"meta", "log", "snapshot"};
	uint64_t sequence = d->meta.sequence;
	uint64_t term = d->meta.term;
	char to[NAME_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_snprintf(to, sizeof(to), "%s.damaged-%lld", names[i],
			   (long long)g_get_real_time());
		if (renameat(d->dir_fd, names[i], d->dir_fd, to) &&
		    errno != ENOENT)
			return BA_FOLDER_UNWRITABLE;
	}
	close(d->meta_fd);
	close(d->log_fd);
	rp_log_free(&out->log);
	rp_log_init(&out->log, 0, 0);
	out->snapshot.len = 0;
	out->cut_bytes = 0;
	memset(&d->meta, 0, sizeof(d->meta));
	d->meta.sequence = sequence;
	d->meta.term = term;
	d->meta.damaged = true;
	d->last = 0;
	d->log_size = 0;
	return open_data(d) ? BA_FOLDER_UNWRITABLE : init_meta(d);
}

static int save_meta(struct rp_disk *d)
{
	uint8_t slot[RP_META_SLOT_BYTES];
	int ret;

	d->meta.sequence++;
	rp_meta_write(slot, &d->meta);
	ret = rp_file_write(d->meta_fd, slot, sizeof(slot),
			    (off_t)(d->meta.sequence % 2) * RP_META_SLOT_BYTES);
	if (!ret && fdatasync(d->meta_fd))
		ret = rp_file_error();
	return ret;
}

static int read_file(struct rp_disk *d, const char *name, struct ba_buf *out)
{
	char *path = g_build_filename(d->folder, name, NULL);
	int ret = ba_file_read(path, FILE_LIMIT_BYTES, out);

	g_free(path);
	return ret;
}

/* Keeps the records of entries @from to @to; none when @to is before @from. */
static int rewrite_log(struct rp_disk *d, uint64_t from, uint64_t to)
{
	struct ba_buf kept = {0};
	int ret = select_records(d, from, to, &kept);
	int fd;

	if (!ret)
		ret = rp_file_replace(d->dir_fd, "log", &kept);
	if (!ret) {
		fd = openat(d->dir_fd, "log", O_RDWR | O_CLOEXEC);
		if (fd < 0) {
			ret = BA_FOLDER_UNWRITABLE;
		} else {
			close(d->log_fd);
			d->log_fd = fd;
			d->log_size = (off_t)kept.len;
		}
	}
	ba_buf_free(&kept);
	return ret;
}

static int select_records(struct rp_disk *d, uint64_t from, uint64_t to,
			  struct ba_buf *out)
{
	struct ba_buf file = {0};
	size_t at = 0;
	size_t size = 0;
	int ret = read_file(d, "log", &file);

	while (!ret && at < file.len) {
		struct rp_entry *e =
			rp_record_read(file.data + at, file.len - at, &size);

		if (!e)
			break;
		if (e->index >= from && e->index <= to)
			ba_buf_add(out, file.data + at, size);
		g_free(e);
		at += size;
	}
	ba_buf_free(&file);
	return ret ? BA_FOLDER_UNWRITABLE : BA_OK;
}
