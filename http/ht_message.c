#include <string.h>
#include <strings.h>

#include <glib.h>

#include "http/ht_message.h"

enum {
	CHUNK_LINE_LIMIT_BYTES = 4096, /* size and extensions */
};

static enum ht_step read_line(struct ht_message *m, struct ht_bytes *in);
static enum ht_flaw check_start(const struct ht_message *m,
				const struct ht_bytes *piece);
static enum ht_step use_line(struct ht_message *m, const char *line,
			     size_t len);
static enum ht_step use_head_line(struct ht_message *m, const char *line,
				  size_t len);
static enum ht_step use_chunk_line(struct ht_message *m, const char *line,
				   size_t len);
static enum ht_step read_piece(struct ht_message *m, struct ht_bytes *in,
			       struct ht_bytes *body);
static enum ht_step end_head(struct ht_message *m);
static enum ht_framing framing(const struct ht_message *m);
static bool parse_field(struct ht_message *m, const char *line, size_t len);
static bool unfold(struct ht_head *h, const char *line, size_t len);
static bool parse_framing(const struct ht_head *h, struct ht_framing_fields *f);
static bool add_length(struct ht_framing_fields *f, const char *value);
static void add_codings(struct ht_framing_fields *f, const char *value);
static bool parse_chunk_size(const char *line, size_t len, uint64_t *size);
static void trim(const char **text, size_t *len);
static bool is_control(char c);

void ht_message_begin(struct ht_message *m, const struct ht_message_kind *kind)
{
	m->kind = kind;
	m->state = HT_STATE_START;
	m->flaw = HT_FLAW_NONE;
	m->line.len = 0;
	m->n_bytes = 0;
	m->left = 0;
}

void ht_message_free(struct ht_message *m)
{
	ba_buf_free(&m->line);
}

bool ht_message_has_begun(const struct ht_message *m)
{
	return m->state != HT_STATE_START || m->line.len;
}

enum ht_step ht_message_read(struct ht_message *m, struct ht_bytes *in,
			     struct ht_bytes *body)
{
	enum ht_step step = HT_STEP_MORE;

	do {
		switch (m->state) {
		case HT_STATE_BODY:
		case HT_STATE_BODY_TO_CLOSE:
		case HT_STATE_CHUNK_DATA:
			step = read_piece(m, in, body);
			break;
		case HT_STATE_END:
			return HT_STEP_END;
		case HT_STATE_FLAW:
			return HT_STEP_FLAW;
		default:
			step = read_line(m, in);
		}
	} while (step == HT_STEP_MORE && (in->len || m->state == HT_STATE_END));
	return step;
}

enum ht_step ht_message_close(struct ht_message *m, enum ht_end why,
			      enum ht_taken request)
{
	if (!ht_end_is_whole(framing(m), why, request))
		return ht_message_fail(m, HT_FLAW_CUT_OFF);
	m->state = HT_STATE_END;
	return HT_STEP_END;
}

bool ht_field_is_proper(const char *name, const char *value)
{
	return ht_is_token(name, strlen(name)) &&
	       ht_is_text(value, strlen(value));
}

bool ht_field_line_is_proper(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);

	return colon && ht_is_token(line, (size_t)(colon - line)) &&
	       ht_is_text(colon, len - (size_t)(colon - line));
}

const char *ht_flaw_name(enum ht_flaw flaw)
{
	static const char *const names[] = {
		[HT_FLAW_NONE] = "none",
		[HT_FLAW_START] = "start-line",
		[HT_FLAW_STATUS] = "status",
		[HT_FLAW_FIELD] = "field",
		[HT_FLAW_FRAMING] = "framing",
		[HT_FLAW_CHUNK] = "chunk",
		[HT_FLAW_TOO_LARGE] = "too-large",
		[HT_FLAW_CUT_OFF] = "cut-off",
		[HT_FLAW_LINE_END] = "line-end",
	};

	return names[flaw];
}

/* A line that arrives in one piece is used in place. */
static enum ht_step read_line(struct ht_message *m, struct ht_bytes *in)
{
	const char *end = in->len ? memchr(in->data, '\n', in->len) : NULL;
	size_t len = end ? (size_t)(end - in->data) + 1 : in->len;
	bool in_chunk = m->state == HT_STATE_CHUNK_SIZE ||
			m->state == HT_STATE_CHUNK_END;
	struct ht_bytes line = {in->data, len};
	enum ht_flaw flaw = end ? HT_FLAW_NONE : check_start(m, in);
	enum ht_step step;

	if (flaw)
		return ht_message_fail(m, flaw);
	if (in_chunk ? m->line.len + len > CHUNK_LINE_LIMIT_BYTES
		     : (m->n_bytes += len) > m->head_limit)
		return ht_message_fail(m, HT_FLAW_TOO_LARGE);
	in->data += len;
	in->len -= len;
	if (!end || m->line.len) {
		ba_buf_add(&m->line, line.data, len);
		line = (struct ht_bytes){(const char *)m->line.data,
					 m->line.len};
	}
	if (!end)
		return HT_STEP_MORE;
	step = use_line(m, line.data, line.len - 1);
	m->line.len = 0;
	return step;
}

