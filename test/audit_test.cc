#include <gtest/gtest.h>

#include <string>

#include "base/ba_result.h"
#include "report/rt.h"

extern "C" {
#include "daemon/da_audit.h"
}

namespace
{

/* A call with the members that the audit reads. */
struct call {
	call()
	{
		c.w = &worker;
		worker.shared = &shared;
		c.method = (char *)"GET";
		c.answer.length = -1;
		c.answer.complete = true;
	}

	struct da_shared shared = {};
	struct da_worker worker = {};
	struct da_call c = {};
};

uint64_t count_breaches(enum rt_counter id, void (*f)(struct call *))
{
	uint64_t before = rt_counter_value(id);
	struct call call;

	f(&call);
	return rt_counter_value(id) - before;
}

void send_to_backend(struct call *call, const std::string &key)
{
	call->c.key = (char *)key.c_str();
	call->c.to_backend = true;
	da_audit_backend_start(&call->c);
}

void end_unwritten(struct call *call, const std::string &key)
{
	struct da_fetch_end end = {};

	call->c.key = (char *)key.c_str();
	call->c.to_backend = true;
	da_audit_attempt_end(&call->c, &end);
}

TEST(ClAudit, Breaches)
{
	static const struct {
		const char *what;
		enum rt_counter id;
		uint64_t breaches;
		void (*f)(struct call *);
	} cases[] = {
		{"a complete answer", RT_ANSWERS_WRONG, 0,
		 [](struct call *k) { da_audit_call_end(&k->c); }},
		{"an answer that broke off", RT_ANSWERS_WRONG, 1,
		 [](struct call *k) {
			 k->c.answer.complete = false;
			 da_audit_call_end(&k->c);
		 }},
		{"an answer shorter than its head says", RT_ANSWERS_WRONG, 1,
		 [](struct call *k) {
			 k->c.answer.length = 5;
			 k->c.bytes_sent = 4;
			 da_audit_call_end(&k->c);
		 }},
		{"not run, and never sent to a backend server",
		 RT_FALSE_NOT_RUN, 0,
		 [](struct call *k) {
			 k->c.result = CL_NO_ENDPOINT;
			 da_audit_call_end(&k->c);
		 }},
		{"not run, although a backend server received it",
		 RT_FALSE_NOT_RUN, 1,
		 [](struct call *k) {
			 struct da_fetch_end end = {};

			 end.written = true;
			 k->c.to_backend = true;
			 da_audit_attempt_end(&k->c, &end);
			 k->c.result = CL_NO_ENDPOINT;
			 da_audit_call_end(&k->c);
		 }},
		{"work that arrived before the deadline of the drain",
		 RT_WORK_WHILE_DRAINING, 0,
		 [](struct call *k) {
			 k->shared.draining = true;
			 k->shared.work_deadline = 100;
			 k->c.arrived = 99;
			 da_audit_backend_start(&k->c);
		 }},
		{"work that arrived after the deadline of the drain",
		 RT_WORK_WHILE_DRAINING, 1,
		 [](struct call *k) {
			 k->shared.draining = true;
			 k->shared.work_deadline = 100;
			 k->c.arrived = 101;
			 da_audit_backend_start(&k->c);
		 }},
		{"two keys", RT_DOUBLE_RUNS, 0,
		 [](struct call *k) {
			 send_to_backend(k, "audit-1");
			 send_to_backend(k, "audit-2");
		 }},
		{"one key twice", RT_DOUBLE_RUNS, 1,
		 [](struct call *k) {
			 send_to_backend(k, "audit-3");
			 send_to_backend(k, "audit-3");
		 }},
		{"one key again after its request did not begin",
		 RT_DOUBLE_RUNS, 0,
		 [](struct call *k) {
			 send_to_backend(k, "audit-4");
			 end_unwritten(k, "audit-4");
			 send_to_backend(k, "audit-4");
		 }},
		{"reusing a slot keeps a newer entry of its key",
		 RT_DOUBLE_RUNS, 1,
		 [](struct call *k) {
			 send_to_backend(k, "audit-5");
			 end_unwritten(k, "audit-5");
			 /*
			  * 65536 is MAX_RECENT_KEYS of the audit: "audit-5"
			  * gets the last slot, and "audit-6" the slot that
			  * "audit-5" had at first.
			  */
			 for (int i = 0; i < 65536 - 2; i++)
				 send_to_backend(k,
						 "fill-" + std::to_string(i));
			 send_to_backend(k, "audit-5");
			 send_to_backend(k, "audit-6");
			 send_to_backend(k, "audit-5");
		 }},
	};

	for (const auto &c : cases)
		EXPECT_EQ(count_breaches(c.id, c.f), c.breaches) << c.what;
}

} // namespace
