/*
 * Reads messages of HTTP/1 and accepts only what RFC 9112 allows: fields,
 * framing, chunks and trailers.  What differs is in ht_answer.c and
 * ht_request.c.
 *
 * Rules:
 * - What is not allowed is a flaw, even where other readers guess: two readers
 *   that guess differently take other bytes for the body.
 * - Trailer fields are checked and dropped; they never join the head.
 * - Bytes after a message are left to the caller.
 */
#ifndef HT_MESSAGE_H
#define HT_MESSAGE_H

#include "http/ht_end.h"
#include "http/ht_head.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum ht_flaw - why bytes are no message */
enum ht_flaw {
	HT_FLAW_NONE,
	HT_FLAW_START,	   /* not a status or request line of HTTP/1 */
	HT_FLAW_STATUS,	   /* outside 100 to 599, or 101, which is not asked */
	HT_FLAW_FIELD,	   /* a line of head or trailer is no field */
	HT_FLAW_FRAMING,   /* length and codings do not tell one end */
	HT_FLAW_CHUNK,	   /* not a chunk, or not of the size it states */
	HT_FLAW_TOO_LARGE, /* head or trailer is larger than the limit */
	HT_FLAW_CUT_OFF,   /* the connection ended before the message */
	HT_FLAW_LINE_END,  /* LF alone ends a line of a request */
};

/** enum ht_step - result of ht_message_read() */
enum ht_step {
	HT_STEP_MORE, /* all bytes were used; more are needed */
	HT_STEP_HEAD, /* the head is complete; of answers, that of the final one */
	HT_STEP_BODY, /* a piece of the body */
	HT_STEP_END,  /* the message is complete */
	HT_STEP_FLAW, /* no message, see ht_message.flaw */
};

/** struct ht_bytes - bytes that somebody else owns */
struct ht_bytes {
	const char *data;
	size_t len;
};

/** enum ht_state - what a reader expects next */
enum ht_state {
	HT_STATE_START,
	HT_STATE_FIELDS,
	HT_STATE_BODY,
	HT_STATE_BODY_TO_CLOSE,
	HT_STATE_CHUNK_SIZE,
	HT_STATE_CHUNK_DATA,
	HT_STATE_CHUNK_END,
	HT_STATE_TRAILER,
	HT_STATE_END,
	HT_STATE_FLAW,
};

/** struct ht_framing_fields - fields of a head that frame its body */
struct ht_framing_fields {
	unsigned int n_lengths;
	unsigned int n_codings;
	uint64_t length;
	bool chunked;
	bool close;
	bool keep_alive;
};

struct ht_message;

/**
 * struct ht_message_kind - what answers and requests do not share
 * @check_start: check a piece of the first line at @at; NULL for the check of
 *	any line
 * @parse_start: parse the first line, which has no CR LF
 * @end_head: set the state that follows the head; returns its step
 * @skips_empty_lines: before the first line
 * @unfolds: a folded field becomes one line, instead of a flaw
 * @needs_cr: LF alone does not end a line of the head
 */
struct ht_message_kind {
	enum ht_flaw (*check_start)(size_t at, const struct ht_bytes *piece);
	enum ht_flaw (*parse_start)(struct ht_head *h, const char *line,
				    size_t len);
	enum ht_step (*end_head)(struct ht_message *m,
				 const struct ht_framing_fields *f);
	bool skips_empty_lines;
	bool unfolds;
	bool needs_cr;
};

/**
 * struct ht_message - a message that is being read; zero it before the first
 * ht_answer_begin() or ht_request_begin()
 * @head: receives the head; borrowed
 * @head_limit: limit of the bytes of head and trailer, each
 * @no_body: the request was HEAD
 * @flaw: after %HT_STEP_FLAW, why
 * @kind: private, like the rest
 * @line: start of a line whose end has not arrived
 * @n_bytes: bytes of this head or trailer so far
 * @left: bytes that the body or the chunk still has
 */
struct ht_message {
	struct ht_head *head;
	size_t head_limit;
	bool no_body;
	enum ht_flaw flaw;
	const struct ht_message_kind *kind;
	enum ht_state state;
	struct ba_buf line;
	size_t n_bytes;
	uint64_t left;
};

/** ht_message_begin() - expect the first byte of a message; of a kind */
void ht_message_begin(struct ht_message *m, const struct ht_message_kind *kind);

/** ht_message_free() - free the memory, but not that of the head */
void ht_message_free(struct ht_message *m);

/** ht_message_has_begun() - whether a byte of the expected message was read */
bool ht_message_has_begun(const struct ht_message *m);

/**
 * ht_message_read() - read up to the next step
 * @in: bytes to read; those that were used are removed from its front
 * @body: receives the bytes of %HT_STEP_BODY, which are part of @in
 *
 * Interim answers are checked and skipped.  To be called again after each step
 * but %HT_STEP_MORE, also if no bytes are left; after %HT_STEP_END and
 * %HT_STEP_FLAW only once ht_answer_begin() or ht_request_begin() was called.
 */
enum ht_step ht_message_read(struct ht_message *m, struct ht_bytes *in,
			     struct ht_bytes *body);

/**
 * ht_message_close() - process the end of the connection
 * @why: how it ended
 * @request: state of the request
 *
 * Return: %HT_STEP_END if the end completes a body without a length, else
 * %HT_STEP_FLAW.
 */
enum ht_step ht_message_close(struct ht_message *m, enum ht_end why,
			      enum ht_taken request);

/** ht_field_is_proper() - whether a field may be passed on as it is */
bool ht_field_is_proper(const char *name, const char *value);

/**
 * ht_field_line_is_proper() - whether @line is a field
 * @len: its length without CR LF
 */
bool ht_field_line_is_proper(const char *line, size_t len);

/** ht_message_fail() - end with a flaw */
enum ht_step ht_message_fail(struct ht_message *m, enum ht_flaw flaw);

/** ht_is_token() - whether @text is a token of RFC 9110, section 5.6.2 */
bool ht_is_token(const char *text, size_t len);

/** ht_is_text() - whether @text has no control bytes but tabs */
bool ht_is_text(const char *text, size_t len);

/** ht_flaw_name() - get the name of a flaw for the log */
const char *ht_flaw_name(enum ht_flaw flaw);

#ifdef __cplusplus
}
#endif
#endif
