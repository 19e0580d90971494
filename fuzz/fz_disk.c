/*
 * The files of a replica's data folder.  The input has a byte that chooses the
 * file, log or snapshot or meta, and its content; the others are as written.
 */
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include "base/ba_result.h"
#include "fuzz/fz.h"
#include "replica/rp_disk.h"
#include "replica/rp_log.h"

static const char *const names[] = {"log", "snapshot", "meta"};

static void empty_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	char *path;

	while (dir && (name = g_dir_read_name(dir))) {
		path = g_build_filename(folder, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
}

static void check(const struct rp_recovered *r)
{
	for (size_t i = 0; i < r->log.n; i++)
		fz_require(r->log.entries[i]->index == r->log.first + i,
			   "entries are in order, without a gap");
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static char *folder;
	struct rp_store *store = NULL;
	struct rp_recovered r = {0};
	char *path;

	if (!len)
		return 0;
	if (!folder)
		folder = g_dir_make_tmp("fz_disk_XXXXXX", NULL);
	empty_folder(folder);
	path = g_build_filename(folder, names[data[0] % 3], NULL);
	g_file_set_contents(path, (const char *)data + 1, (gssize)len - 1,
			    NULL);
	g_free(path);
	if (rp_disk_open(folder, &store))
		return 0;
	if (!store->ops->load(store, &r))
		check(&r);
	rp_log_free(&r.log);
	ba_buf_free(&r.snapshot);
	store->ops->close(store);
	return 0;
}
