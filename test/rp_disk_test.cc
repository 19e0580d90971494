#include <gtest/gtest.h>

#include <cstdio>
#include <csignal>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

#include <glib.h>

#include "base/ba_result.h"
#include "base/ba_settings.h"
#include "replica/rp_disk.h"
#include "replica/rp_record.h"

namespace
{

enum { ENTRIES = 10, SNAPSHOT = 4 };

struct folder {
	std::string path;

	folder()
	{
		char *name = g_dir_make_tmp("rp-disk-XXXXXX", nullptr);

		path = name;
		g_free(name);
	}

	~folder()
	{
		GDir *dir = g_dir_open(path.c_str(), 0, nullptr);
		const char *name;

		while ((name = g_dir_read_name(dir)))
			unlink((path + "/" + name).c_str());
		g_dir_close(dir);
		rmdir(path.c_str());
	}

	std::string read(const char *name) const
	{
		struct ba_buf b = {};

		ba_file_read((path + "/" + name).c_str(), 1 << 24, &b);
		std::string out((char *)b.data, b.len);

		ba_buf_free(&b);
		return out;
	}

	void write(const char *name, const std::string &text) const
	{
		FILE *f = fopen((path + "/" + name).c_str(), "w");

		fwrite(text.data(), 1, text.size(), f);
		fclose(f);
	}

	size_t count_damaged_files() const
	{
		GDir *dir = g_dir_open(path.c_str(), 0, nullptr);
		const char *name;
		size_t n = 0;

		while ((name = g_dir_read_name(dir)))
			n += strstr(name, ".damaged-") != nullptr;
		g_dir_close(dir);
		return n;
	}
};

struct open_store {
	struct rp_store *store = nullptr;
	struct rp_recovered r = {};
	int code;

	explicit open_store(const folder &f)
	{
		code = rp_disk_open(f.path.c_str(), &store);
		if (!code)
			code = store->ops->load(store, &r);
	}

	~open_store()
	{
		rp_log_free(&r.log);
		ba_buf_free(&r.snapshot);
		if (store)
			store->ops->close(store);
	}

