/*
 * Whether an answer is whole that did not tell its own end.
 *
 * A body without a length ends with the connection, and an aborted one looks
 * the same but for how the connection ended.  All readers of answers decide it
 * here.
 */
#ifndef HT_END_H
#define HT_END_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum ht_end - why a connection ended */
enum ht_end {
	HT_END_CLOSED,	       /* orderly close by the other end */
	HT_END_RESET,	       /* by the other end or the network */
	HT_END_CONNECT_FAILED, /* not opened; nothing was sent */
	HT_END_MALFORMED,      /* received bytes are not an HTTP message */
	HT_END_HEAD_TOO_LARGE, /* the head is larger than the limit */
	HT_END_TIMEOUT, /* deadline of ht_conn_set_deadline() has passed */
};

/** enum ht_framing - what ends a message */
enum ht_framing {
	HT_FRAMING_HEAD,   /* not known: the head has not ended */
	HT_FRAMING_LENGTH, /* its length */
	HT_FRAMING_CHUNKS, /* the last chunk and the trailer */
	HT_FRAMING_CLOSE,  /* the end of the connection */
};

/** enum ht_taken - how much of a request the other end has taken */
enum ht_taken {
	HT_TAKEN_WHOLE, /* its kernel has acknowledged all */
	HT_TAKEN_PART,
	HT_TAKEN_LOST, /* writing failed: the connection was gone before */
};

/**
 * ht_end_is_whole() - whether the end of a connection completes an answer
 * @f: framing of an answer whose own end has not been read
 * @why: how the connection ended
 * @request: state of the request at that time
 *
 * By RFC 9112, section 8, for HTTP/1.0 and 1.1 alike.  A server that closes
 * before it has taken the request may have meant to go on, and the reset that
 * its kernel sends may come later than what it wrote.
 */
bool ht_end_is_whole(enum ht_framing f, enum ht_end why, enum ht_taken request);

#ifdef __cplusplus
}
#endif
#endif
