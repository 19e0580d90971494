#include <string.h>
#include <strings.h>

#include <glib.h>

#include "http/ht_answer.h"

enum {
	STATUS_SWITCHING = 101,
	STATUS_FIRST_FINAL = 200,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_LAST = 599,
	STATUS_DIGITS = 3,
	CHUNK_LINE_LIMIT_BYTES = 4096, /* size and extensions */
};

enum state {
	STATE_STATUS_LINE,
	STATE_FIELDS,
	STATE_BODY,
	STATE_BODY_TO_CLOSE,
	STATE_CHUNK_SIZE,
	STATE_CHUNK_DATA,
	STATE_CHUNK_END,
	STATE_TRAILER,
	STATE_END,
	STATE_FLAW,
};

static const char version[] = "HTTP/1.";

/* Framing of a head's fields. */
struct framing {
	unsigned int n_lengths;
	unsigned int n_codings;
	uint64_t length;
	bool chunked;
	bool close;
	bool keep_alive;
};

static enum ht_step read_line(struct ht_answer *a, struct ht_bytes *in);
static enum ht_flaw check_start(const struct ht_answer *a,
				const struct ht_bytes *piece);
static enum ht_step use_line(struct ht_answer *a, const char *line, size_t len);
static enum ht_step use_head_line(struct ht_answer *a, const char *line,
				  size_t len);
static enum ht_step use_chunk_line(struct ht_answer *a, const char *line,
				   size_t len);
static enum ht_step read_piece(struct ht_answer *a, struct ht_bytes *in,
			       struct ht_bytes *body);
static enum ht_step end_head(struct ht_answer *a);
static enum ht_framing framing(const struct ht_answer *a);
static enum ht_step fail(struct ht_answer *a, enum ht_flaw flaw);
static enum ht_flaw parse_status_line(struct ht_head *h, const char *line,
				      size_t len);
static bool parse_field(struct ht_head *h, const char *line, size_t len);
static bool unfold(struct ht_head *h, const char *line, size_t len);
static void add_string(struct ht_head *h, const char *text, size_t len);
static bool parse_framing(const struct ht_head *h, struct framing *f);
static bool add_length(struct framing *f, const char *value);
static void add_codings(struct framing *f, const char *value);
static bool parse_chunk_size(const char *line, size_t len, uint64_t *size);
static void trim(const char **text, size_t *len);
static bool is_text(const char *text, size_t len);
static bool is_control(char c);
static bool is_token(const char *text, size_t len);

void ht_answer_begin(struct ht_answer *a)
{
	a->state = STATE_STATUS_LINE;
	a->flaw = HT_FLAW_NONE;
	a->line.len = 0;
	a->n_bytes = 0;
	a->left = 0;
}

void ht_answer_free(struct ht_answer *a)
{
	ba_buf_free(&a->line);
}

bool ht_answer_has_begun(const struct ht_answer *a)
{
	return a->state != STATE_STATUS_LINE || a->line.len;
}

enum ht_step ht_answer_read(struct ht_answer *a, struct ht_bytes *in,
			    struct ht_bytes *body)
{
	enum ht_step step = HT_STEP_MORE;

	do {
		switch (a->state) {
		case STATE_BODY:
		case STATE_BODY_TO_CLOSE:
		case STATE_CHUNK_DATA:
			step = read_piece(a, in, body);
			break;
		case STATE_END:
			return HT_STEP_END;
		case STATE_FLAW:
			return HT_STEP_FLAW;
		default:
			step = read_line(a, in);
		}
	} while (step == HT_STEP_MORE && (in->len || a->state == STATE_END));
	return step;
}

enum ht_step ht_answer_close(struct ht_answer *a, enum ht_end why,
			     enum ht_taken request)
{
	if (!ht_end_is_whole(framing(a), why, request))
		return fail(a, HT_FLAW_CUT_OFF);
	a->state = STATE_END;
	return HT_STEP_END;
}

bool ht_status_is_final(int64_t status)
{
	return status >= STATUS_FIRST_FINAL && status <= STATUS_LAST;
}

bool ht_field_is_proper(const char *name, const char *value)
{
	return is_token(name, strlen(name)) && is_text(value, strlen(value));
}

bool ht_field_line_is_proper(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);

	return colon && is_token(line, (size_t)(colon - line)) &&
	       is_text(colon, len - (size_t)(colon - line));
}

const char *ht_flaw_name(enum ht_flaw flaw)
{
	static const char *const names[] = {
		[HT_FLAW_NONE] = "none",
		[HT_FLAW_STATUS_LINE] = "status-line",
		[HT_FLAW_STATUS] = "status",
		[HT_FLAW_FIELD] = "field",
		[HT_FLAW_FRAMING] = "framing",
		[HT_FLAW_CHUNK] = "chunk",
		[HT_FLAW_TOO_LARGE] = "too-large",
		[HT_FLAW_CUT_OFF] = "cut-off",
	};

	return names[flaw];
}

