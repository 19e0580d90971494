#include <string.h>

#include <glib.h>

#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_rand.h"
#include "base/ba_result.h"
#include "ctl/ct.h"

#define ATTEMPT_TIME (5 * BA_SECOND)
#define PAUSE_LEAST (50 * BA_MS)
#define PAUSE_MOST (1 * BA_SECOND)

enum { REDIRECTS_LIMIT = 3 };

static const struct wi_limits limits = {
	.heartbeat = 1 * BA_SECOND,
	.silence = 3 * BA_SECOND,
	.connecting = WI_CONNECTING_LIMIT,
	.opening = 2 * BA_SECOND,
	.queue_bytes = WI_FRAME_LIMIT_BYTES + 4096,
};

/* One request and its answer over one session. */
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
 * What differs between a query and a submission.
 * @code: the result code inside an answer
 * @leader: the address of the leader inside an answer
 * @of_leader: the leader's answer is preferred to that of a follower, which
 *	may not have heard of the latest versions
 */
struct kind {
	int type;
	int answer_type;
	const ProtobufCMessageDescriptor *answer_descriptor;
	int (*code)(const ProtobufCMessage *answer);
	const char *(*leader)(const ProtobufCMessage *answer);
	bool of_leader;
};

static int answer_code(const ProtobufCMessage *m);
static const char *answer_leader(const ProtobufCMessage *m);
static int outcome_code(const ProtobufCMessage *m);
static const char *outcome_leader(const ProtobufCMessage *m);

static const struct kind query_kind = {
	CT_QUERY,    CT_ANSWER,	    &ct_answer__descriptor,
	answer_code, answer_leader, true,
};
static const struct kind submit_kind = {
	CT_SUBMIT,    CT_OUTCOME,     &ct_outcome__descriptor,
	outcome_code, outcome_leader, false,
};

static int ask_until_known(struct ct *ct, const struct kind *kind,
			   const ProtobufCMessage *request,
			   ProtobufCMessage **answer);
static int ask_each(struct ct *ct, const struct kind *kind,
		    const ProtobufCMessage *request, ProtobufCMessage **answer);
static int ask_following(struct ct *ct, const struct kind *kind,
			 const struct ba_address *to,
			 const ProtobufCMessage *request,
			 ProtobufCMessage **answer);
static int ask(struct ct *ct, const struct kind *kind,
	       const struct ba_address *to, const ProtobufCMessage *request,
	       ProtobufCMessage **answer);
static void prefer_leader(struct ct *ct, const struct kind *kind,
			  const ProtobufCMessage *request,
			  ProtobufCMessage **answer);
static bool is_passing(int code);
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
	code = ask_until_known(ct, &query_kind, &q.base, &m);
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

int ct_current(struct ct *ct, struct cf_snapshot **out)
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
	int code = ask_until_known(ct, &submit_kind, &submit->base, &m);

	*outcome = (CtOutcome *)m;
	return code;
}

/* Goes round the sources, with growing pauses, until the deadline. */
static int ask_until_known(struct ct *ct, const struct kind *kind,
			   const ProtobufCMessage *request,
			   ProtobufCMessage **answer)
{
	struct ba_rand rand = {ct->id.incarnation};
	ba_time pause = PAUSE_LEAST;
	int code = ask_each(ct, kind, request, answer);

	while (is_passing(code) && ba_clock_now() + pause < ct->deadline) {
		g_usleep((gulong)(pause / 2 + (ba_time)ba_rand_below(
						      &rand, (uint64_t)pause)));
		pause = MIN(2 * pause, PAUSE_MOST);
		code = ask_each(ct, kind, request, answer);
	}
	return code;
}

static int ask_each(struct ct *ct, const struct kind *kind,
		    const ProtobufCMessage *request, ProtobufCMessage **answer)
{
	const struct ba_addresses *sources = &ct->settings.sources;
	int code = RT_SOURCE_UNREACHABLE;
	int told = BA_OK;

	for (size_t i = 0; i < sources->n; i++) {
		if (ba_clock_now() >= ct->deadline)
			break;
		code = ask_following(ct, kind, &sources->list[i], request,
				     answer);
		if (!is_passing(code))
			return code;
		if (code != WI_CONNECT_FAILED && code != WI_PEER_SILENT)
			told = code;
	}
	return told ? told : RT_SOURCE_UNREACHABLE;
}

/* A replica that does not lead names the one that does. */
static int ask_following(struct ct *ct, const struct kind *kind,
			 const struct ba_address *to,
			 const ProtobufCMessage *request,
			 ProtobufCMessage **answer)
{
	struct ba_address next = *to;
	int code = BA_OK;

	for (int i = 0; i <= REDIRECTS_LIMIT; i++) {
		code = ask(ct, kind, &next, request, answer);
		if (code)
			return code;
		code = kind->code(*answer);
		if (!is_passing(code)) {
			if (kind->of_leader)
				prefer_leader(ct, kind, request, answer);
			return BA_OK;
		}
		if (code != RP_NOT_LEADER ||
		    ba_parse_address(kind->leader(*answer), &next))
			i = REDIRECTS_LIMIT;
		protobuf_c_message_free_unpacked(*answer, NULL);
		*answer = NULL;
	}
	return code;
}

static void prefer_leader(struct ct *ct, const struct kind *kind,
			  const ProtobufCMessage *request,
			  ProtobufCMessage **answer)
{
	struct ba_address leader;
	ProtobufCMessage *better = NULL;

	if (ba_parse_address(kind->leader(*answer), &leader) ||
	    ask(ct, kind, &leader, request, &better))
		return;
	if (kind->code(better)) {
		protobuf_c_message_free_unpacked(better, NULL);
		return;
	}
	protobuf_c_message_free_unpacked(*answer, NULL);
	*answer = better;
}

static int ask(struct ct *ct, const struct kind *kind,
	       const struct ba_address *to, const ProtobufCMessage *request,
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
	x.session = wi_dial(x.loop, to, &ct->id, &limits, &x.handler);
	ba_loop_arm(x.loop, &x.timer,
		    MIN(ct->deadline, ba_clock_now() + ATTEMPT_TIME));
	ba_loop_run(x.loop);
	ba_loop_free(x.loop);
	*answer = x.answer;
	return x.answer ? BA_OK : x.code;
}

/* Whether the same request may well have another answer a little later. */
static bool is_passing(int code)
{
	static const int passing[] = {
		RP_NOT_LEADER,	WI_CONNECT_FAILED, RP_NO_QUORUM,
		WI_PEER_SILENT, WI_PEER_CLOSED,	   RP_SUBMISSION_TIMEOUT,
		WI_QUEUE_FULL,	WI_TOO_MANY_PEERS, RT_SOURCE_UNREACHABLE,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(passing); i++)
		if (passing[i] == code)
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
