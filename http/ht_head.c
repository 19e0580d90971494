#include <string.h>
#include <strings.h>

#include <glib.h>
#include <http_parser.h>

#include "http/ht_head.h"

static const char *const hop_names[] = {
	"connection",	     "keep-alive", "proxy-connection",
	"transfer-encoding", "te",	   "trailer",
	"upgrade",	     "expect",	   "content-length",
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
	return http_status_str((enum http_status)status);
}
