#include <gtest/gtest.h>

#include <string>

#include "base/ba_result.h"
#include "report/rt.h"

extern "C" {
#include "daemon/da_audit.h"
}

namespace
{

/* A call of a daemon, as far as the audit looks at it. */
struct call {
	call()
	{
		c.w = &worker;
		worker.tables = &tables;
		c.method = (char *)"GET";
		c.answer.length = -1;
		c.answer.whole = true;
	}

	struct da_tables tables = {};
	struct da_worker worker = {};
	struct da_call c = {};
};

uint64_t breaches_of(enum rt_counter id, void (*f)(struct call *))
{
	uint64_t before = rt_counter_value(id);
	struct call call;

	f(&call);
	return rt_counter_value(id) - before;
}

void hand(struct call *call, const std::string &key)
{
	call->c.key = (char *)key.c_str();
	call->c.to_backend = true;
	da_audit_handed(&call->c);
}

void refused(struct call *call, const std::string &key)
{
	struct da_end end = {};

	call->c.key = (char *)key.c_str();
	call->c.to_backend = true;
	da_audit_attempt(&call->c, &end);
}

TEST(ClAudit, Breaches)
{
	static const struct {
		const char *what;
		enum rt_counter id;
		uint64_t breaches;
		void (*f)(struct call *);
	} cases[] = {
		{"an answer that is whole", RT_ANSWERS_WRONG, 0,
		 [](struct call *k) { da_audit_end(&k->c); }},
		{"an answer that broke off", RT_ANSWERS_WRONG, 1,
		 [](struct call *k) {
			 k->c.answer.whole = false;
			 da_audit_end(&k->c);
		 }},
		{"an answer shorter than its head says", RT_ANSWERS_WRONG, 1,
		 [](struct call *k) {
			 k->c.answer.length = 5;
			 k->c.passed = 4;
			 da_audit_end(&k->c);
		 }},
		{"not run, and nobody was handed it", RT_FALSE_NOT_RUN, 0,
		 [](struct call *k) {
			 k->c.result = CL_NO_ENDPOINT;
			 da_audit_end(&k->c);
		 }},
		{"not run, after a backend server had it", RT_FALSE_NOT_RUN, 1,
		 [](struct call *k) {
			 struct da_end end = {};

			 end.written = true;
			 k->c.to_backend = true;
			 da_audit_attempt(&k->c, &end);
			 k->c.result = CL_NO_ENDPOINT;
			 da_audit_end(&k->c);
		 }},
		{"work that came before the drain", RT_WORK_WHILE_DRAINING, 0,
		 [](struct call *k) {
			 k->tables.draining = true;
			 k->tables.work_deadline = 100;
			 k->c.arrived = 99;
			 da_audit_handed(&k->c);
		 }},
		{"work long after the drain", RT_WORK_WHILE_DRAINING, 1,
		 [](struct call *k) {
			 k->tables.draining = true;
			 k->tables.work_deadline = 100;
			 k->c.arrived = 101;
			 da_audit_handed(&k->c);
		 }},
		{"two keys", RT_DOUBLE_RUNS, 0,
		 [](struct call *k) {
			 hand(k, "audit-1");
			 hand(k, "audit-2");
		 }},
		{"one key twice", RT_DOUBLE_RUNS, 1,
		 [](struct call *k) {
			 hand(k, "audit-3");
			 hand(k, "audit-3");
		 }},
		{"one key again after it was not begun", RT_DOUBLE_RUNS, 0,
		 [](struct call *k) {
			 hand(k, "audit-4");
			 refused(k, "audit-4");
			 hand(k, "audit-4");
		 }},
		{"a place used again keeps a newer equal key", RT_DOUBLE_RUNS,
		 1,
		 [](struct call *k) {
			 hand(k, "audit-5");
			 refused(k, "audit-5");
			 for (int i = 0; i < 65536 - 2; i++)
				 hand(k, "fill-" + std::to_string(i));
			 hand(k, "audit-5");
			 hand(k, "audit-6");
			 hand(k, "audit-5");
		 }},
	};

	for (const auto &c : cases)
		EXPECT_EQ(breaches_of(c.id, c.f), c.breaches) << c.what;
}

} // namespace
