#include <string.h>

#include <glib.h>

#include "http/ht_answer.h"

enum {
	STATUS_SWITCHING = 101,
	STATUS_FIRST_FINAL = 200,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_LAST = 599,
	STATUS_DIGITS = 3,
};

static const char version[] = "HTTP/1.";

static enum ht_flaw check_start(size_t at, const struct ht_bytes *piece);
static enum ht_flaw parse_status_line(struct ht_head *h, const char *line,
				      size_t len);
static enum ht_step end_head(struct ht_message *m,
			     const struct ht_framing_fields *f);

static const struct ht_message_kind answer_kind = {
	.check_start = check_start,
	.parse_start = parse_status_line,
	.end_head = end_head,
	.unfolds = true,
};

void ht_answer_begin(struct ht_message *m)
{
	ht_message_begin(m, &answer_kind);
}

bool ht_status_is_final(int64_t status)
{
	return status >= STATUS_FIRST_FINAL && status <= STATUS_LAST;
}

static enum ht_flaw check_start(size_t at, const struct ht_bytes *piece)
{
	for (size_t i = 0; i < piece->len && at < strlen(version); i++)
		if (piece->data[i] != version[at++])
			return HT_FLAW_START;
	return HT_FLAW_NONE;
}

/*
 * The reason phrase and the blank before it may be absent, and there may be
 * more blanks than one (RFC 9112, section 4).
 */
static enum ht_flaw parse_status_line(struct ht_head *h, const char *line,
				      size_t len)
{
	const char *end = line + len;
	const char *p = line + strlen(version);
	size_t n;

	if (len <= strlen(version) || strncmp(line, version, p - line) != 0 ||
	    !g_ascii_isdigit(*p))
		return HT_FLAW_START;
	h->minor = (unsigned int)(*p++ - '0');
	if (p == end || *p != ' ')
		return HT_FLAW_START;
	while (p < end && *p == ' ')
		p++;
	for (n = 0; p < end && g_ascii_isdigit(*p) && n <= STATUS_DIGITS; n++)
		h->status = 10 * h->status + (*p++ - '0');
	if (n != STATUS_DIGITS || (p < end && *p != ' ') ||
	    !ht_is_text(p, (size_t)(end - p)))
		return HT_FLAW_START;
	if (h->status < 100 || h->status > STATUS_LAST ||
	    h->status == STATUS_SWITCHING)
		return HT_FLAW_STATUS;
	return HT_FLAW_NONE;
}

/* An answer that has no body may announce one only with the length of GET. */
static enum ht_step end_head(struct ht_message *m,
			     const struct ht_framing_fields *f)
{
	struct ht_head *h = m->head;
	bool interim = h->status < STATUS_FIRST_FINAL;

	if ((interim || h->status == STATUS_NO_CONTENT) &&
	    (f->n_codings || f->length))
		return ht_message_fail(m, HT_FLAW_FRAMING);
	if (interim) {
		ht_answer_begin(m);
		return HT_STEP_MORE;
	}
	if (m->no_body || h->status == STATUS_NO_CONTENT ||
	    h->status == STATUS_NOT_MODIFIED || (f->n_lengths && !f->length)) {
		m->state = HT_STATE_END;
	} else if (f->chunked) {
		m->state = HT_STATE_CHUNK_SIZE;
	} else if (f->n_lengths) {
		m->state = HT_STATE_BODY;
	} else {
		m->state = HT_STATE_BODY_TO_CLOSE;
		h->connection_close = true;
	}
	return HT_STEP_HEAD;
}
