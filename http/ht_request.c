#include <string.h>

#include <glib.h>

#include "http/ht_request.h"

static enum ht_flaw parse_request_line(struct ht_head *h, const char *line,
				       size_t len);
static bool is_target(const char *method, size_t method_len, const char *target,
		      size_t len);
static enum ht_step end_head(struct ht_message *m,
			     const struct ht_framing_fields *f);

static const struct ht_message_kind request_kind = {
	.parse_start = parse_request_line,
	.end_head = end_head,
	.skips_empty_lines = true,
	.needs_cr = true,
};

void ht_request_begin(struct ht_message *m)
{
	ht_message_begin(m, &request_kind);
}

/* "METHOD TARGET HTTP/1.N", with one blank between the words. */
static enum ht_flaw parse_request_line(struct ht_head *h, const char *line,
				       size_t len)
{
	static const char version[] = " HTTP/1.";
	const size_t version_len = strlen(version) + 1;
	const char *blank = memchr(line, ' ', len);
	const char *end = line + len - version_len;
	size_t method_len;

	if (!blank || len < version_len || end <= blank ||
	    strncmp(end, version, version_len - 1) != 0 ||
	    !g_ascii_isdigit(line[len - 1]))
		return HT_FLAW_START;
	method_len = (size_t)(blank - line);
	if (!ht_is_token(line, method_len) ||
	    !is_target(line, method_len, blank + 1, (size_t)(end - blank) - 1))
		return HT_FLAW_START;
	h->minor = (unsigned int)(line[len - 1] - '0');
	ht_head_add(h, line, method_len);
	h->target = (uint32_t)h->text.len;
	ht_head_add(h, blank + 1, (size_t)(end - blank) - 1);
	return HT_FLAW_NONE;
}

/* The forms of RFC 9112, section 3.2. */
static bool is_target(const char *method, size_t method_len, const char *target,
		      size_t len)
{
	bool connect = method_len == strlen("CONNECT") &&
		       !strncmp(method, "CONNECT", method_len);
	size_t scheme = 0;

	if (!len || memchr(target, ' ', len) || memchr(target, '\t', len) ||
	    !ht_is_text(target, len))
		return false;
	if (connect)
		return *target != '/';
	if (*target == '/' || (len == 1 && *target == '*'))
		return true;
	while (scheme < len && g_ascii_isalpha(target[scheme]))
		scheme++;
	return scheme && len - scheme > strlen("://") &&
	       !strncmp(target + scheme, "://", strlen("://"));
}

static enum ht_step end_head(struct ht_message *m,
			     const struct ht_framing_fields *f)
{
	struct ht_head *h = m->head;

	/* The text does not move any more. */
	h->method = (const char *)h->text.data;
	m->state = f->chunked  ? HT_STATE_CHUNK_SIZE
		   : f->length ? HT_STATE_BODY
			       : HT_STATE_END;
	return HT_STEP_HEAD;
}
