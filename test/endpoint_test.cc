#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ba_rand.h"
#include "base/ba_result.h"
#include "endpoint/ep_presence.h"
#include "endpoint/ep_table.h"
#include "endpoint/ep_wire.h"
#include "wire/wi_type.h"

namespace
{

struct ep_record record(const std::string &instance, uint64_t incarnation,
			uint64_t sequence, const char *data_centre = "d1")
{
	static std::set<std::string> names;
	struct ep_record r = {};

	r.instance = (char *)names.insert(instance).first->c_str();
	r.service = (char *)"orders";
	r.data_centre = (char *)data_centre;
	r.region = (char *)"r1";
	r.address = (char *)"127.0.0.1:1";
	r.external_address = (char *)"";
	r.control_address = (char *)"";
	r.incarnation = incarnation;
	r.sequence = sequence;
	return r;
}

TEST(EpTable, Outcomes)
{
	struct step {
		uint64_t incarnation;
		uint64_t sequence;
		bool draining;
		bool left;
		uint64_t holder;
		enum ep_outcome want;
	};
	static const std::vector<step> cases[] = {
		{{1, 1, false, false, EP_HELD_HERE, EP_JOINED},
		 {1, 1, false, false, EP_HELD_HERE, EP_UNCHANGED},
		 {1, 2, true, false, EP_HELD_HERE, EP_DRAINING},
		 {1, 1, false, false, EP_HELD_HERE, EP_OLDER},
		 {1, 3, true, true, EP_HELD_HERE, EP_LEFT},
		 {1, 2, false, false, EP_HELD_BY_PEER, EP_OLDER},
		 {2, 1, false, false, EP_HELD_HERE, EP_JOINED}},
		/* The departure arrives before an earlier announcement. */
		{{1, 5, false, true, EP_HELD_BY_NONE, EP_UNCHANGED},
		 {1, 4, false, false, EP_HELD_BY_PEER, EP_OLDER}},
		/* A peer lost contact; the endpoint's session is here. */
		{{1, 1, false, false, EP_HELD_HERE, EP_JOINED},
		 {1, 1, false, true, EP_HELD_BY_NONE, EP_MUST_REFUTE},
		 {1, 2, false, false, EP_HELD_HERE, EP_CHANGED}},
		/*
		 * The record was marked as left; its writer refutes that with
		 * its next sequence.
		 */
		{{1, 1, false, false, EP_HELD_BY_PEER, EP_JOINED},
		 {1, 1, false, true, EP_HELD_BY_NONE, EP_LEFT},
		 {1, 1, false, false, EP_HELD_HERE, EP_MUST_REFUTE},
		 {1, 2, false, false, EP_HELD_HERE, EP_JOINED}},
	};

	for (const auto &c : cases) {
		struct ep_table *t = ep_table_new(10);

		for (const auto &s : c) {
			struct ep_record r =
				record("a", s.incarnation, s.sequence);

			r.draining = s.draining;
			r.left = s.left;
			EXPECT_EQ(ep_table_put(t, &r, s.holder, BA_NEVER, 0),
				  s.want)
				<< s.incarnation << "." << s.sequence;
		}
		ep_table_free(t);
	}
}

TEST(EpTable, IsBounded)
{
	struct ep_table *t = ep_table_new(1);
	struct ep_record a = record("a", 1, 1);
	struct ep_record b = record("b", 1, 1);

	EXPECT_EQ(ep_table_put(t, &a, EP_HELD_HERE, 0, 0), EP_JOINED);
	EXPECT_EQ(ep_table_put(t, &b, EP_HELD_HERE, 0, 0), EP_NO_ROOM);
	ep_table_free(t);
}

TEST(EpTable, OnlyMassExpiryIsHeldBack)
{
	static const struct {
		int lost;
		size_t expired;
		size_t held_back;
	} cases[] = {{0, 0, 0}, {1, 1, 0}, {5, 5, 0}, {6, 0, 6}, {10, 0, 10}};

	for (const auto &c : cases) {
		struct ep_table *t = ep_table_new(100);
		struct ep_expiry x;

		for (int i = 0; i < 10; i++) {
			std::string name = "e" + std::to_string(i);
			struct ep_record r = record(name, 1, 1);

			ep_table_put(t, &r, EP_HELD_HERE, 0, 0);
			if (i < c.lost)
				ep_table_release(t, name.c_str(), BA_SECOND);
		}
		x = ep_table_expire(t, BA_SECOND);
		EXPECT_EQ(x.expired, c.expired);
		EXPECT_EQ(x.held_back, c.held_back);
		EXPECT_EQ(ep_table_n_live(t), 10 - c.expired);
		x = ep_table_expire(t, BA_SECOND + EP_HOLD_BACK_LIMIT);
		EXPECT_EQ(ep_table_n_live(t), (size_t)(10 - c.lost));
		ep_table_free(t);
	}
}

TEST(EpTable, ANewSessionHereEndsTheLeaseOfALostPeer)
{
	struct ep_table *t = ep_table_new(100);

	for (int i = 0; i < 4; i++) {
		struct ep_record r = record("e" + std::to_string(i), 1, 1);

		ep_table_put(t, &r, i ? EP_HELD_HERE : EP_HELD_BY_PEER, 0, 0);
	}
	ep_table_release_holder(t, EP_HELD_BY_PEER, BA_SECOND);
	struct ep_record again = record("e0", 1, 2);

	ep_table_put(t, &again, EP_HELD_HERE, 0, 0);
	EXPECT_EQ(ep_table_expire(t, BA_HOUR).expired, 0u);
	EXPECT_EQ(ep_table_n_live(t), 4u);
	ep_table_free(t);
}

/* The records that endpoints have announced, in order. */
struct history {
	std::vector<struct ep_record> announced;
	std::vector<std::string> names;
};

history make_history(uint64_t seed)
{
	struct ba_rand r = {seed};
	history h;

	for (int i = 0; i < 4; i++)
		h.names.push_back("e" + std::to_string(i));
	for (const auto &name : h.names) {
		uint64_t sequence = 0;
		uint64_t incarnation = 1;

		for (int i = 0; i < 6; i++) {
			struct ep_record rec =
				record(name, incarnation, ++sequence);

			rec.draining = i % 3 == 1;
			rec.left = i % 3 == 2;
			h.announced.push_back(rec);
			if (rec.left && ba_rand_below(&r, 2)) {
				incarnation++;
				sequence = 0;
			}
		}
	}
	return h;
}

/*
 * Puts the records into a table in any order, some twice and some never, and
 * checks after each that a backend server that is leaving gets no new work:
 * once its drain or departure was seen, an older record never revives it.
 *
 * @broken: the last record to arrive wins, whatever its age
 */
bool older_record_revives(uint64_t seed, bool broken)
{
	history h = make_history(seed);
	struct ba_rand r = {seed};
	struct ep_table *t = ep_table_new(100);
	std::map<std::string, struct ep_record> newest;
	bool revived = false;

	for (int i = 0; i < 60 && !revived; i++) {
		struct ep_record rec =
			h.announced[ba_rand_below(&r, h.announced.size())];
		struct ep_record &n = newest[rec.instance];

		if (!n.instance || rec.incarnation > n.incarnation ||
		    (rec.incarnation == n.incarnation &&
		     rec.sequence > n.sequence))
			n = rec;
		if (broken) {
			ep_table_free(t);
			t = ep_table_new(100);
		}
		ep_table_put(t, &rec, EP_HELD_BY_PEER, BA_NEVER, i);
		const struct ep_record *got = ep_table_get(t, rec.instance);

		revived = got->draining != n.draining || got->left != n.left;
	}
	ep_table_free(t);
	return revived;
}

RC_GTEST_PROP(EpTable, ALeavingBackendServerGetsNoNewWork, (uint64_t seed))
{
	RC_ASSERT(!older_record_revives(seed, false));
}

TEST(EpTable, TheCheckerDetectsLastArrivalWins)
{
	bool caught = false;

	for (uint64_t seed = 1; seed < 50; seed++)
		caught |= older_record_revives(seed, true);
	EXPECT_TRUE(caught);
}

void put_one(const struct ep_record *r, void *arg)
{
	ep_table_put((struct ep_table *)arg, r, EP_HELD_BY_PEER, BA_NEVER, 0);
}

void exchange(struct ep_table *from, struct ep_table *to)
{
	struct ep_centre_digest a;
	struct ep_centre_digest b;
	uint32_t mask = 0;

	ep_table_digest(from, "d1", &a);
	ep_table_digest(to, "d1", &b);
	for (unsigned int i = 0; i < EP_BUCKETS; i++)
		if (a.buckets[i] != b.buckets[i])
			mask |= 1U << i;
	ep_table_visit_buckets(from, "d1", mask, put_one, to);
}

/* Two tables with different records agree after exchanging buckets. */
RC_GTEST_PROP(EpTable, DigestsFindEveryDifference, (uint64_t seed))
{
	history h = make_history(seed);
	struct ba_rand r = {seed};
	struct ep_table *t[2] = {ep_table_new(100), ep_table_new(100)};
	struct ep_centre_digest d[2];

	for (const auto &rec : h.announced)
		for (auto *table : t)
			if (ba_rand_below(&r, 2))
				ep_table_put(table, &rec, EP_HELD_BY_PEER,
					     BA_NEVER, 0);
	exchange(t[0], t[1]);
	exchange(t[1], t[0]);
	ep_table_digest(t[0], "d1", &d[0]);
	ep_table_digest(t[1], "d1", &d[1]);
	RC_ASSERT(d[0].root == d[1].root);
	for (const auto &name : h.names) {
		const struct ep_record *a = ep_table_get(t[0], name.c_str());
		const struct ep_record *b = ep_table_get(t[1], name.c_str());
		bool live_a = a && !a->left;
		bool live_b = b && !b->left;

		RC_ASSERT(live_a == live_b);
		if (live_a)
			RC_ASSERT(a->sequence == b->sequence);
	}
	ep_table_free(t[0]);
	ep_table_free(t[1]);
}

TEST(EpView, SharesWhatHasNotChangedAndPrefersItsOwnDataCentre)
{
	struct ep_table *t = ep_table_new(1000);
	struct ep_view_options o = {"me", "d1", "r1", 8};
	struct ep_view *first;
	struct ep_view *second;

	for (int i = 0; i < 40; i++) {
		struct ep_record r = record("e" + std::to_string(i), 1, 1,
					    i < 4 ? "d1" : "d2");
		std::string service = i % 2 ? "orders" : "stock";

		r.service = (char *)service.c_str();
		ep_table_put(t, &r, EP_HELD_BY_PEER, BA_NEVER, 0);
	}
	first = ep_table_view(t, nullptr, &o);
	ASSERT_EQ(first->n_services, 2u);
	const struct ep_service_view *orders = ep_view_find(first, "orders");

	ASSERT_EQ(orders->n_records, 8u);
	EXPECT_STREQ(orders->records[0].data_centre, "d1");
	EXPECT_STREQ(orders->records[1].data_centre, "d1");
	EXPECT_STREQ(orders->records[2].data_centre, "d2");
	struct ep_record change = record("e2", 1, 2);

	change.service = (char *)"stock";
	change.draining = true;
	ep_table_put(t, &change, EP_HELD_BY_PEER, BA_NEVER, 0);
	second = ep_table_view(t, first, &o);
	EXPECT_EQ(ep_view_find(second, "orders")->records, orders->records);
	EXPECT_NE(ep_view_find(second, "stock")->records,
		  ep_view_find(first, "stock")->records);
	ep_view_unref(first);
	EXPECT_EQ(ep_view_find(second, "orders")->n_records, 8u);
	ep_view_unref(second);
	ep_table_free(t);
}

TEST(EpView, AFullSubsetKeepsAShareOutsideItsOwnDataCentre)
{
	static const struct {
		int own;
		int other;
		size_t want_own;
		size_t want_other;
	} cases[] = {
		{4, 2, 4, 2},  {8, 0, 8, 0},  {20, 0, 8, 0}, {20, 1, 7, 1},
		{20, 9, 6, 2}, {6, 20, 6, 2}, {7, 20, 6, 2}, {0, 20, 0, 8},
	};

	for (const auto &c : cases) {
		struct ep_table *t = ep_table_new(100);
		struct ep_view_options o = {"me", "d1", "r1", 8};
		std::set<std::string> names;
		size_t own = 0;

		for (int i = 0; i < c.own + c.other; i++) {
			struct ep_record r = record("e" + std::to_string(i), 1,
						    1, i < c.own ? "d1" : "d2");

			ep_table_put(t, &r, EP_HELD_BY_PEER, BA_NEVER, 0);
		}
		struct ep_view *v = ep_table_view(t, nullptr, &o);
		const struct ep_service_view *sv = ep_view_find(v, "orders");

		for (size_t i = 0; i < sv->n_records; i++) {
			own += std::string(sv->records[i].data_centre) == "d1";
			names.insert(sv->records[i].instance);
		}
		EXPECT_EQ(own, c.want_own) << c.own << " " << c.other;
		EXPECT_EQ(sv->n_records - own, c.want_other)
			<< c.own << " " << c.other;
		EXPECT_EQ(names.size(), sv->n_records);
		ep_view_unref(v);
		ep_table_free(t);
	}
}

std::vector<struct ep_mark> some_marks(size_t n, uint64_t seed = 1)
{
	std::vector<struct ep_mark> marks(n);
	struct ba_rand r = {seed};

	for (auto &m : marks) {
		m.request = ba_rand_next(&r);
		m.crashes = (uint32_t)ba_rand_below(&r, 4);
		m.acquittals = (uint32_t)ba_rand_below(&r, 3);
		m.convicted = ba_rand_below(&r, 2);
	}
	return marks;
}

void set_marks(struct ep_record *r, std::vector<struct ep_mark> &marks,
	       uint64_t epoch)
{
	r->marks = marks.data();
	r->n_marks = marks.size();
	r->marks_epoch = epoch;
}

bool same_marks(const struct ep_mark *a, size_t n,
		const std::vector<struct ep_mark> &b)
{
	if (n != b.size())
		return false;
	for (size_t i = 0; i < n; i++)
		if (a[i].request != b[i].request ||
		    a[i].crashes != b[i].crashes ||
		    a[i].acquittals != b[i].acquittals ||
		    a[i].convicted != b[i].convicted)
			return false;
	return true;
}

/* Packs @r at @sent and unpacks it at @received, as the loop times say. */
struct transfer {
	std::vector<uint8_t> bytes;
	EpRecord *message = nullptr;
	struct ep_mark marks[EP_MARKS_MAX];
	struct ep_record record;

