/*
 * Reads answers of HTTP/1 and accepts only what RFC 9112 allows a server to
 * send.  All modules that read answers decide here where an answer ends and
 * whether it is one.
 *
 * Rules:
 * - What is not allowed is a flaw, even where other readers guess: two readers
 *   that guess differently take other bytes for the body.
 * - Allowed forms that are rare pass: LF alone ends a line of the head, the
 *   reason phrase may be absent, a folded field becomes one line.
 * - Trailer fields are checked and dropped; they never join the head.
 * - Bytes after an answer are left to the caller.
 */
#ifndef HT_ANSWER_H
#define HT_ANSWER_H

#include "http/ht_end.h"
#include "http/ht_head.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum ht_flaw - why bytes are no answer */
enum ht_flaw {
	HT_FLAW_NONE,
	HT_FLAW_STATUS_LINE, /* not a status line of HTTP/1 */
	HT_FLAW_STATUS,	   /* outside 100 to 599, or 101, which is not asked */
	HT_FLAW_FIELD,	   /* a line of head or trailer is no field */
	HT_FLAW_FRAMING,   /* length and codings do not tell one end */
	HT_FLAW_CHUNK,	   /* not a chunk, or not of the size it states */
	HT_FLAW_TOO_LARGE, /* head or trailer is larger than the limit */
	HT_FLAW_CUT_OFF,   /* the connection ended before the answer */
};

/** enum ht_step - result of ht_answer_read() */
enum ht_step {
	HT_STEP_MORE, /* all bytes were used; more are needed */
	HT_STEP_HEAD, /* the head of the final answer is complete */
	HT_STEP_BODY, /* a piece of the body */
	HT_STEP_END,  /* the answer is complete */
	HT_STEP_FLAW, /* no answer, see ht_answer.flaw */
};

/** struct ht_bytes - bytes that somebody else owns */
struct ht_bytes {
	const char *data;
	size_t len;
};

/**
 * struct ht_answer - an answer that is being read; zero it before the first
 * ht_answer_begin()
 * @head: receives the head; borrowed
 * @head_limit: limit of the bytes of head and trailer, each
 * @no_body: the request was HEAD
 * @flaw: after %HT_STEP_FLAW, why
 * @state: what is expected next; private, like the rest
 * @line: start of a line whose end has not arrived
 * @n_bytes: bytes of this head or trailer so far
 * @left: bytes that the body or the chunk still has
 */
struct ht_answer {
	struct ht_head *head;
	size_t head_limit;
	bool no_body;
	enum ht_flaw flaw;
	int state;
	struct ba_buf line;
	size_t n_bytes;
	uint64_t left;
};

/** ht_answer_begin() - expect the first byte of an answer */
void ht_answer_begin(struct ht_answer *a);

/** ht_answer_free() - free the memory, but not that of the head */
void ht_answer_free(struct ht_answer *a);

/** ht_answer_has_begun() - whether a byte of the expected answer was read */
bool ht_answer_has_begun(const struct ht_answer *a);

/**
 * ht_answer_read() - read up to the next step
 * @in: bytes to read; those that were used are removed from its front
 * @body: receives the bytes of %HT_STEP_BODY, which are part of @in
 *
 * Interim answers are checked and skipped.  To be called again after each step
 * but %HT_STEP_MORE, also if no bytes are left; after %HT_STEP_END and
 * %HT_STEP_FLAW only once ht_answer_begin() was called.
 */
enum ht_step ht_answer_read(struct ht_answer *a, struct ht_bytes *in,
			    struct ht_bytes *body);

/**
 * ht_answer_close() - process the end of the connection
 * @why: how it ended
 * @request: state of the request
 *
 * Return: %HT_STEP_END if the end completes a body without a length, else
 * %HT_STEP_FLAW.
 */
enum ht_step ht_answer_close(struct ht_answer *a, enum ht_end why,
			     enum ht_taken request);

/** ht_status_is_final() - whether an answer may end with @status */
bool ht_status_is_final(int64_t status);

/** ht_field_is_proper() - whether a field may be passed on as it is */
bool ht_field_is_proper(const char *name, const char *value);

/**
 * ht_field_line_is_proper() - whether @line is a field
 * @len: its length without CR LF
 */
bool ht_field_line_is_proper(const char *line, size_t len);

/** ht_flaw_name() - get the name of a flaw for the log */
const char *ht_flaw_name(enum ht_flaw flaw);

#ifdef __cplusplus
}
#endif
#endif