	int append(uint64_t index)
	{
		std::string body(20 + index, 'x');
		struct rp_entry *e =
			rp_entry_new(index, 2, 1, body.data(), body.size());
		int ret = store->ops->append(store, e);

		g_free(e);
		return ret ? ret : store->ops->sync(store);
	}
};

std::string record(uint64_t index)
{
	struct rp_entry *e = rp_entry_new(index, 2, 1, "y", 1);
	struct ba_buf b = {};

	rp_record_add(&b, e);
	std::string out((char *)b.data, b.len);

	ba_buf_free(&b);
	g_free(e);
	return out;
}

uint64_t last_index(const folder &f)
{
	open_store o(f);

	return rp_log_last(&o.r.log);
}

/* Fills a folder: ten synced entries, a vote, a snapshot of the first four. */
void fill_folder(const folder &f)
{
	open_store o(f);
	struct ba_buf state = {};

	ASSERT_EQ(o.code, BA_OK);
	ASSERT_EQ(o.store->ops->save_vote(o.store, 2, "s2"), BA_OK);
	for (uint64_t i = 1; i <= ENTRIES; i++)
		ASSERT_EQ(o.append(i), BA_OK);
	ba_buf_add(&state, "state", 5);
	ASSERT_EQ(o.store->ops->save_snapshot(o.store, SNAPSHOT, 2, &state, 3,
					      false),
		  BA_OK);
	ba_buf_free(&state);
}

void flip_bit(const folder &f, const char *name, long at)
{
	std::string text = f.read(name);
	size_t i = at < 0 ? text.size() - (size_t)-at : (size_t)at;

	text[i] = (char)(text[i] ^ 0x10);
	f.write(name, text);
}

TEST(RpDisk, DetectsDamageAndRecoversTornWrites)
{
	static const struct {
		const char *name;
		std::function<void(const folder &)> change;
		bool damaged;
		bool cut;
		uint64_t last;
	} cases[] = {
		{"none", [](const folder &) {}, false, false, ENTRIES},
		{"torn record after the synced index",
		 [](const folder &f) {
			 f.write("log",
				 f.read("log") + record(11).substr(0, 15));
		 },
		 false, true, ENTRIES},
		{"garbage after the synced index",
		 [](const folder &f) {
			 f.write("log", f.read("log") + std::string(500, 'z'));
		 },
		 false, true, ENTRIES},
		{"zeros after the synced index",
		 [](const folder &f) {
			 f.write("log", f.read("log") + std::string(64, '\0'));
		 },
		 false, true, ENTRIES},
		{"complete record after the synced index",
		 [](const folder &f) {
			 f.write("log", f.read("log") + record(11));
		 },
		 false, false, 11},
		{"last synced record one byte short",
		 [](const folder &f) {
			 std::string log = f.read("log");

			 f.write("log", log.substr(0, log.size() - 1));
		 },
		 true, false, 0},
		{"bit flipped in the last synced record",
		 [](const folder &f) { flip_bit(f, "log", -3); }, true, false,
		 0},
		{"bit flipped in the middle",
		 [](const folder &f) { flip_bit(f, "log", 60); }, true, false,
		 0},
		{"record out of order",
		 [](const folder &f) {
			 f.write("log", f.read("log") + record(13));
		 },
		 true, false, 0},
		{"log lost", [](const folder &f) { f.write("log", ""); }, true,
		 false, 0},
		{"snapshot damaged",
		 [](const folder &f) { flip_bit(f, "snapshot", -1); }, true,
		 false, 0},
		{"snapshot lost",
		 [](const folder &f) {
			 unlink((f.path + "/snapshot").c_str());
		 },
		 true, false, 0},
		{"one meta slot damaged",
		 [](const folder &f) { flip_bit(f, "meta", 8); }, false, false,
		 ENTRIES},
		{"other meta slot damaged",
		 [](const folder &f) { flip_bit(f, "meta", 520); }, false,
		 false, ENTRIES},
		{"both meta slots damaged",
		 [](const folder &f) {
			 flip_bit(f, "meta", 8);
			 flip_bit(f, "meta", 520);
		 },
		 true, false, 0},
		{"meta lost", [](const folder &f) { f.write("meta", ""); },
		 true, false, 0},
	};

	for (const auto &c : cases) {
		folder f;
		std::string id;

		fill_folder(f);
		id = open_store(f).r.disk_id;
		c.change(f);
		{
			open_store o(f);

			EXPECT_EQ(o.code, BA_OK) << c.name;
			EXPECT_EQ(o.r.damaged, c.damaged) << c.name;
			EXPECT_EQ(o.r.cut_bytes > 0, c.cut) << c.name;
			EXPECT_EQ(rp_log_last(&o.r.log), c.last) << c.name;
			EXPECT_EQ(id == o.r.disk_id, !c.damaged) << c.name;
			EXPECT_EQ(f.count_damaged_files() > 0, c.damaged)
				<< c.name;
			if (!c.damaged) {
				EXPECT_EQ(o.r.term, 2u) << c.name;
				EXPECT_STREQ(o.r.vote, "s2") << c.name;
				EXPECT_EQ(o.r.snapshot.len, 5u) << c.name;
			}
		}
		EXPECT_EQ(open_store(f).r.damaged, c.damaged)
			<< c.name << ", at the next start";
	}
}

TEST(RpDisk, NextSyncClearsTheDamagedFlag)
{
	folder f;

	fill_folder(f);
	flip_bit(f, "log", 60);
	{
		open_store o(f);

		EXPECT_TRUE(o.r.damaged);
		EXPECT_EQ(o.append(1), BA_OK);
	}
	EXPECT_FALSE(open_store(f).r.damaged);
	EXPECT_EQ(last_index(f), 1u);
}

TEST(RpDisk, TruncateAndAppendAgain)
{
	folder f;

	fill_folder(f);
	{
		open_store o(f);

		EXPECT_EQ(o.store->ops->truncate(o.store, 8), BA_OK);
		EXPECT_EQ(o.append(8), BA_OK);
	}
	open_store o(f);

	EXPECT_FALSE(o.r.damaged);
	EXPECT_EQ(rp_log_last(&o.r.log), 8u);
}

/*
 * A crash between the writes of an installation, here before the old log was
 * replaced, leaves a folder that can be loaded.
 */
TEST(RpDisk, InstalledSnapshotReplacesTheLog)
{
	folder f;
	struct ba_buf state = {};
	std::string old;

	fill_folder(f);
	old = f.read("log");
	ba_buf_add(&state, "newer", 5);
	{
		open_store o(f);

		EXPECT_EQ(o.store->ops->save_snapshot(o.store, 50, 3, &state, 0,
						      true),
			  BA_OK);
	}
	EXPECT_EQ(last_index(f), 50u);
	f.write("log", old);
	{
		open_store o(f);

		EXPECT_FALSE(o.r.damaged);
		EXPECT_EQ(rp_log_last(&o.r.log), 50u);
		EXPECT_EQ(o.append(51), BA_OK);
	}
	EXPECT_EQ(last_index(f), 51u);
	ba_buf_free(&state);
}

TEST(RpDisk, OneProcessAtATime)
{
	folder f;
	open_store first(f);
	open_store second(f);

	EXPECT_EQ(first.code, BA_OK);
	EXPECT_EQ(second.code, BA_FOLDER_UNWRITABLE);
}

/* The limit on file sizes simulates a full disk. */
TEST(RpDisk, FullDiskKeepsSyncedEntries)
{
	folder f;
	struct rlimit before;
	struct rlimit full;
	int code;

	fill_folder(f);
	{
		open_store o(f);

		signal(SIGXFSZ, SIG_IGN);
		getrlimit(RLIMIT_FSIZE, &before);
		full = before;
		full.rlim_cur = f.read("log").size() + 10;
		setrlimit(RLIMIT_FSIZE, &full);
		code = o.append(11);
		setrlimit(RLIMIT_FSIZE, &before);
		signal(SIGXFSZ, SIG_DFL);
		EXPECT_EQ(code, BA_DISK_FULL);
		EXPECT_EQ(o.append(11), BA_OK);
	}
	open_store o(f);

	EXPECT_FALSE(o.r.damaged);
	EXPECT_EQ(o.r.cut_bytes, 0u);
	EXPECT_EQ(rp_log_last(&o.r.log), 11u);
}

/* Each operation fails while the disk is full, and works once it has room. */
TEST(RpDisk, EachOperationRecoversFromAFullDisk)
{
	static const struct {
		const char *name;
		std::function<int(open_store &)> run;
		uint64_t last;
	} cases[] = {
		{"append", [](open_store &o) { return o.append(ENTRIES + 1); },
		 ENTRIES + 1},
		{"truncate",
		 [](open_store &o) {
			 return o.store->ops->truncate(o.store, 8);
		 },
		 7},
		{"append in the middle",
		 [](open_store &o) { return o.append(8); }, 8},
		{"snapshot",
		 [](open_store &o) {
			 struct ba_buf state = {};
			 int ret;

			 ba_buf_add(&state, "state", 5);
			 ret = o.store->ops->save_snapshot(o.store, 6, 2,
							   &state, 5, false);
			 ba_buf_free(&state);
			 return ret;
		 },
		 ENTRIES},
		{"installed snapshot",
		 [](open_store &o) {
			 struct ba_buf state = {};
			 int ret;

			 ba_buf_add(&state, "state", 5);
			 ret = o.store->ops->save_snapshot(o.store, 20, 2,
							   &state, 0, true);
			 ba_buf_free(&state);
			 return ret;
		 },
		 20},
	};

	for (const auto &c : cases) {
		folder f;
		struct rlimit before;
		struct rlimit full;
		uint64_t next;

		fill_folder(f);
		{
			open_store o(f);

			signal(SIGXFSZ, SIG_IGN);
			getrlimit(RLIMIT_FSIZE, &before);
			full = before;
			full.rlim_cur = 1;
			setrlimit(RLIMIT_FSIZE, &full);
			for (int i = 0; i < 3; i++)
				EXPECT_EQ(c.run(o), BA_DISK_FULL) << c.name;
			setrlimit(RLIMIT_FSIZE, &before);
			signal(SIGXFSZ, SIG_DFL);
			EXPECT_EQ(c.run(o), BA_OK) << c.name;
			EXPECT_EQ(o.store->ops->save_vote(o.store, 3, "s1"),
				  BA_OK);
			next = c.last + 1;
			EXPECT_EQ(o.append(next), BA_OK) << c.name;
		}
		open_store o(f);

		EXPECT_FALSE(o.r.damaged) << c.name;
		EXPECT_EQ(o.r.cut_bytes, 0u) << c.name;
		EXPECT_EQ(rp_log_last(&o.r.log), next) << c.name;
		EXPECT_STREQ(o.r.vote, "s1") << c.name;
	}
}

} // namespace
