/*
 * Answers of backend servers.  They are read at once and in pieces as long as
 * the first byte says, which must make no difference but to the flaw that is
 * met first.  The same byte says how the connection ends.
 */
#include <string.h>

#include "base/ba_digest.h"
#include "fuzz/fz.h"
#include "http/ht_answer.h"

enum { HEAD_LIMIT = 1024 };

/* What was read: @digest is that of the body, @left the bytes after the end. */
struct reading {
	enum ht_step last;
	enum ht_flaw flaw;
	int status;
	size_t n_fields;
	size_t body_bytes;
	uint64_t digest;
	size_t left;
};

static void check_head(const struct ht_head *h);
static struct reading read_all(const uint8_t *input, size_t input_len,
			       size_t piece);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct reading whole;
	struct reading pieces;

	if (len < 2)
		return 0;
	whole = read_all(data, len, len);
	pieces = read_all(data, len, 1 + data[0] % 64);
	fz_require(whole.last == pieces.last && whole.status == pieces.status &&
			   whole.n_fields == pieces.n_fields &&
			   whole.body_bytes == pieces.body_bytes &&
			   whole.digest == pieces.digest &&
			   whole.left == pieces.left,
		   "pieces make no difference");
	return 0;
}

/* The upper bits of the first byte say how the connection ends. */
static struct reading read_all(const uint8_t *input, size_t input_len,
			       size_t piece)
{
	const char *data = (const char *)input + 1;
	size_t len = input_len - 1;
	enum ht_end why = input[0] & 0x80 ? HT_END_RESET : HT_END_CLOSED;
	enum ht_taken request =
		input[0] & 0x40 ? HT_TAKEN_PART : HT_TAKEN_WHOLE;
	struct ht_head head = {0};
	struct ht_message a = {.head = &head, .head_limit = HEAD_LIMIT};
	struct reading r = {.last = HT_STEP_MORE};
	bool was_cut;
	size_t at = 0;

	ht_answer_begin(&a);
	while (r.last == HT_STEP_MORE && at < len) {
		struct ht_bytes in = {data + at,
				      len - at < piece ? len - at : piece};
		struct ht_bytes body;

		at += in.len;
		while ((r.last = ht_message_read(&a, &in, &body)) ==
			       HT_STEP_HEAD ||
		       r.last == HT_STEP_BODY) {
			if (r.last == HT_STEP_HEAD) {
				check_head(&head);
				r.status = head.status;
				r.n_fields = head.n_fields;
				continue;
			}
			fz_require(r.status != 0, "a body follows a head");
			r.body_bytes += body.len;
			for (size_t i = 0; i < body.len; i++)
				r.digest = ba_hash(body.data + i, 1, r.digest);
		}
		at -= in.len;
	}
	was_cut = r.last == HT_STEP_MORE;
	if (was_cut)
		r.last = ht_message_close(&a, why, request);
	fz_require(r.last != HT_STEP_END || !was_cut ||
			   (why == HT_END_CLOSED && request == HT_TAKEN_WHOLE),
		   "only an orderly close completes an answer");
	if (r.last == HT_STEP_END)
		r.left = len - at;
	r.flaw = a.flaw;
	fz_require(r.last == HT_STEP_END || r.flaw != HT_FLAW_NONE,
		   "what is no answer has a flaw");
	fz_require(r.last != HT_STEP_END || head.length < 0 ||
			   r.body_bytes == (size_t)head.length ||
			   head.status == 304,
		   "a complete body is as long as it says");
	ht_message_free(&a);
	ht_head_free(&head);
	return r;
}

static void check_head(const struct ht_head *h)
{
	fz_require(ht_status_is_final(h->status), "a head is a final one");
	for (size_t i = 0; i < h->n_fields; i++)
		fz_require(ht_field_is_proper(ht_head_name(h, i),
					      ht_head_value(h, i)),
			   "a field may be passed on");
}
