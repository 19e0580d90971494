/*
 * Writes the first inputs of the fuzz targets, in a folder for each target;
 * those that are plain text lie in fuzz/seeds.
 *
 * usage: fz_seeds FOLDER
 */
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "base/ba_result.h"
#include "config/cf.h"
#include "fuzz/fz.h"
#include "platform/pf.h"
#include "replica/rp_disk.h"
#include "replica/rp_log.h"
#include "wire/ds.pb-c.h"
#include "wire/ep.pb-c.h"
#include "wire/wi.pb-c.h"
#include "wire/wi_frame.h"

enum { FOLDER_MODE = 0700, ENTRIES = 10, SNAPSHOT = 4 };

static const char configuration[] =
	"[[services]]\nname = \"orders\"\nmax_in_flight = 9\n"
	"timeout = \"2s\"\n[[routes]]\nname = \"r\"\npath = \"/orders\"\n"
	"service = \"orders\"\nidempotent = true\n";
static const char policy[] = "[mesh]\nconvergence_weight = 40\n"
			     "[[rows]]\nservice = \"orders\"\nweight = 3\n";

static const char *const requests[] = {
	"GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbodyGET / "
	"HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: z\r\n\r\n",
	"HEAD / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	"GET / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
	"OPTIONS * HTTP/1.1\r\nConnection: close, upgrade\r\nUpgrade: h2c\r\n"
	"\r\n",
};

static const char *const answers[] = {
	"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbodymore",
	"HTTP/1.1 103 X\r\nLink: <a>\r\n\r\nHTTP/1.0 404\r\n\r\nbody",
	"HTTP/1.1 200\nTransfer-Encoding: chunked\n\n2;a\r\nde\r\n0\r\nX: 1\r\n\n",
	"HTTP/1.1 304 X\nX-A: a\n b\nConnection: close\n\n",
	"HTTP/1.1 204 X\r\nContent-Length: 1\r\n\r\n",
};

static void save(const char *folder, const char *target, int first,
		 const char *name, const void *data, size_t len)
{
	char *dir = g_build_filename(folder, target, NULL);
	char *path = g_build_filename(dir, name, NULL);
	struct ba_buf all = {0};
	uint8_t byte = (uint8_t)first;

	if (first >= 0)
		ba_buf_add(&all, &byte, 1);
	ba_buf_add(&all, data, len);
	g_mkdir_with_parents(dir, FOLDER_MODE);
	fz_require(g_file_set_contents(path, (const char *)all.data,
				       (gssize)all.len, NULL),
		   "the seed can be written");
	ba_buf_free(&all);
	g_free(path);
	g_free(dir);
}

static struct cf_snapshot *parse(uint64_t version)
{
	struct cf_snapshot *none = cf_snapshot_empty();
	struct ba_problems problems = {0};
	struct cf_snapshot *s = NULL;

	cf_parse_configuration(configuration, sizeof(configuration) - 1, none,
			       version, &s, &problems);
	fz_require(!!s, "the configuration of the seeds is right");
	ba_problems_free(&problems);
	cf_snapshot_unref(none);
	return s;
}

static void save_http(const char *folder)
{
	char name[16];

	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		g_snprintf(name, sizeof(name), "request-%zu", i);
		save(folder, "http", 20, name, requests[i],
		     strlen(requests[i]));
		save(folder, "request", 20, name, requests[i],
		     strlen(requests[i]));
	}
}

static void save_answers(const char *folder)
{
	char name[16];

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		g_snprintf(name, sizeof(name), "answer-%zu", i);
		save(folder, "answer", 7, name, answers[i], strlen(answers[i]));
	}
}