/*
 * Checks @piece, which a line goes on with whose end has not come: it may never
 * come.
 */
static enum ht_flaw check_start(const struct ht_message *m,
				const struct ht_bytes *piece)
{
	size_t at = m->line.len;

	switch (m->state) {
	case HT_STATE_START:
		if (m->kind->check_start)
			return m->kind->check_start(at, piece);
		break;
	case HT_STATE_CHUNK_SIZE:
		return at || !piece->len || g_ascii_isxdigit(*piece->data)
			       ? HT_FLAW_NONE
			       : HT_FLAW_CHUNK;
	case HT_STATE_CHUNK_END:
		return !piece->len || (!at && piece->len == 1 &&
				       *piece->data == '\r')
			       ? HT_FLAW_NONE
			       : HT_FLAW_CHUNK;
	default:
		break;
	}
	for (size_t i = 0; i < piece->len; i++)
		if (piece->data[i] != '\r' && is_control(piece->data[i]))
			return m->state == HT_STATE_START ? HT_FLAW_START
							  : HT_FLAW_FIELD;
	return HT_FLAW_NONE;
}

/* @line ends before its LF. */
static enum ht_step use_line(struct ht_message *m, const char *line, size_t len)
{
	bool crlf = len && line[len - 1] == '\r';

	len -= crlf;
	if (m->state == HT_STATE_CHUNK_SIZE || m->state == HT_STATE_CHUNK_END)
		return crlf ? use_chunk_line(m, line, len)
			    : ht_message_fail(m, HT_FLAW_CHUNK);
	if (!crlf && m->kind->needs_cr)
		return ht_message_fail(m, HT_FLAW_LINE_END);
	return use_head_line(m, line, len);
}

static enum ht_step use_head_line(struct ht_message *m, const char *line,
				  size_t len)
{
	enum ht_flaw flaw;

	switch (m->state) {
	case HT_STATE_START:
		if (!len && m->kind->skips_empty_lines)
			return HT_STEP_MORE;
		ht_head_clear(m->head);
		flaw = m->kind->parse_start(m->head, line, len);
		if (flaw)
			return ht_message_fail(m, flaw);
		m->state = HT_STATE_FIELDS;
		return HT_STEP_MORE;
	case HT_STATE_FIELDS:
		if (!len)
			return end_head(m);
		if (!parse_field(m, line, len))
			return ht_message_fail(m, HT_FLAW_FIELD);
		return HT_STEP_MORE;
	default:
		if (len)
			return ht_field_line_is_proper(line, len)
				       ? HT_STEP_MORE
				       : ht_message_fail(m, HT_FLAW_FIELD);
		m->state = HT_STATE_END;
		return HT_STEP_MORE;
	}
}

static enum ht_step use_chunk_line(struct ht_message *m, const char *line,
				   size_t len)
{
	if (m->state == HT_STATE_CHUNK_END) {
		if (len)
			return ht_message_fail(m, HT_FLAW_CHUNK);
		m->state = HT_STATE_CHUNK_SIZE;
		return HT_STEP_MORE;
	}
	if (!parse_chunk_size(line, len, &m->left))
		return ht_message_fail(m, HT_FLAW_CHUNK);
	m->state = m->left ? HT_STATE_CHUNK_DATA : HT_STATE_TRAILER;
	m->n_bytes = 0;
	return HT_STEP_MORE;
}

static enum ht_step read_piece(struct ht_message *m, struct ht_bytes *in,
			       struct ht_bytes *body)
{
	size_t len = in->len;

	if (m->state != HT_STATE_BODY_TO_CLOSE)
		len = MIN(len, m->left);
	if (!len)
		return HT_STEP_MORE;
	*body = (struct ht_bytes){in->data, len};
	in->data += len;
	in->len -= len;
	if (m->state == HT_STATE_BODY_TO_CLOSE)
		return HT_STEP_BODY;
	m->left -= len;
	if (!m->left)
		m->state = m->state == HT_STATE_BODY ? HT_STATE_END
						     : HT_STATE_CHUNK_END;
	return HT_STEP_BODY;
}

/* Decides where the message ends, by RFC 9112, section 6.3. */
static enum ht_step end_head(struct ht_message *m)
{
	struct ht_head *h = m->head;
	struct ht_framing_fields f = {0};

	if (!parse_framing(h, &f))
		return ht_message_fail(m, HT_FLAW_FRAMING);
	h->chunked = f.chunked;
	h->length = f.n_lengths ? (int64_t)f.length : HT_LENGTH_UNKNOWN;
	h->connection_close = f.close || (!h->minor && !f.keep_alive);
	m->left = f.length;
	return m->kind->end_head(m, &f);
}

