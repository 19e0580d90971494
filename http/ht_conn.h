/*
 * An HTTP/1.1 connection on an event loop, on the server's or client's side.
 *
 * Rules:
 * - The parser alone decides where a message ends.  Bytes after a complete
 *   message are kept for the next message (server) or end the connection
 *   (client); they never become part of the message before.
 * - A body without a length ends only with an orderly close by an other end
 *   that has taken the whole request; ht_end_is_whole() decides.
 * - A connection is not freed during a callback into its owner.
 * - A connection is used only from the thread of its loop.
 */
#ifndef HT_CONN_H
#define HT_CONN_H

#include "base/ba_account.h"
#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_unit.h"
#include "http/ht_answer.h"
#include "http/ht_end.h"
#include "http/ht_head.h"
#include "http/ht_link.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ht_conn;

/**
 * struct ht_conn_owner - callbacks to the user of a connection; embed it
 * @begun: the first byte of a message has arrived; may be NULL
 * @head: the head of a message is in ht_conn_head(); may be NULL
 * @body: a piece of its body has arrived; may be NULL
 * @complete: the message is complete; the next one is not read before
 *	ht_conn_read_next(); may be NULL
 * @ahead: bytes of a further request have arrived; may be NULL
 * @first: no answer goes before those of this connection any more; may be NULL
 * @drained: the kernel has taken all that was written; may be NULL
 * @ended: the connection has ended and is freed after the call; on the server's
 *	side, unless the other end has closed the connection, the callback may
 *	still write and call ht_conn_close_after_flush()
 */
struct ht_conn_owner {
	void (*begun)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*head)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*body)(struct ht_conn_owner *o, struct ht_conn *c,
		     const void *data, size_t len);
	void (*complete)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*ahead)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*first)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*drained)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*ended)(struct ht_conn_owner *o, struct ht_conn *c,
		      enum ht_end why);
};

/**
 * ht_conn_serve() - create the server's side of the accepted socket @fd
 * @head_limit: limit of the bytes of a head
 */
struct ht_conn *ht_conn_serve(struct ba_loop *loop, int fd, size_t head_limit,
			      struct ht_conn_owner *o);

/**
 * ht_conn_branch() - read the requests that follow the one just read
 * @c: connection on the server's side that has read a message
 *
 * They are read on a connection of their own, behind @c: what is written there
 * is sent after ht_conn_hand_over().  Reading begins with ht_conn_read_next().
 * If @c ends or is closed, so does the one behind.  If the one behind is closed,
 * the socket is closed once the answers in front are sent.
 */
struct ht_conn *ht_conn_branch(struct ht_conn *c, struct ht_conn_owner *o);

/** ht_conn_has_behind() - whether there is a connection behind @c */
bool ht_conn_has_behind(const struct ht_conn *c);

/** ht_conn_count_front() - count the connections whose answers go before */
unsigned int ht_conn_count_front(const struct ht_conn *c);

/**
 * ht_conn_hand_over() - let the connection behind take the place of @c
 *
 * To be called when all of the answer of @c is written.  @c is freed without
 * callback.
 */
void ht_conn_hand_over(struct ht_conn *c);

/** ht_conn_dial() - connect to @to; a failure is reported by @ended */
struct ht_conn *ht_conn_dial(struct ba_loop *loop, const struct ba_address *to,
			     size_t head_limit, struct ht_conn_owner *o);

/** ht_conn_set_head_limit() - set the limit of the bytes of a head */
void ht_conn_set_head_limit(struct ht_conn *c, size_t bytes);

/** ht_conn_set_account() - charge what the connection holds to @a */
void ht_conn_set_account(struct ht_conn *c, struct ba_account *a);

/** ht_conn_held() - return the bytes of memory that the connection holds */
size_t ht_conn_held(const struct ht_conn *c);

/** ht_conn_set_link() - schedule further writes on the shared link @l */
void ht_conn_set_link(struct ht_conn *c, struct ht_link *l);

/**
 * ht_conn_set_rank() - set rank and deadline of a message on the shared link
 * @due: when the message is to be complete, 0 for no such time
 */
void ht_conn_set_rank(struct ht_conn *c, unsigned int rank, ba_time due);

/**
 * ht_conn_set_expiry() - tell when the other end is about to leave
 * @expiry: 0 if not known; for the message being sent and those that follow
 */
