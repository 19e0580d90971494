/*
 * Requests.  They are read at once and in pieces as long as the first byte
 * says, which must make no difference but to the flaw that is met first.
 */
#include <string.h>

#include "base/ba_digest.h"
#include "fuzz/fz.h"
#include "http/ht_request.h"

enum { HEAD_LIMIT = 1024 };

/* What was read: @digest is that of the body, @left the bytes after the end. */
struct reading {
	enum ht_step last;
	size_t n_fields;
	size_t body_bytes;
	uint64_t digest;
	size_t left;
};

static struct reading read_all(const char *data, size_t len, size_t piece);
static void check_head(const struct ht_head *h);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct reading whole;
	struct reading pieces;

	if (len < 2)
		return 0;
	whole = read_all((const char *)data + 1, len - 1, len);
	pieces = read_all((const char *)data + 1, len - 1, 1 + data[0] % 64);
	fz_require(whole.last == pieces.last &&
			   whole.n_fields == pieces.n_fields &&
			   whole.body_bytes == pieces.body_bytes &&
			   whole.digest == pieces.digest &&
			   whole.left == pieces.left,
		   "pieces make no difference");
	return 0;
}

static struct reading read_all(const char *data, size_t len, size_t piece)
{
	struct ht_head head = {0};
	struct ht_message m = {.head = &head, .head_limit = HEAD_LIMIT};
	struct reading r = {.last = HT_STEP_MORE};
	size_t at = 0;

	ht_request_begin(&m);
	while (r.last == HT_STEP_MORE && at < len) {
		struct ht_bytes in = {data + at,
				      len - at < piece ? len - at : piece};
		struct ht_bytes body;

		at += in.len;
		while ((r.last = ht_message_read(&m, &in, &body)) ==
			       HT_STEP_HEAD ||
		       r.last == HT_STEP_BODY) {
			if (r.last == HT_STEP_HEAD) {
				check_head(&head);
				r.n_fields = head.n_fields;
				continue;
			}
			r.body_bytes += body.len;
			for (size_t i = 0; i < body.len; i++)
				r.digest = ba_hash(body.data + i, 1, r.digest);
		}
		at -= in.len;
	}
	r.left = len - at;
	/* A flaw may be met within a line or at its end. */
	if (r.last == HT_STEP_FLAW)
		r.left = 0;
	fz_require(r.last != HT_STEP_END || head.length < 0 ||
			   r.body_bytes == (size_t)head.length,
		   "a complete body is as long as it says");
	ht_message_free(&m);
	ht_head_free(&head);
	return r;
}

static void check_head(const struct ht_head *h)
{
	fz_require(ht_is_token(h->method, strlen(h->method)),
		   "a method is a token");
	fz_require(!strpbrk(ht_head_target(h), " \t\r\n"),
		   "a target may be passed on");
	fz_require(*ht_head_target(h) != '\0', "there is a target");
	fz_require(!h->chunked || (h->length < 0 && h->minor),
		   "one thing tells the end");
	for (size_t i = 0; i < h->n_fields; i++)
		fz_require(ht_field_is_proper(ht_head_name(h, i),
					      ht_head_value(h, i)),
			   "a field may be passed on");
}