static enum ht_framing framing(const struct ht_message *m)
{
	switch (m->state) {
	case HT_STATE_BODY:
		return HT_FRAMING_LENGTH;
	case HT_STATE_BODY_TO_CLOSE:
		return HT_FRAMING_CLOSE;
	case HT_STATE_CHUNK_SIZE:
	case HT_STATE_CHUNK_DATA:
	case HT_STATE_CHUNK_END:
	case HT_STATE_TRAILER:
		return HT_FRAMING_CHUNKS;
	default:
		return HT_FRAMING_HEAD;
	}
}

enum ht_step ht_message_fail(struct ht_message *m, enum ht_flaw flaw)
{
	m->state = HT_STATE_FLAW;
	m->flaw = flaw;
	return HT_STEP_FLAW;
}

static bool parse_field(struct ht_message *m, const char *line, size_t len)
{
	struct ht_head *h = m->head;
	const char *colon = memchr(line, ':', len);
	const char *value;
	size_t value_len;

	if (*line == ' ' || *line == '\t')
		return m->kind->unfolds && unfold(h, line, len);
	if (!ht_field_line_is_proper(line, len))
		return false;
	value = colon + 1;
	value_len = len - (size_t)(value - line);
	trim(&value, &value_len);
	if (h->n_fields == h->alloc) {
		h->alloc = h->alloc ? 2 * h->alloc : 16;
		h->fields = g_renew(struct ht_field, h->fields, h->alloc);
	}
	h->fields[h->n_fields].name = (uint32_t)h->text.len;
	ht_head_add(h, line, (size_t)(colon - line));
	h->fields[h->n_fields++].value = (uint32_t)h->text.len;
	ht_head_add(h, value, value_len);
	return true;
}

/* Continues the last field; the line break becomes a blank. */
static bool unfold(struct ht_head *h, const char *line, size_t len)
{
	if (!h->n_fields || !ht_is_text(line, len))
		return false;
	trim(&line, &len);
	if (!len)
		return true;
	h->text.len--;
	if (*ht_head_value(h, h->n_fields - 1))
		ba_buf_add(&h->text, " ", 1);
	ht_head_add(h, line, len);
	return true;
}

static bool parse_framing(const struct ht_head *h, struct ht_framing_fields *f)
{
	for (size_t i = 0; i < h->n_fields; i++) {
		const char *name = ht_head_name(h, i);
		const char *value = ht_head_value(h, i);

		if (!strcasecmp(name, "Content-Length")) {
			if (!add_length(f, value))
				return false;
		} else if (!strcasecmp(name, "Transfer-Encoding")) {
			add_codings(f, value);
		} else if (!strcasecmp(name, "Connection")) {
			f->close |= ht_list_contains(value, "close");
			f->keep_alive |= ht_list_contains(value, "keep-alive");
		}
	}
	if (!f->n_codings)
		return f->n_lengths <= 1;
	/* HTTP/1.0 has no codings, and a length contradicts them. */
	return f->n_codings == 1 && f->chunked && !f->n_lengths && h->minor;
}

static bool add_length(struct ht_framing_fields *f, const char *value)
{
	size_t digits = strspn(value, "0123456789");
	char *end;

	f->n_lengths++;
	f->length = g_ascii_strtoull(value, &end, 10);
	return digits && !value[digits] && f->length <= INT64_MAX;
}

/* A field without any coding counts as one that is not known. */
static void add_codings(struct ht_framing_fields *f, const char *value)
{
	unsigned int before = f->n_codings;

	while (*(value += strspn(value, ", \t"))) {
		size_t len = strcspn(value, ",");
		const char *coding = value;

		value += len;
		trim(&coding, &len);
		f->n_codings++;
		f->chunked = len == strlen("chunked") &&
			     !strncasecmp(coding, "chunked", len);
	}
	if (f->n_codings == before)
		f->n_codings += 2;
}

/* Extensions follow a semicolon; they are ignored. */
static bool parse_chunk_size(const char *line, size_t len, uint64_t *size)
{
	const char *end = line + len;
	const char *p = line;

	*size = 0;
	for (; p < end && g_ascii_isxdigit(*p); p++) {
		if (*size > INT64_MAX >> 4)
			return false;
		*size = *size << 4 | (uint64_t)g_ascii_xdigit_value(*p);
	}
	if (p == line || !ht_is_text(p, (size_t)(end - p)))
		return false;
	if (p == end)
		return true;
	while (p < end && (*p == ' ' || *p == '\t'))
		p++;
	return p < end && *p == ';';
}

/* Removes blanks at both ends. */
static void trim(const char **text, size_t *len)
{
	while (*len && (**text == ' ' || **text == '\t')) {
		++*text;
		--*len;
	}
	while (*len && ((*text)[*len - 1] == ' ' || (*text)[*len - 1] == '\t'))
		--*len;
}

bool ht_is_text(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (is_control(text[i]))
			return false;
	return true;
}

/* Tabs are none here. */
static bool is_control(char c)
{
	unsigned char b = (unsigned char)c;

	return (b < ' ' && b != '\t') || b == 0x7f;
}

bool ht_is_token(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) &&
		    (!text[i] || !strchr("!#$%&'*+-.^_`|~", text[i])))
			return false;
	return len;
}