void ht_conn_set_expiry(struct ht_conn *c, ba_time expiry);

/** ht_conn_set_to_come() - tell how much of the message is not written yet */
void ht_conn_set_to_come(struct ht_conn *c, size_t bytes);

/** ht_conn_set_owner() - send callbacks to @o from now on */
void ht_conn_set_owner(struct ht_conn *c, struct ht_conn_owner *o);

/**
 * ht_conn_begun_at() - get when the first byte of the request arrived
 *
 * A request that was sent behind another arrived before it was read.
 */
ba_time ht_conn_begun_at(const struct ht_conn *c);

/** ht_conn_head() - get the head of the message that is being read */
struct ht_head *ht_conn_head(struct ht_conn *c);

/** ht_conn_write() - queue bytes; nothing is sent before ht_conn_flush() */
void ht_conn_write(struct ht_conn *c, const void *data, size_t len);

/** ht_conn_out() - get the buffer of queued bytes, to format into it */
struct ba_buf *ht_conn_out(struct ht_conn *c);

/**
 * ht_conn_unacknowledged() - count the bytes that are queued or that the other
 * end's kernel has not acknowledged
 */
size_t ht_conn_unacknowledged(const struct ht_conn *c);

/** ht_conn_flush() - send the queued bytes */
void ht_conn_flush(struct ht_conn *c);

/** ht_conn_has_sent() - whether a byte was sent since ht_conn_read_next() */
bool ht_conn_has_sent(const struct ht_conn *c);

/**
 * ht_conn_has_sent_all() - whether the kernel has taken all that was written
 *
 * It did not if the other end was gone before.
 */
bool ht_conn_has_sent_all(const struct ht_conn *c);

/** ht_conn_was_refused() - whether nobody listens at the address dialled */
bool ht_conn_was_refused(const struct ht_conn *c);

/** ht_conn_flaw() - why the answer that was received is none */
enum ht_flaw ht_conn_flaw(const struct ht_conn *c);

/** ht_conn_pause() - stop or resume reading */
void ht_conn_pause(struct ht_conn *c, bool paused);

/** ht_conn_read_next() - read the next message; may call the owner back */
void ht_conn_read_next(struct ht_conn *c);

/**
 * ht_conn_skip_message() - read on as if the message just read had not come
 *
 * To be called in @complete, on the client's side, for an answer to an earlier
 * request; the answer to this one is expected to follow.
 */
void ht_conn_skip_message(struct ht_conn *c);

/** ht_conn_expect_no_body() - expect an answer to HEAD, without a body */
void ht_conn_expect_no_body(struct ht_conn *c);

/**
 * ht_conn_set_deadline() - end with %HT_END_TIMEOUT at @deadline
 * @deadline: %BA_NEVER for none
 *
 * While the connection is being opened it ends with %HT_END_CONNECT_FAILED
 * instead, and the deadline is dropped once the connection is open.
 */
void ht_conn_set_deadline(struct ht_conn *c, ba_time deadline);

/** ht_conn_is_reusable() - whether a client may send another request */
bool ht_conn_is_reusable(const struct ht_conn *c);

/**
 * ht_conn_in_callback() - whether a callback of the connection is running
 *
 * Until it returns, some received bytes may not have been parsed yet.
 */
bool ht_conn_in_callback(const struct ht_conn *c);

/** ht_conn_close_after_flush() - close when all is sent, without callback */
void ht_conn_close_after_flush(struct ht_conn *c);

/** ht_conn_abort() - close at once, without callback */
void ht_conn_abort(struct ht_conn *c);

/**
 * ht_conn_reset() - the same with a reset, so that the other end does not take
 * the close for the end of a message
 */
void ht_conn_reset(struct ht_conn *c);

struct ht_listener;

/**
 * struct ht_acceptor - callback of a listener; embed it
 * @accept: a connection has been accepted; the callee is to close @fd
 */
struct ht_acceptor {
	void (*accept)(struct ht_acceptor *a, int fd);
};

/**
 * ht_listen() - accept connections at the address @at
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int ht_listen(struct ba_loop *loop, const struct ba_address *at,
	      struct ht_acceptor *a, struct ht_listener **out);

/** ht_listener_close() - stop accepting; NULL is allowed */
void ht_listener_close(struct ht_listener *l);

#ifdef __cplusplus
}
#endif
#endif