static void save_config(const char *folder)
{
	struct cf_snapshot *s = parse(2);
	struct ba_buf written = {0};
	struct ba_buf packed = {0};

	pf_operators.write_configuration(s, &written);
	cf_snapshot_encode(s, CF_FORM_DIGESTS, &packed);
	save(folder, "config", 0, "configuration", configuration,
	     sizeof(configuration) - 1);
	save(folder, "config", 1, "policy", policy, sizeof(policy) - 1);
	save(folder, "config", 2, "platform", written.data, written.len);
	save(folder, "config", 3, "packed", packed.data, packed.len);
	ba_buf_free(&written);
	ba_buf_free(&packed);
	cf_snapshot_unref(s);
}

static void add_update(struct ba_buf *out, const struct cf_snapshot *s)
{
	struct ba_buf packed = {0};
	DsUpdate m = DS_UPDATE__INIT;

	cf_snapshot_encode(s, CF_FORM_DIGESTS, &packed);
	m.current_version = s->version;
	m.floor = 1;
	m.floor_known = true;
	m.digest.data = (uint8_t *)s->digest.bytes;
	m.digest.len = BA_DIGEST_BYTES;
	m.snapshot.data = packed.data;
	m.snapshot.len = packed.len;
	wi_frame_add(out, DS_UPDATE, &m.base);
	ba_buf_free(&packed);
}

static void save_frames(const char *folder)
{
	struct cf_snapshot *s = parse(3);
	struct ba_buf out = {0};
	EpRecord record = EP_RECORD__INIT;
	EpRecord *records[] = {&record};
	EpUpdate update = EP_UPDATE__INIT;
	EpAnnounce announce = EP_ANNOUNCE__INIT;
	DsAck ack = DS_ACK__INIT;

	record.instance = "a1";
	record.service = "orders";
	record.data_centre = "d";
	record.region = "r";
	record.address = "192.0.2.1:80";
	record.incarnation = 7;
	update.records = records;
	update.n_records = 1;
	announce.record = &record;
	ack.version = 3;
	add_update(&out, s);
	save(folder, "frame", -1, "update", out.data, out.len);
	wi_frame_add(&out, EP_UPDATE, &update.base);
	wi_frame_add(&out, EP_ANNOUNCE, &announce.base);
	wi_frame_add(&out, DS_ACK, &ack.base);
	wi_frame_add(&out, WI_PING, NULL);
	save(folder, "frame", -1, "session", out.data, out.len);
	ba_buf_free(&out);
	cf_snapshot_unref(s);
}

static void save_disk(const char *folder)
{
	static const char *const names[] = {"log", "snapshot", "meta"};
	char *data = g_dir_make_tmp("fz_seeds_XXXXXX", NULL);
	struct ba_buf state = {0};
	struct rp_recovered r = {0};
	struct rp_store *store;

	fz_require(!rp_disk_open(data, &store) && !store->ops->load(store, &r),
		   "a data folder can be written");
	ba_buf_add(&state, "state", 5);
	for (uint64_t i = 1; i <= ENTRIES; i++) {
		struct rp_entry *e = rp_entry_new(i, 2, 1, "body", 4);

		store->ops->append(store, e);
		g_free(e);
	}
	store->ops->sync(store);
	store->ops->save_vote(store, 2, "s2");
	store->ops->save_snapshot(store, SNAPSHOT, 2, &state, SNAPSHOT - 1,
				  false);
	store->ops->close(store);
	for (int i = 0; i < 3; i++) {
		char *path = g_build_filename(data, names[i], NULL);
		char *text = NULL;
		gsize len = 0;

		fz_require(g_file_get_contents(path, &text, &len, NULL),
			   "the file was written");
		save(folder, "disk", i, names[i], text, len);
		g_unlink(path);
		g_free(text);
		g_free(path);
	}
	rp_log_free(&r.log);
	ba_buf_free(&r.snapshot);
	ba_buf_free(&state);
	g_free(data);
}

int main(int argc, char **argv)
{
	if (argc != 2) {
		fprintf(stderr, "usage: fz_seeds FOLDER\n");
		return 2;
	}
	save_http(argv[1]);
	save_answers(argv[1]);
	save_config(argv[1]);
	save_frames(argv[1]);
	save_disk(argv[1]);
	return 0;
}