	transfer(const struct ep_record &r, ba_time sent, ba_time received,
		 const ProtobufCMessageDescriptor *d = &ep_record__descriptor)
	{
		EpRecord m;

		ep_record_to_message(&r, sent, &m);
		bytes.resize(ep_record__get_packed_size(&m));
		ep_record__pack(&m, bytes.data());
		ep_message_clear(&m);
		message = (EpRecord *)protobuf_c_message_unpack(
			d, nullptr, bytes.size(), bytes.data());
		if (message)
			ep_record_from_message(message, received, marks,
					       &record);
	}

	~transfer()
	{
		protobuf_c_message_free_unpacked((ProtobufCMessage *)message,
						 nullptr);
	}
};

RC_GTEST_PROP(EpWire, MarksAreSentWhole, (uint64_t seed))
{
	struct ba_rand rand = {seed};
	auto marks = some_marks(ba_rand_below(&rand, EP_MARKS_MAX + 1), seed);
	struct ep_record r = record("a", 1, 1);

	set_marks(&r, marks, seed);
	struct transfer t(r, 0, 0);

	RC_ASSERT(t.message != nullptr);
	RC_ASSERT(ep_record_check(&t.record) == BA_OK);
	RC_ASSERT(same_marks(t.record.marks, t.record.n_marks, marks));
	RC_ASSERT(t.record.marks_epoch == (marks.empty() ? 0 : seed));
}

TEST(EpWire, MoreMarksThanARecordMayCarry)
{
	auto marks = some_marks(EP_MARKS_MAX + 1);
	struct ep_record r = record("a", 1, 1);

	set_marks(&r, marks, 1);
	EXPECT_EQ(ep_record_check(&r), WI_FRAME_GARBAGE);

	struct transfer t(r, 0, 0);

	marks.pop_back();
	EXPECT_EQ(ep_record_check(&t.record), BA_OK);
	EXPECT_STREQ(t.record.instance, "a");
	EXPECT_TRUE(same_marks(t.record.marks, t.record.n_marks, marks));
}

/* A program from before the marks reads the rest of the record. */
TEST(EpWire, AnOlderProgramIgnoresMarks)
{
	static const ProtobufCIntRange ranges[] = {{1, 0}, {0, 15}};
	ProtobufCMessageDescriptor older = ep_record__descriptor;
	auto marks = some_marks(12);
	struct ep_record r = record("a", 3, 4);

	older.n_fields = 15;
	older.field_ranges = ranges;
	set_marks(&r, marks, 1);
	struct transfer t(r, 0, 0, &older);

	ASSERT_NE(t.message, nullptr);
	EXPECT_EQ(ep_record_check(&t.record), BA_OK);
	EXPECT_STREQ(t.record.instance, "a");
	EXPECT_EQ(t.record.incarnation, 3u);
	EXPECT_EQ(t.record.sequence, 4u);
	EXPECT_EQ(t.record.n_marks, 0u);
}

TEST(EpWire, TheAgeOfATombstoneIsSentAlong)
{
	static const struct {
		bool left;
		ba_time removal; /* 0 if not known */
		ba_time sent;
		ba_time received;
		ba_time want;
	} cases[] = {
		{false, BA_NEVER, BA_MINUTE, BA_HOUR, 0},
		{true, 0, BA_MINUTE, BA_HOUR, BA_HOUR + EP_TOMBSTONE_TIME},
		{true, EP_TOMBSTONE_TIME, 0, BA_HOUR,
		 BA_HOUR + EP_TOMBSTONE_TIME},
		{true, EP_TOMBSTONE_TIME, BA_MINUTE, BA_HOUR,
		 BA_HOUR + EP_TOMBSTONE_TIME - BA_MINUTE},
		{true, EP_TOMBSTONE_TIME, 2 * EP_TOMBSTONE_TIME, BA_HOUR,
		 BA_HOUR},
	};

	for (const auto &c : cases) {
		struct ep_record r = record("a", 1, 1);

		r.left = c.left;
		r.lease_deadline = c.removal;
		struct transfer t(r, c.sent, c.received);

		EXPECT_EQ(t.record.lease_deadline, c.want)
			<< c.removal << " " << c.sent;
	}
}

TEST(EpLifetime, HeartbeatsThatWereOvertaken)
{
	static const struct {
		const char *name;
		struct ep_lifetime known, next;
		bool past;
	} cases[] = {
		{"nothing known",
		 {"", 0, 0, EP_SERVES},
		 {"a", 5, 1, EP_SERVES},
		 false},
		{"next", {"a", 5, 1, EP_SERVES}, {"a", 5, 2, EP_SERVES}, false},
		{"repeated",
		 {"a", 5, 2, EP_SERVES},
		 {"a", 5, 2, EP_SERVES},
		 true},
		{"earlier",
		 {"a", 5, 2, EP_DRAINS},
		 {"a", 5, 1, EP_SERVES},
		 true},
		{"after it left",
		 {"a", 5, 2, EP_HAS_LEFT},
		 {"a", 5, 3, EP_SERVES},
		 true},
		{"earlier start",
		 {"b", 9, 1, EP_SERVES},
		 {"a", 5, 7, EP_SERVES},
		 true},
		{"later start",
		 {"a", 5, 7, EP_SERVES},
		 {"b", 9, 1, EP_SERVES},
		 false},
		{"later start after one that left",
		 {"a", 5, 7, EP_HAS_LEFT},
		 {"a", 9, 1, EP_SERVES},
		 false},
		{"no start is stated",
		 {"a", 0, 7, EP_HAS_LEFT},
		 {"b", 0, 1, EP_SERVES},
		 false},
		{"no start is stated, it left",
		 {"a", 0, 7, EP_HAS_LEFT},
		 {"a", 0, 8, EP_SERVES},
		 true},
	};

	for (const auto &c : cases)
		EXPECT_EQ(ep_lifetime_is_past(&c.known, &c.next), c.past)
			<< c.name;
}

TEST(EpLifetime, StartsThatLieAhead)
{
	const int64_t now = 1800000000000;
	static const struct {
		int64_t ahead_ms;
		bool plausible;
	} cases[] = {
		{-3600001, true}, {0, true},	    {5000, true},
		{3600000, true},  {3600001, false},
	};

	for (const auto &c : cases)
		EXPECT_EQ(ep_start_is_plausible(now + c.ahead_ms, now),
			  c.plausible)
			<< c.ahead_ms;
}

/* The clock of the daemon is at 100 s when the loop time is 0. */
TEST(EpPresence, HeartbeatsAndDeparturesOfEachCase)
{
	struct step {
		int at_s;
		const char *what, *id;
		int64_t start_wall_ms, sequence;
		bool registered; /* after the step */
	};
	static const struct {
		const char *name;
		std::vector<struct step> steps;
	} cases[] = {
		{"it leaves for good",
		 {{0, "ready", "a", 5, 1, true},
		  {1, "leave", "a", 0, 0, false},
		  {2, "ready", "a", 5, 2, false},
		  {60, "ready", "a", 5, 3, false},
		  {61, "ready", "a", 6, 1, true}}},
		{"late departure of the start before, of the same id",
		 {{0, "ready", "a", 5, 1, true},
		  {1, "ready", "a", 900, 1, true},
		  {2, "leave", "a", 0, 0, false},
		  {3, "ready", "a", 900, 2, false},
		  {11, "ready", "a", 900, 9, false},
		  {12, "ready", "a", 900, 10, true},
		  {13, "ready", "a", 900, 11, true}}},
		{"the same, once it is known for long",
		 {{0, "ready", "a", 5, 1, true},
		  {1, "ready", "a", 900, 1, true},
		  {11, "leave", "a", 0, 0, false},
		  {30, "ready", "a", 900, 20, false}}},
		{"the same, but the start is stated",
		 {{0, "ready", "a", 5, 1, true},
		  {1, "ready", "a", 900, 1, true},
		  {2, "leave", "a", 5, 0, true},
		  {3, "leave", "a", 900, 0, false},
		  {30, "ready", "a", 900, 20, false}}},
		{"one that was never heard of leaves",
		 {{0, "leave", "a", 0, 0, false},
		  {1, "ready", "a", 99000, 1, false},
		  {2, "ready", "a", 101000, 1, true}}},
		{"it was another one, as it goes on",
		 {{0, "leave", "a", 0, 0, false},
		  {9, "ready", "a", 99000, 1, false},
		  {10, "ready", "a", 99000, 2, true}}},
		{"another id leaves",
		 {{0, "ready", "a", 5, 1, true},
		  {1, "leave", "b", 0, 0, true},
		  {2, "leave", "b", 9, 0, true}}},
	};

	for (const auto &c : cases) {
		struct ep_presence p;

		ep_presence_init(&p);
		for (const auto &s : c.steps) {
			ba_time now = s.at_s * BA_SECOND;
			const struct ep_lifetime l = {s.id, s.start_wall_ms,
						      s.sequence, EP_SERVES};
			const struct ep_departure d = {s.id, s.start_wall_ms,
						       100000 + s.at_s * 1000};

			if (!strcmp(s.what, "ready"))
				ep_presence_hear(&p, &l, now);
			else
				ep_presence_leave(&p, &d, now);
			EXPECT_EQ(p.registered, s.registered)
				<< c.name << " at " << s.at_s;
		}
	}
}

/* Others would shut out a backend server that has not left. */
TEST(EpPresence, DepartureThatIsNotSureIsNotTold)
{
	const struct ep_lifetime l = {"a", 5, 1, EP_SERVES};
	const struct ep_departure sure = {"a", 0, 100000};
	const struct ep_departure unsure = {"b", 0, 100000};
	struct ep_presence p;

	ep_presence_init(&p);
	ep_presence_leave(&p, &unsure, 0);
	EXPECT_EQ(ep_presence_told(&p).state, EP_SERVES);
	ep_presence_init(&p);
	ep_presence_hear(&p, &l, 0);
	ep_presence_leave(&p, &sure, 1);
	EXPECT_EQ(ep_presence_told(&p).state, EP_HAS_LEFT);
	EXPECT_STREQ(ep_presence_told(&p).backend, "a");
}

struct ep_record record_of(uint64_t incarnation, struct ep_lifetime l,
			   bool left = false)
{
	struct ep_record r = record("p", incarnation, 1);

	r.backend = (char *)l.backend;
	r.backend_start_wall_ms = l.start_wall_ms;
	r.backend_sequence = l.sequence;
	r.backend_state = l.state;
	r.draining = l.state == EP_DRAINS;
	r.left = left || l.state == EP_HAS_LEFT;
	return r;
}

/* A restarted daemon does not know that its backend server drained or left. */
TEST(EpLifetime, RecordOfARestartedDaemonIsCompleted)
{
	static const struct {
		const char *name;
		struct ep_record known, next;
		struct ep_lifetime want;
		bool draining, left;
	} cases[] = {
		{"no heartbeat yet, it serves",
		 record_of(1, {"a", 5, 2, EP_SERVES}),
		 record_of(2, {"", 0, 0, EP_SERVES}, true),
		 {"a", 5, 2, EP_SERVES},
		 false,
		 true},
		{"no heartbeat yet, it left",
		 record_of(1, {"a", 5, 2, EP_HAS_LEFT}),
		 record_of(2, {"", 0, 0, EP_SERVES}, true),
		 {"a", 5, 2, EP_HAS_LEFT},
		 false,
		 true},
		{"late heartbeat of one that left",
		 record_of(1, {"a", 5, 2, EP_HAS_LEFT}),
		 record_of(2, {"a", 5, 3, EP_SERVES}),
		 {"a", 5, 2, EP_HAS_LEFT},
		 false,
		 true},
		{"late heartbeat of one that drains",
		 record_of(1, {"a", 5, 4, EP_DRAINS}),
		 record_of(2, {"a", 5, 3, EP_SERVES}),
		 {"a", 5, 4, EP_DRAINS},
		 true,
		 false},
		{"late heartbeat of an earlier start",
		 record_of(1, {"b", 9, 4, EP_SERVES}),
		 record_of(2, {"a", 5, 3, EP_SERVES}),
		 {"b", 9, 4, EP_SERVES},
		 false,
		 true},
		{"next heartbeat",
		 record_of(1, {"a", 5, 4, EP_SERVES}),
		 record_of(2, {"a", 5, 5, EP_SERVES}),
		 {"a", 5, 5, EP_SERVES},
		 false,
		 false},
		{"next start",
		 record_of(1, {"a", 5, 4, EP_HAS_LEFT}),
		 record_of(2, {"a", 9, 1, EP_SERVES}),
		 {"a", 9, 1, EP_SERVES},
		 false,
		 false},
		{"deregistered within one incarnation",
		 record_of(2, {"a", 5, 4, EP_SERVES}),
		 record_of(2, {"a", 5, 4, EP_HAS_LEFT}),
		 {"a", 5, 4, EP_HAS_LEFT},
		 false,
		 true},
		{"older incarnation",
		 record_of(3, {"a", 5, 4, EP_HAS_LEFT}),
		 record_of(2, {"a", 5, 3, EP_SERVES}),
		 {"a", 5, 3, EP_SERVES},
		 false,
		 false},
	};

	for (const auto &c : cases) {
		struct ep_record r = c.next;
		struct ep_lifetime got;

		ep_record_keep_lifetime(&r, &c.known);
		got = ep_record_lifetime(&r);
		EXPECT_STREQ(got.backend, c.want.backend) << c.name;
		EXPECT_EQ(got.start_wall_ms, c.want.start_wall_ms) << c.name;
		EXPECT_EQ(got.sequence, c.want.sequence) << c.name;
		EXPECT_EQ(got.state, c.want.state) << c.name;
		EXPECT_EQ(r.draining, c.draining) << c.name;
		EXPECT_EQ(r.left, c.left) << c.name;
	}
}

TEST(EpWire, TheLifetimeOfTheBackendServerIsSentWhole)
{
	struct ep_record r = record_of(1, {"a", 1234567890123, 7, EP_DRAINS});
	struct transfer t(r, 0, 0);
	struct ep_lifetime got = ep_record_lifetime(&t.record);

	EXPECT_STREQ(got.backend, "a");
	EXPECT_EQ(got.start_wall_ms, 1234567890123);
	EXPECT_EQ(got.sequence, 7);
	EXPECT_EQ(got.state, EP_DRAINS);
}

TEST(EpTable, AChangeOfMarksIsAChangeOfTheRecord)
{
	struct ep_table *t = ep_table_new(10);
	auto marks = some_marks(2);
	struct ep_record r = record("a", 1, 1);
	struct ep_centre_digest before;
	struct ep_centre_digest after;
	uint64_t generation;

	ep_table_put(t, &r, EP_HELD_HERE, BA_NEVER, 0);
	ep_table_digest(t, "d1", &before);
	generation = ep_table_generation(t);
	set_marks(&r, marks, 7);
	r.sequence = 2;
	EXPECT_EQ(ep_table_put(t, &r, EP_HELD_HERE, BA_NEVER, 0), EP_CHANGED);
	ep_table_digest(t, "d1", &after);
	EXPECT_GT(ep_table_generation(t), generation);
	EXPECT_NE(before.root, after.root);

	struct ep_record older = record("a", 1, 1);

	EXPECT_EQ(ep_table_put(t, &older, EP_HELD_BY_PEER, BA_NEVER, 0),
		  EP_OLDER);
	const struct ep_record *got = ep_table_get(t, "a");

	EXPECT_TRUE(same_marks(got->marks, got->n_marks, marks));
	EXPECT_EQ(got->marks_epoch, 7u);
	ep_table_free(t);
}

/** Get the reports that a daemon of @t uses, by instance. */
std::map<std::string, std::vector<struct ep_mark>> reports_of(
	struct ep_table *t)
{
	struct ep_view_options o = {"me", "d1", "r1", 1};
	struct ep_view *v = ep_table_view(t, nullptr, &o);
	std::map<std::string, std::vector<struct ep_mark>> reports;