/* A line that arrives in one piece is used in place. */
static enum ht_step read_line(struct ht_answer *a, struct ht_bytes *in)
{
	const char *end = in->len ? memchr(in->data, '\n', in->len) : NULL;
	size_t len = end ? (size_t)(end - in->data) + 1 : in->len;
	bool in_chunk =
		a->state == STATE_CHUNK_SIZE || a->state == STATE_CHUNK_END;
	struct ht_bytes line = {in->data, len};
	enum ht_flaw flaw = end ? HT_FLAW_NONE : check_start(a, in);
	enum ht_step step;

	if (flaw)
		return fail(a, flaw);
	if (in_chunk ? a->line.len + len > CHUNK_LINE_LIMIT_BYTES
		     : (a->n_bytes += len) > a->head_limit)
		return fail(a, HT_FLAW_TOO_LARGE);
	in->data += len;
	in->len -= len;
	if (!end || a->line.len) {
		ba_buf_add(&a->line, line.data, len);
		line = (struct ht_bytes){(const char *)a->line.data,
					 a->line.len};
	}
	if (!end)
		return HT_STEP_MORE;
	step = use_line(a, line.data, line.len - 1);
	a->line.len = 0;
	return step;
}

/*
 * Checks @piece, which a line goes on with whose end has not come: it may never
 * come.
 */
static enum ht_flaw check_start(const struct ht_answer *a,
				const struct ht_bytes *piece)
{
	size_t at = a->line.len;

	switch (a->state) {
	case STATE_STATUS_LINE:
		for (size_t i = 0; i < piece->len && at < strlen(version); i++)
			if (piece->data[i] != version[at++])
				return HT_FLAW_STATUS_LINE;
		return HT_FLAW_NONE;
	case STATE_CHUNK_SIZE:
		return at || !piece->len || g_ascii_isxdigit(*piece->data)
			       ? HT_FLAW_NONE
			       : HT_FLAW_CHUNK;
	case STATE_CHUNK_END:
		return !piece->len || (!at &&
				       !strncmp(piece->data, "\r", piece->len))
			       ? HT_FLAW_NONE
			       : HT_FLAW_CHUNK;
	default:
		for (size_t i = 0; i < piece->len; i++)
			if (piece->data[i] != '\r' &&
			    is_control(piece->data[i]))
				return HT_FLAW_FIELD;
		return HT_FLAW_NONE;
	}
}

/* @line ends before its LF. */
static enum ht_step use_line(struct ht_answer *a, const char *line, size_t len)
{
	bool crlf = len && line[len - 1] == '\r';

	len -= crlf;
	if (a->state == STATE_CHUNK_SIZE || a->state == STATE_CHUNK_END)
		return crlf ? use_chunk_line(a, line, len)
			    : fail(a, HT_FLAW_CHUNK);
	return use_head_line(a, line, len);
}

static enum ht_step use_head_line(struct ht_answer *a, const char *line,
				  size_t len)
{
	enum ht_flaw flaw;

	switch (a->state) {
	case STATE_STATUS_LINE:
		ht_head_clear(a->head);
		flaw = parse_status_line(a->head, line, len);
		if (flaw)
			return fail(a, flaw);
		a->state = STATE_FIELDS;
		return HT_STEP_MORE;
	case STATE_FIELDS:
		if (!len)
			return end_head(a);
		if (!parse_field(a->head, line, len))
			return fail(a, HT_FLAW_FIELD);
		return HT_STEP_MORE;
	default:
		if (len)
			return ht_field_line_is_proper(line, len)
				       ? HT_STEP_MORE
				       : fail(a, HT_FLAW_FIELD);
		a->state = STATE_END;
		return HT_STEP_MORE;
	}
}

static enum ht_step use_chunk_line(struct ht_answer *a, const char *line,
				   size_t len)
{
	if (a->state == STATE_CHUNK_END) {
		if (len)
			return fail(a, HT_FLAW_CHUNK);
		a->state = STATE_CHUNK_SIZE;
		return HT_STEP_MORE;
	}
	if (!parse_chunk_size(line, len, &a->left))
		return fail(a, HT_FLAW_CHUNK);
	a->state = a->left ? STATE_CHUNK_DATA : STATE_TRAILER;
	a->n_bytes = 0;
	return HT_STEP_MORE;
}

static enum ht_step read_piece(struct ht_answer *a, struct ht_bytes *in,
			       struct ht_bytes *body)
{
	size_t len = in->len;

	if (a->state != STATE_BODY_TO_CLOSE)
		len = MIN(len, a->left);
	if (!len)
		return HT_STEP_MORE;
	*body = (struct ht_bytes){in->data, len};
	in->data += len;
	in->len -= len;
	if (a->state == STATE_BODY_TO_CLOSE)
		return HT_STEP_BODY;
	a->left -= len;
	if (!a->left)
		a->state = a->state == STATE_BODY ? STATE_END : STATE_CHUNK_END;
	return HT_STEP_BODY;
}

