#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "call/cl_answer.h"

enum { STATUS_OK = 200, STATUS_PARTIAL = 206, MAX_RESUMES = 3 };

void cl_answer_start(struct cl_answer *a, int status, int64_t length,
		     const char *etag, bool may_resume)
{
	a->status = status;
	a->length = length;
	a->received = 0;
	a->resumes = 0;
	a->resumable = may_resume && status == STATUS_OK && length > 0 &&
		       etag && *etag == '"' && strlen(etag) < CL_ETAG_BYTES;
	a->etag[0] = '\0';
	if (a->resumable)
		snprintf(a->etag, sizeof(a->etag), "%s", etag);
}

enum cl_part cl_answer_add_data(struct cl_answer *a, size_t len)
{
	if (a->length >= 0 && (int64_t)len > a->length - a->received)
		return CL_PART_TOO_LONG;
	a->received += (int64_t)len;
	return CL_PART_GOOD;
}

enum cl_part cl_answer_check_end(const struct cl_answer *a)
{
	if (a->length >= 0 && a->received < a->length)
		return CL_PART_TRUNCATED;
	return CL_PART_GOOD;
}

void cl_answer_format_range(const struct cl_answer *a, char out[CL_RANGE_BYTES])
{
	snprintf(out, CL_RANGE_BYTES, "bytes=%" PRId64 "-", a->received);
}

enum cl_part cl_answer_resume(struct cl_answer *a, int status, const char *etag,
			      const char *range)
{
	int64_t first;
	int64_t last;
	int64_t total;

	if (!a->resumable || ++a->resumes > MAX_RESUMES)
		return CL_PART_MISMATCH;
	if (status != STATUS_PARTIAL || !etag || strcmp(etag, a->etag) ||
	    !range)
		return CL_PART_MISMATCH;
	if (sscanf(range, "bytes %" SCNd64 "-%" SCNd64 "/%" SCNd64, &first,
		   &last, &total) != 3)
		return CL_PART_MISMATCH;
	if (first != a->received || total != a->length || last != total - 1)
		return CL_PART_MISMATCH;
	return CL_PART_GOOD;
}