	for (size_t i = 0; i < v->n_reports; i++)
		reports[v->reports[i].instance].assign(
			v->reports[i].marks,
			v->reports[i].marks + v->reports[i].n_marks);
	ep_view_unref(v);
	return reports;
}

bool same_reports(struct ep_table *a, struct ep_table *b)
{
	auto x = reports_of(a);
	auto y = reports_of(b);

	if (x.size() != y.size())
		return false;
	for (auto &i : x)
		if (!same_marks(i.second.data(), i.second.size(), y[i.first]))
			return false;
	return true;
}

/*
 * Whatever two tables have missed of each other's records, they know the same
 * reports after exchanging buckets, also those of endpoints that have left.
 */
RC_GTEST_PROP(EpTable, DigestsFindEveryReport, (uint64_t seed))
{
	history h = make_history(seed);
	struct ba_rand r = {seed};
	struct ep_table *t[2] = {ep_table_new(100), ep_table_new(100)};
	std::vector<std::vector<struct ep_mark>> marks;

	marks.reserve(h.announced.size());
	for (auto &rec : h.announced) {
		marks.push_back(some_marks(ba_rand_below(&r, 3), marks.size()));
		set_marks(&rec, marks.back(), 1);
		for (auto *table : t)
			if (ba_rand_below(&r, 2))
				ep_table_put(table, &rec, EP_HELD_BY_PEER,
					     BA_NEVER, 0);
	}
	exchange(t[0], t[1]);
	exchange(t[1], t[0]);
	RC_ASSERT(same_reports(t[0], t[1]));
	ep_table_free(t[0]);
	ep_table_free(t[1]);
}

/* How long an EpUpdate is under way. */
const ba_time TRANSIT = 20 * BA_MS;

/* Faults of the checked code that the checker must detect. */
enum tombstone_fault {
	NO_FAULT,
	RENEWED_BY_TRANSFER,
	TAKEN_WHEN_DUE,
};

/* Relays that exchange a tombstone with marks; see time_until_forgotten(). */
struct tombstone_world {
	struct ba_rand rand;
	enum tombstone_fault fault;
	std::vector<struct ep_table *> tables;
	std::vector<ba_time> starts;
	std::vector<ba_time> ticks;
	ba_time now = 0;