/*
 * Decides where the answer ends, by RFC 9112, section 6.3.  An answer that has
 * no body may not announce one, except with the length that GET would get.
 */
static enum ht_step end_head(struct ht_answer *a)
{
	struct ht_head *h = a->head;
	bool interim = h->status < STATUS_FIRST_FINAL;
	struct framing f = {0};

	if (!parse_framing(h, &f))
		return fail(a, HT_FLAW_FRAMING);
	if ((interim || h->status == STATUS_NO_CONTENT) &&
	    (f.n_codings || f.length))
		return fail(a, HT_FLAW_FRAMING);
	if (interim) {
		ht_answer_begin(a);
		return HT_STEP_MORE;
	}
	h->chunked = f.chunked;
	h->length = f.n_lengths ? (int64_t)f.length : HT_LENGTH_UNKNOWN;
	h->connection_close = f.close || (!h->minor && !f.keep_alive);
	a->left = f.length;
	if (a->no_body || h->status == STATUS_NO_CONTENT ||
	    h->status == STATUS_NOT_MODIFIED || (f.n_lengths && !f.length)) {
		a->state = STATE_END;
	} else if (f.chunked) {
		a->state = STATE_CHUNK_SIZE;
	} else if (f.n_lengths) {
		a->state = STATE_BODY;
	} else {
		a->state = STATE_BODY_TO_CLOSE;
		h->connection_close = true;
	}
	return HT_STEP_HEAD;
}

static enum ht_framing framing(const struct ht_answer *a)
{
	switch (a->state) {
	case STATE_BODY:
		return HT_FRAMING_LENGTH;
	case STATE_BODY_TO_CLOSE:
		return HT_FRAMING_CLOSE;
	case STATE_CHUNK_SIZE:
	case STATE_CHUNK_DATA:
	case STATE_CHUNK_END:
	case STATE_TRAILER:
		return HT_FRAMING_CHUNKS;
	default:
		return HT_FRAMING_HEAD;
	}
}

static enum ht_step fail(struct ht_answer *a, enum ht_flaw flaw)
{
	a->state = STATE_FLAW;
	a->flaw = flaw;
	return HT_STEP_FLAW;
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
		return HT_FLAW_STATUS_LINE;
	h->minor = (unsigned int)(*p++ - '0');
	if (p == end || *p != ' ')
		return HT_FLAW_STATUS_LINE;
	while (p < end && *p == ' ')
		p++;
	for (n = 0; p < end && g_ascii_isdigit(*p) && n <= STATUS_DIGITS; n++)
		h->status = 10 * h->status + (*p++ - '0');
	if (n != STATUS_DIGITS || (p < end && *p != ' ') ||
	    !is_text(p, (size_t)(end - p)))
		return HT_FLAW_STATUS_LINE;
	if (h->status < 100 || h->status > STATUS_LAST ||
	    h->status == STATUS_SWITCHING)
		return HT_FLAW_STATUS;
	return HT_FLAW_NONE;
}

static bool parse_field(struct ht_head *h, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	const char *value;
	size_t value_len;

	if (*line == ' ' || *line == '\t')
		return unfold(h, line, len);
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
	add_string(h, line, (size_t)(colon - line));
	h->fields[h->n_fields++].value = (uint32_t)h->text.len;
	add_string(h, value, value_len);
	return true;
}

/* Continues the last field; the line break becomes a blank. */
static bool unfold(struct ht_head *h, const char *line, size_t len)
{
	if (!h->n_fields || !is_text(line, len))
		return false;
	trim(&line, &len);
	if (!len)
		return true;
	h->text.len--;
	if (*ht_head_value(h, h->n_fields - 1))
		ba_buf_add(&h->text, " ", 1);
	add_string(h, line, len);
	return true;
}

static void add_string(struct ht_head *h, const char *text, size_t len)
{
	ba_buf_add(&h->text, text, len);
	ba_buf_add(&h->text, "", 1);
}

static bool parse_framing(const struct ht_head *h, struct framing *f)
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

static bool add_length(struct framing *f, const char *value)
{
	size_t digits = strspn(value, "0123456789");
	char *end;

	f->n_lengths++;
	f->length = g_ascii_strtoull(value, &end, 10);
	return digits && !value[digits] && f->length <= INT64_MAX;
}

/* A field without any coding counts as one that is not known. */
static void add_codings(struct framing *f, const char *value)
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
	if (p == line || !is_text(p, (size_t)(end - p)))
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

static bool is_text(const char *text, size_t len)
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

static bool is_token(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) &&
		    (!text[i] || !strchr("!#$%&'*+-.^_`|~", text[i])))
			return false;
	return len;
}
