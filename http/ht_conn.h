/*
 * One HTTP/1.1 connection on an event loop, of either side.
 *
 * Rules:
 * - Messages are told apart by the parser alone; what comes behind a whole
 *   message is kept for the next one (server) or ends the connection
 *   (client), and never becomes part of the message before.
 * - A body that has no length ends only with an orderly end of the
 *   connection; a reset is not one.
 * - A connection is not freed while its owner is being called.
 * - It belongs to the thread of its loop.
 */
#ifndef HT_CONN_H
#define HT_CONN_H

#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_unit.h"
#include "http/ht_head.h"
#include "http/ht_link.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ht_conn;

/** enum ht_end - why a connection ended */
enum ht_end {
	HT_END_CLOSED,	       /* by the other end, in order */
	HT_END_RESET,	       /* by the other end or the network */
	HT_END_CONNECT_FAILED, /* it could not be opened; nothing was sent */
	HT_END_MALFORMED,      /* bytes that are no message */
	HT_END_HEAD_TOO_LARGE, /* the head is larger than the limit */
	HT_END_TIMEOUT, /* the deadline of ht_conn_set_deadline() has passed */
};

/**
 * struct ht_conn_owner - whoever uses a connection; embed it
 * @begun: the first byte of a message has come; may be NULL
 * @head: the head of a message is in ht_conn_head(); may be NULL
 * @body: a piece of its body; may be NULL
 * @whole: the message has ended; the next one is not read before
 *	ht_conn_read_next(); may be NULL
 * @drained: all that was written has been taken by the kernel; may be NULL
 * @ended: the connection has ended and is freed after the call; the server's
 *	side may still write and call ht_conn_close_after_flush(), unless it was closed
 */
struct ht_conn_owner {
	void (*begun)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*head)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*body)(struct ht_conn_owner *o, struct ht_conn *c,
		     const void *data, size_t len);
	void (*complete)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*drained)(struct ht_conn_owner *o, struct ht_conn *c);
	void (*ended)(struct ht_conn_owner *o, struct ht_conn *c,
		      enum ht_end why);
};

/**
 * ht_conn_accepted() - the server's side of an accepted socket
 * @head_limit: most bytes of a head
 */
struct ht_conn *ht_conn_accepted(struct ba_loop *loop, int fd,
				 size_t head_limit, struct ht_conn_owner *o);

/** ht_conn_dial() - the client's side; failures are told by @ended */
struct ht_conn *ht_conn_dial(struct ba_loop *loop, const struct ba_address *to,
			     size_t head_limit, struct ht_conn_owner *o);

/** ht_conn_set_link() - what is written goes over @l with that of others */
void ht_conn_set_link(struct ht_conn *c, struct ht_link *l);

/** ht_conn_set_rank() - of what is written from now on, on the shared link */
void ht_conn_set_rank(struct ht_conn *c, unsigned int rank);

/** ht_conn_set_owner() - @o is told from now on */
void ht_conn_set_owner(struct ht_conn *c, struct ht_conn_owner *o);

/** ht_conn_head() - the head of the message that is being read */
struct ht_head *ht_conn_head(struct ht_conn *c);

/** ht_conn_write() - queue bytes; nothing is sent before ht_conn_flush() */
void ht_conn_write(struct ht_conn *c, const void *data, size_t len);

/** ht_conn_out() - the queue itself, to be formatted into */
struct ba_buf *ht_conn_out(struct ht_conn *c);

/** ht_conn_flush() - send what waits */
void ht_conn_flush(struct ht_conn *c);

/** ht_conn_sent() - whether any byte was given to the kernel since next() */
bool ht_conn_sent(const struct ht_conn *c);

/** ht_conn_pause() - stop or go on reading */
void ht_conn_pause(struct ht_conn *c, bool paused);

/** ht_conn_read_next() - go on with the next message; it may begin in the call */
void ht_conn_read_next(struct ht_conn *c);

/** ht_conn_expect_no_body() - the answer that comes has no body: it is to a HEAD */
void ht_conn_expect_no_body(struct ht_conn *c);

/**
 * ht_conn_set_deadline() - end with %HT_END_TIMEOUT at @deadline, or %BA_NEVER; while
 * a connection is being opened, with %HT_END_CONNECT_FAILED, and only until it is
 */
void ht_conn_set_deadline(struct ht_conn *c, ba_time deadline);

/** ht_conn_is_reusable() - whether a client may send its next request */
bool ht_conn_is_reusable(const struct ht_conn *c);

/** ht_conn_in_callback() - its owner is being called, and bytes may be left */
bool ht_conn_in_callback(const struct ht_conn *c);

/** ht_conn_close_after_flush() - close once all that waits is sent; nobody is told */
void ht_conn_close_after_flush(struct ht_conn *c);

/** ht_conn_abort() - close at once; nobody is told */
void ht_conn_abort(struct ht_conn *c);

struct ht_listener;

/**
 * struct ht_acceptor - the owner of a listener; embed it
 * @accept: a connection has come in; @fd is given to the owner
 */
struct ht_acceptor {
	void (*accept)(struct ht_acceptor *a, int fd);
};

/**
 * ht_listen() - accept connections at @at
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
