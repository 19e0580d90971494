#include <string.h>

#include <glib.h>

#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_rand.h"
#include "base/ba_result.h"
#include "ctl/ct.h"

#define ATTEMPT_TIMEOUT (5 * BA_SECOND)
#define MIN_RETRY_DELAY (50 * BA_MS)
#define MAX_RETRY_DELAY (1 * BA_SECOND)

enum { MAX_REDIRECTS = 3 };

static const struct wi_limits limits = {
	.heartbeat_interval = 1 * BA_SECOND,
	.silence_timeout = 3 * BA_SECOND,
	.connect_timeout = WI_CONNECT_TIMEOUT,
	.handshake_timeout = 2 * BA_SECOND,
	.max_queue_bytes = WI_FRAME_LIMIT_BYTES + 4096,
};

/* One request and its answer on a session of its own. */
struct exchange {
	struct wi_handler handler;
	struct ba_timer timer;
	struct ba_loop *loop;
	struct wi_session *session;
	int type;
	const ProtobufCMessage *request;
	int answer_type;
	const ProtobufCMessageDescriptor *answer_descriptor;
	ProtobufCMessage *answer;
	int code;
};

/*
 * How queries and submissions differ.
 * @result_code: returns the result code in an answer
 * @leader_address: returns the address of the leader in an answer
 * @prefers_leader: the leader's answer replaces that of a follower, which may
 *	not have received the latest versions yet
 */
struct request_kind {
	int type;
	int answer_type;
	const ProtobufCMessageDescriptor *answer_descriptor;
	int (*result_code)(const ProtobufCMessage *answer);
	const char *(*leader_address)(const ProtobufCMessage *answer);
	bool prefers_leader;
};

static int answer_code(const ProtobufCMessage *m);
static const char *answer_leader(const ProtobufCMessage *m);
static int outcome_code(const ProtobufCMessage *m);
static const char *outcome_leader(const ProtobufCMessage *m);

static const struct request_kind query_kind = {
	CT_QUERY,    CT_ANSWER,	    &ct_answer__descriptor,
	answer_code, answer_leader, true,
};
static const struct request_kind submit_kind = {
	CT_SUBMIT,    CT_OUTCOME,     &ct_outcome__descriptor,
	outcome_code, outcome_leader, false,
};

static int request_with_retry(struct ct *ct, const struct request_kind *kind,
			      const ProtobufCMessage *request,
			      ProtobufCMessage **answer);
static int try_sources(struct ct *ct, const struct request_kind *kind,
		       const ProtobufCMessage *request,
		       ProtobufCMessage **answer);
static int follow_redirects(struct ct *ct, const struct request_kind *kind,
			    const struct ba_address *to,
			    const ProtobufCMessage *request,
			    ProtobufCMessage **answer);
static int send_request(struct ct *ct, const struct request_kind *kind,
			const struct ba_address *to,
			const ProtobufCMessage *request,
			ProtobufCMessage **answer);
static void refetch_from_leader(struct ct *ct, const struct request_kind *kind,
				const ProtobufCMessage *request,
				ProtobufCMessage **answer);
static bool is_transient(int code);
static void on_opened(struct wi_handler *h, struct wi_session *s);
static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after);
static void on_timer(struct ba_timer *t, ba_time now);

int ct_query(struct ct *ct, const char *command, const char *argument,
	     CtAnswer **answer)
{
	CtQuery q = CT_QUERY__INIT;
	ProtobufCMessage *m = NULL;
	char *arguments[1] = {(char *)argument};
	int code;

	q.command = (char *)command;
	q.arguments = arguments;
	q.n_arguments = argument ? 1 : 0;
	code = request_with_retry(ct, &query_kind, &q.base, &m);
	*answer = (CtAnswer *)m;
	return code;
}

int ct_query_json(struct ct *ct, const char *command, const char *argument,
		  json_t **out)
{
	CtAnswer *answer;
	int code = ct_query(ct, command, argument, &answer);

	if (code)
		return code;
	if (answer->code) {
		code = (int)answer->code;
		ct_answer__free_unpacked(answer, NULL);
		return code;
	}
	*out = json_loadb((const char *)answer->json.data, answer->json.len, 0,
			  NULL);
	ct_answer__free_unpacked(answer, NULL);
	return *out ? BA_OK : WI_FRAME_GARBAGE;
}

int ct_fetch_current(struct ct *ct, struct cf_snapshot **out)
{
	CtAnswer *answer;
	int code = ct_query(ct, "current", NULL, &answer);

	if (code)
		return code;
	code = (int)answer->code;
	if (!code)
		code = cf_snapshot_decode(answer->snapshot.data,
					  answer->snapshot.len, out);
	ct_answer__free_unpacked(answer, NULL);
	return code;
}

int ct_send_submission(struct ct *ct, const CtSubmit *submit,
		       CtOutcome **outcome)
{
	ProtobufCMessage *m = NULL;
	int code = request_with_retry(ct, &submit_kind, &submit->base, &m);

	*outcome = (CtOutcome *)m;
	return code;
}

/*
 * Tries all sources until the result is not transient or the deadline is near.
 * The delay between rounds grows exponentially and is randomized.
 */
static int request_with_retry(struct ct *ct, const struct request_kind *kind,
			      const ProtobufCMessage *request,
			      ProtobufCMessage **answer)
{
	struct ba_rand rand = {ct->identity.incarnation};
	ba_time delay = MIN_RETRY_DELAY;
	int code = try_sources(ct, kind, request, answer);

	while (is_transient(code) && ba_clock_now() + delay < ct->deadline) {
		g_usleep((gulong)(delay / 2 + (ba_time)ba_rand_below(
						      &rand, (uint64_t)delay)));
		delay = MIN(2 * delay, MAX_RETRY_DELAY);
		code = try_sources(ct, kind, request, answer);
	}
	return code;
}

