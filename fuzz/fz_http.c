/*
 * HTTP requests, in two pieces, the first as long as the first byte says.  Each
 * complete one is answered, and the next one is read.
 */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ba_loop.h"
#include "base/ba_socket.h"
#include "fuzz/fz.h"
#include "http/ht_conn.h"
#include "platform/pf.h"

enum { HEAD_LIMIT = 1024, ROUNDS = 200 };

struct reader {
	struct ht_conn_owner owner;
	size_t body_bytes;
	size_t given;
	int ended;
};

static void on_head(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct reader *r = (struct reader *)o;
	const struct ht_head *h = ht_conn_head(c);
	struct px_caller_fields fields;
	struct px_answer_fields answer;

	r->body_bytes = 0;
	fz_require(strlen(h->method) + strlen(ht_head_target(h)) <= HEAD_LIMIT,
		   "a head is no longer than its limit");
	pf_proxy.read_request(h, &fields);
	pf_proxy.read_answer(h, &answer);
}

static void on_body(struct ht_conn_owner *o, struct ht_conn *c,
		    const void *data, size_t len)
{
	struct reader *r = (struct reader *)o;
	const struct ht_head *h = ht_conn_head(c);

	(void)data;
	r->body_bytes += len;
	fz_require(r->body_bytes <= r->given, "no more body than bytes");
	fz_require(h->length < 0 || r->body_bytes <= (size_t)h->length,
		   "a body is no longer than it says");
}

static void on_complete(struct ht_conn_owner *o, struct ht_conn *c)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\n"
				     "Content-Length: 0\r\n\r\n";
	struct reader *r = (struct reader *)o;
	const struct ht_head *h = ht_conn_head(c);

	fz_require(h->length < 0 || r->body_bytes == (size_t)h->length,
		   "a complete body is as long as it says");
	ht_conn_write(c, answer, sizeof(answer) - 1);
	ht_conn_flush(c);
	ht_conn_read_next(c);
}

static void on_ended(struct ht_conn_owner *o, struct ht_conn *c,
		     enum ht_end why)
{
	(void)c;
	(void)why;
	((struct reader *)o)->ended++;
}

/* One iteration of the loop, which waits for nothing. */
static void step(struct ba_loop *loop)
{
	ba_loop_post(loop, (void (*)(void *))ba_loop_stop, loop);
	ba_loop_run(loop);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct reader r = {
		.owner = {.head = on_head,
			  .body = on_body,
			  .complete = on_complete,
			  .ended = on_ended},
		.given = len,
	};
	struct ba_loop *loop;
	size_t first;
	int fds[2];

	signal(SIGPIPE, SIG_IGN); /* as ba_loop_signals() does */
	if (len < 2 || socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds))
		return 0;
	loop = ba_loop_new();
	first = 1 + data[0] % (len - 1);
	ht_conn_serve(loop, fds[0], HEAD_LIMIT, &r.owner);
	if (write(fds[1], data + 1, first) != (ssize_t)first)
		first = len - 1;
	for (int i = 0; i < 3; i++)
		step(loop);
	if (first < len - 1 &&
	    write(fds[1], data + 1 + first, len - 1 - first) < 0)
		r.given = first;
	close(fds[1]);
	for (int i = 0; i < ROUNDS && !r.ended; i++)
		step(loop);
	fz_require(r.ended == 1, "a connection ends once");
	step(loop);
	ba_loop_free(loop);
	return 0;
}
