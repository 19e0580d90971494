#include <string.h>
#include <strings.h>

#include <glib.h>

#include "http/ht_head.h"

static const char *const hop_names[] = {
	"connection",	     "keep-alive", "proxy-connection",
	"transfer-encoding", "te",	   "trailer",
	"upgrade",	     "expect",	   "content-length",
};

/* RFC 9110, section 15, and RFC 6585. */
static const struct {
	int status;
	const char *phrase;
} reasons[] = {
	{100, "Continue"},
	{101, "Switching Protocols"},
	{102, "Processing"},
	{103, "Early Hints"},
	{200, "OK"},
	{201, "Created"},
	{202, "Accepted"},
	{203, "Non-Authoritative Information"},
	{204, "No Content"},
	{205, "Reset Content"},
	{206, "Partial Content"},
	{300, "Multiple Choices"},
	{301, "Moved Permanently"},
	{302, "Found"},
	{303, "See Other"},
	{304, "Not Modified"},
	{305, "Use Proxy"},
	{307, "Temporary Redirect"},
	{308, "Permanent Redirect"},
	{400, "Bad Request"},
	{401, "Unauthorized"},
	{402, "Payment Required"},
	{403, "Forbidden"},
	{404, "Not Found"},
	{405, "Method Not Allowed"},
	{406, "Not Acceptable"},
	{407, "Proxy Authentication Required"},
	{408, "Request Timeout"},
	{409, "Conflict"},
	{410, "Gone"},
	{411, "Length Required"},
	{412, "Precondition Failed"},
	{413, "Payload Too Large"},
	{414, "URI Too Long"},
	{415, "Unsupported Media Type"},
	{416, "Range Not Satisfiable"},
	{417, "Expectation Failed"},
	{421, "Misdirected Request"},
	{422, "Unprocessable Entity"},
	{425, "Too Early"},
	{426, "Upgrade Required"},
	{428, "Precondition Required"},
	{429, "Too Many Requests"},
	{431, "Request Header Fields Too Large"},
	{500, "Internal Server Error"},
	{501, "Not Implemented"},
	{502, "Bad Gateway"},
	{503, "Service Unavailable"},
	{504, "Gateway Timeout"},
	{505, "HTTP Version Not Supported"},
};

void ht_head_clear(struct ht_head *h)
{
	h->text.len = 0;
	h->n_fields = 0;
	h->method = NULL;
	h->target = 0;
	h->status = 0;
	h->length = HT_LENGTH_UNKNOWN;
	h->chunked = false;
	h->connection_close = false;
}

void ht_head_free(struct ht_head *h)
{
	ba_buf_free(&h->text);
	g_free(h->fields);
	memset(h, 0, sizeof(*h));
}

void ht_head_add(struct ht_head *h, const char *text, size_t len)
{
	ba_buf_add(&h->text, text, len);
	ba_buf_add(&h->text, "", 1);
}

const char *ht_head_name(const struct ht_head *h, size_t i)
{
	return (const char *)h->text.data + h->fields[i].name;
}

const char *ht_head_value(const struct ht_head *h, size_t i)
{
	return (const char *)h->text.data + h->fields[i].value;
}

const char *ht_head_target(const struct ht_head *h)
{
	return (const char *)h->text.data + h->target;
}

const char *ht_head_get(const struct ht_head *h, const char *name)
{
	for (size_t i = 0; i < h->n_fields; i++)
		if (!strcasecmp(ht_head_name(h, i), name))
			return ht_head_value(h, i);
	return NULL;
}

size_t ht_head_count(const struct ht_head *h, const char *name)
{
	size_t n = 0;

	for (size_t i = 0; i < h->n_fields; i++)
		n += !strcasecmp(ht_head_name(h, i), name);
	return n;
}

bool ht_head_is_hop_by_hop(const struct ht_head *h, size_t i)
{
	const char *name = ht_head_name(h, i);

	for (size_t j = 0; j < G_N_ELEMENTS(hop_names); j++)
		if (!strcasecmp(name, hop_names[j]))
			return true;
	for (size_t j = 0; j < h->n_fields; j++)
		if (!strcasecmp(ht_head_name(h, j), "connection") &&
		    ht_list_contains(ht_head_value(h, j), name))
			return true;
	return false;
}

bool ht_list_contains(const char *list, const char *word)
{
	size_t len = strlen(word);

	while (*list) {
		size_t n;

		list += strspn(list, ", \t");
		n = strcspn(list, ", \t");
		if (n == len && !strncasecmp(list, word, len))
			return true;
		list += n;
	}
	return false;
}

const char *ht_reason_phrase(int status)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (reasons[i].status == status)
			return reasons[i].phrase;
	return "Unknown";
}
