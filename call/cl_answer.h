/*
 * Integrity checks of an answer, and resumption of an interrupted download.
 *
 * Rules:
 * - An answer is complete when its sender ended it and the body has the
 *   declared length, if one was declared.
 * - An interrupted answer is resumed only for an idempotent GET whose first
 *   answer was 200 with a strong ETag, and only with exactly the missing bytes
 *   of a representation with the same ETag and total length.
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
 * struct cl_answer - progress of an answer
 * @status: HTTP status of the first part
 * @length: declared length of the body in bytes, -1 if none was declared
 * @received: bytes of the body received so far, over all parts
 * @etag: strong ETag of the answer, empty unless @resumable
 * @resumable: the rest may be requested from another endpoint
 * @resumes: number of further parts that were checked
 */
struct cl_answer {
	int status;
	int64_t length;
	int64_t received;
	char etag[CL_ETAG_BYTES];
	bool resumable;
	unsigned int resumes;
};

/** enum cl_part - result of checking a part of an answer */
enum cl_part {
	CL_PART_GOOD,
	CL_PART_MISMATCH,  /* not the missing bytes of this answer */
	CL_PART_TOO_LONG,  /* more bytes than declared */
	CL_PART_TRUNCATED, /* fewer bytes than declared */
};

/**
 * cl_answer_start() - start an answer from the head of its first part
 * @length: declared length of the body, -1 for none
 * @etag: value of the ETag header, or NULL
 * @may_resume: the call is an idempotent GET without a Range header
 */
void cl_answer_start(struct cl_answer *a, int status, int64_t length,
		     const char *etag, bool may_resume);

/** cl_answer_add_data() - count and check @len more bytes of the body */
enum cl_part cl_answer_add_data(struct cl_answer *a, size_t len);

/** cl_answer_check_end() - check the answer when its sender ended the part */
enum cl_part cl_answer_check_end(const struct cl_answer *a);

/**
 * cl_answer_format_range() - write the Range value for the missing bytes
 */
void cl_answer_format_range(const struct cl_answer *a,
			    char out[CL_RANGE_BYTES]);

/**
 * cl_answer_resume() - check the head of a further part
 * @etag: value of its ETag header, or NULL
 * @range: value of its Content-Range header, or NULL
 */
enum cl_part cl_answer_resume(struct cl_answer *a, int status, const char *etag,
			      const char *range);

#ifdef __cplusplus
}
#endif
#endif