	tombstone_world(uint64_t seed, enum tombstone_fault f) : fault(f)
	{
		rand.state = seed;
		for (int i = 0; i < 8; i++) {
			tables.push_back(ep_table_new(10));
			starts.push_back((ba_time)ba_rand_below(
				&rand, i ? EP_TOMBSTONE_TIME : 1));
			ticks.push_back(
				(ba_time)ba_rand_below(&rand, BA_SECOND));
		}
	}

	~tombstone_world()
	{
		for (auto *t : tables)
			ep_table_free(t);
	}

	/* Each relay looks once a second for what is due. */
	size_t tick()
	{
		size_t known = 0;

		for (size_t i = 0; i < tables.size(); i++) {
			if (now >= ticks[i]) {
				ticks[i] += BA_SECOND;
				ep_table_expire(tables[i], now);
			}
			known += ep_table_get(tables[i], "a") != nullptr;
		}
		return known;
	}

	void exchange_one()
	{
		size_t to = ba_rand_below(&rand, tables.size());
		size_t from = ba_rand_below(&rand, tables.size());
		const struct ep_record *got = ep_table_get(tables[from], "a");
		ba_time arrival = now + TRANSIT;

		if (!got || now < starts[to] || ep_table_get(tables[to], "a"))
			return;
		struct transfer t(*got, now, arrival);

		if (fault == RENEWED_BY_TRANSFER)
			t.record.lease_deadline = 0;
		if (fault == TAKEN_WHEN_DUE)
			t.record.lease_deadline =
				std::max(t.record.lease_deadline, arrival + 1);
		ep_table_put(tables[to], &t.record, EP_HELD_BY_PEER, BA_NEVER,
			     arrival);
	}
};

/*
 * Relays that start one after the other exchange a tombstone with marks until
 * all have forgotten it.
 *
 * Return: time at which the last table forgot it, BA_HOUR at the latest.
 */
ba_time time_until_forgotten(uint64_t seed, enum tombstone_fault fault)
{
	struct tombstone_world w(seed, fault);
	auto marks = some_marks(1);
	struct ep_record r = record("a", 1, 1);

	r.left = true;
	set_marks(&r, marks, 1);
	ep_table_put(w.tables[0], &r, EP_HELD_HERE, BA_NEVER, 0);
	while (w.tick() && w.now < BA_HOUR) {
		for (int i = 0; i < 6; i++)
			w.exchange_one();
		w.now += 100 * BA_MS;
	}
	return w.now;
}

RC_GTEST_PROP(EpTable, ATombstoneIsForgottenInTime, (uint64_t seed))
{
	RC_ASSERT(time_until_forgotten(seed, NO_FAULT) <
		  EP_TOMBSTONE_TIME + 5 * BA_SECOND);
}

TEST(EpTable, TheCheckerDetectsTombstonesThatStay)
{
	for (auto fault : {RENEWED_BY_TRANSFER, TAKEN_WHEN_DUE}) {
		bool caught = false;

		for (uint64_t seed = 1; seed < 20; seed++)
			caught |= time_until_forgotten(seed, fault) >=
				  EP_TOMBSTONE_TIME + 5 * BA_SECOND;
		EXPECT_TRUE(caught) << fault;
	}
}

TEST(EpView, HasTheReportsOfAllRecords)
{
	struct ep_table *t = ep_table_new(100);
	struct ep_view_options o = {"me", "d1", "r1", 2};
	auto marks = some_marks(3);
	struct ep_view *first;
	struct ep_view *second;
	struct ep_view *third;

	for (int i = 0; i < 20; i++) {
		struct ep_record r = record("e" + std::to_string(i), 1, 1,
					    i % 3 ? "d1" : "d2");

		r.service = (char *)(i % 2 ? "orders" : "stock");
		r.draining = i % 5 == 1;
		r.left = i % 5 == 2;
		if (i != 7)
			set_marks(&r, marks, 9);
		ep_table_put(t, &r, EP_HELD_BY_PEER, BA_NEVER, 0);
	}
	first = ep_table_view(t, nullptr, &o);
	EXPECT_EQ(first->n_reports, 19u);
	for (size_t i = 0; i < first->n_reports; i++) {
		EXPECT_STRNE(first->reports[i].instance, "e7");
		EXPECT_EQ(first->reports[i].epoch, 9u);
		EXPECT_TRUE(same_marks(first->reports[i].marks,
				       first->reports[i].n_marks, marks));
	}

	struct ep_record change = record("e7", 1, 2);

	ep_table_put(t, &change, EP_HELD_BY_PEER, BA_NEVER, 0);
	second = ep_table_view(t, first, &o);
	EXPECT_NE(first, second);
	EXPECT_EQ(second->reports, first->reports);
	EXPECT_EQ(second->reports_generation, first->reports_generation);
	ep_view_unref(first);

	change = record("e3", 1, 2);
	ep_table_put(t, &change, EP_HELD_BY_PEER, BA_NEVER, 0);
	third = ep_table_view(t, second, &o);
	EXPECT_EQ(third->n_reports, 18u);
	EXPECT_NE(third->reports_generation, second->reports_generation);
	EXPECT_EQ(second->n_reports, 19u);
	ep_view_unref(second);
	ep_view_unref(third);
	ep_table_free(t);
}

} // namespace