static int try_sources(struct ct *ct, const struct request_kind *kind,
		       const ProtobufCMessage *request,
		       ProtobufCMessage **answer)
{
	const struct ba_addresses *sources = &ct->settings.sources;
	int code = RT_SOURCE_UNREACHABLE;
	int last_answer_code = BA_OK;

	for (size_t i = 0; i < sources->n; i++) {
		if (ba_clock_now() >= ct->deadline)
			break;
		code = follow_redirects(ct, kind, &sources->list[i], request,
					answer);
		if (!is_transient(code))
			return code;
		if (code != WI_CONNECT_FAILED && code != WI_PEER_SILENT)
			last_answer_code = code;
	}
	return last_answer_code ? last_answer_code : RT_SOURCE_UNREACHABLE;
}

/* Follows the address of the leader that a follower gives in its answer. */
static int follow_redirects(struct ct *ct, const struct request_kind *kind,
			    const struct ba_address *to,
			    const ProtobufCMessage *request,
			    ProtobufCMessage **answer)
{
	struct ba_address next = *to;
	int code = BA_OK;

	for (int i = 0; i <= MAX_REDIRECTS; i++) {
		code = send_request(ct, kind, &next, request, answer);
		if (code)
			return code;
		code = kind->result_code(*answer);
		if (!is_transient(code)) {
			if (kind->prefers_leader)
				refetch_from_leader(ct, kind, request, answer);
			return BA_OK;
		}
		if (code != RP_NOT_LEADER ||
		    ba_parse_address(kind->leader_address(*answer), &next))
			i = MAX_REDIRECTS;
		protobuf_c_message_free_unpacked(*answer, NULL);
		*answer = NULL;
	}
	return code;
}

/* Replaces @answer by the answer of the leader, if the leader gives one. */
static void refetch_from_leader(struct ct *ct, const struct request_kind *kind,
				const ProtobufCMessage *request,
				ProtobufCMessage **answer)
{
	struct ba_address leader;
	ProtobufCMessage *leader_answer = NULL;

	if (ba_parse_address(kind->leader_address(*answer), &leader) ||
	    send_request(ct, kind, &leader, request, &leader_answer))
		return;
	if (kind->result_code(leader_answer)) {
		protobuf_c_message_free_unpacked(leader_answer, NULL);
		return;
	}
	protobuf_c_message_free_unpacked(*answer, NULL);
	*answer = leader_answer;
}

static int send_request(struct ct *ct, const struct request_kind *kind,
			const struct ba_address *to,
			const ProtobufCMessage *request,
			ProtobufCMessage **answer)
{
	struct exchange x = {
		.handler = {on_opened, on_frame, on_closed},
		.timer = {.fire = on_timer},
		.type = kind->type,
		.request = request,
		.answer_type = kind->answer_type,
		.answer_descriptor = kind->answer_descriptor,
	};

	x.loop = ba_loop_new();
	if (!x.loop)
		return BA_INTERNAL;
	x.session = wi_dial(x.loop, to, &ct->identity, &limits, &x.handler);
	ba_loop_arm(x.loop, &x.timer,
		    MIN(ct->deadline, ba_clock_now() + ATTEMPT_TIMEOUT));
	ba_loop_run(x.loop);
	ba_loop_free(x.loop);
	*answer = x.answer;
	return x.answer ? BA_OK : x.code;
}

/* Whether the same request may succeed when it is sent again later. */
static bool is_transient(int code)
{
	static const int transient[] = {
		RP_NOT_LEADER,	WI_CONNECT_FAILED, RP_NO_QUORUM,
		WI_PEER_SILENT, WI_PEER_CLOSED,	   RP_SUBMISSION_TIMEOUT,
		WI_QUEUE_FULL,	WI_TOO_MANY_PEERS, RT_SOURCE_UNREACHABLE,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(transient); i++)
		if (transient[i] == code)
			return true;
	return false;
}

static void on_opened(struct wi_handler *h, struct wi_session *s)
{
	struct exchange *x = (struct exchange *)h;

	wi_send(s, x->type, x->request);
}

static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f)
{
	struct exchange *x = (struct exchange *)h;

	(void)s;
	if (f->type != x->answer_type || x->answer)
		return WI_FRAME_UNKNOWN;
	x->answer = wi_frame_unpack(f, x->answer_descriptor);
	return x->answer ? WI_PEER_CLOSED : WI_FRAME_GARBAGE;
}

static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after)
{
	struct exchange *x = (struct exchange *)h;

	(void)s;
	(void)retry_after;
	x->code = code ? code : WI_PEER_CLOSED;
	ba_loop_disarm(x->loop, &x->timer);
	ba_loop_stop(x->loop);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct exchange *x = ba_entry(t, struct exchange, timer);

	(void)now;
	wi_close(x->session, WI_PEER_SILENT);
}

static int answer_code(const ProtobufCMessage *m)
{
	return (int)((const CtAnswer *)m)->code;
}

static const char *answer_leader(const ProtobufCMessage *m)
{
	return ((const CtAnswer *)m)->leader;
}

static int outcome_code(const ProtobufCMessage *m)
{
	return (int)((const CtOutcome *)m)->code;
}

static const char *outcome_leader(const ProtobufCMessage *m)
{
	return ((const CtOutcome *)m)->leader;
}
