/*
 * The integrity of an answer: its length, its end, and how a broken download
 * goes on.
 *
 * Rules:
 * - An answer is whole when its sender ended it and its length is the one
 *   it named.
 * - A broken one goes on only on an idempotent GET whose first answer was
 *   200 with a strong ETag, and only with the very bytes that are missing
 *   of the same validator and the same length.
 */
#ifndef CL_ANSWER_H
#define CL_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "call/cl.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { CL_ETAG_BYTES = 128, CL_RANGE_BYTES = 64 };

/**
 * struct cl_answer - how far an answer has come
 * @length: that it named, -1 for none
 * @received: bytes of its body so far, over all parts
 * @resumable: it may go on elsewhere when it breaks
 */
struct cl_answer {
	int status;
	int64_t length;
	int64_t received;
	char etag[CL_ETAG_BYTES];
	bool resumable;
	unsigned int resumes;
};

/** enum cl_part - whether a part of an answer is usable */
enum cl_part {
	CL_PART_GOOD,
	CL_PART_OTHER, /* not the missing bytes of this answer */
	CL_PART_LONG,  /* more than was named */
	CL_PART_SHORT, /* less than was named */
};

/**
 * cl_answer_head() - the head of the first part has come
 * @etag: its validator, or NULL
 * @may_resume: the call is an idempotent GET without a Range of its own
 */
void cl_answer_head(struct cl_answer *a, int status, int64_t length,
		    const char *etag, bool may_resume);

/** cl_answer_data() - @len more bytes have come */
enum cl_part cl_answer_data(struct cl_answer *a, size_t len);

/** cl_answer_end() - the sender ended the part */
enum cl_part cl_answer_end(const struct cl_answer *a);

/** cl_answer_range() - the Range header that asks for what is missing */
void cl_answer_range(const struct cl_answer *a, char out[CL_RANGE_BYTES]);

/**
 * cl_answer_resume() - the head of a further part has come
 * @range: its Content-Range, or NULL
 */
enum cl_part cl_answer_resume(struct cl_answer *a, int status, const char *etag,
			      const char *range);

#ifdef __cplusplus
}
#endif
#endif
