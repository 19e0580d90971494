#include <string.h>
#include <strings.h>

#include <glib.h>

#include "call/cl.h"
#include "daemon/da_headers.h"

static const char *const hop_by_hop_names[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
	"Proxy-Connection",
};

static const char *const reserved_names[] = {
	CL_HEADER_RESULT,
	CL_HEADER_TIME_LEFT,
	CL_HEADER_LOAD,
	CL_HEADER_HOMES,
};

static bool contains(const char *const *list, size_t n, const char *name);

void da_headers_add(struct da_headers *h, const char *name, const char *value)
{
	if (h->n == h->alloc) {
		h->alloc = h->alloc ? 2 * h->alloc : 16;
		h->list = g_renew(struct da_header, h->list, h->alloc);
	}
	h->list[h->n].name = g_strdup(name);
	h->list[h->n].value = g_strdup(value);
	h->n++;
}

const char *da_headers_get(const struct da_headers *h, const char *name)
{
	for (size_t i = 0; i < h->n; i++)
		if (!strcasecmp(h->list[i].name, name))
			return h->list[i].value;
	return NULL;
}

size_t da_headers_count(const struct da_headers *h, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < h->n; i++)
		count += !strcasecmp(h->list[i].name, name);
	return count;
}

void da_headers_clear(struct da_headers *h)
{
	for (size_t i = 0; i < h->n; i++) {
		g_free(h->list[i].name);
		g_free(h->list[i].value);
	}
	h->n = 0;
}

void da_headers_free(struct da_headers *h)
{
	da_headers_clear(h);
	g_free(h->list);
	h->list = NULL;
	h->alloc = 0;
}

bool da_header_is_hop_by_hop(const char *name)
{
	return contains(hop_by_hop_names, G_N_ELEMENTS(hop_by_hop_names), name);
}

bool da_header_is_reserved(const char *name)
{
	return contains(reserved_names, G_N_ELEMENTS(reserved_names), name);
}

static bool contains(const char *const *list, size_t n, const char *name)
{
	for (size_t i = 0; i < n; i++)
		if (!strcasecmp(list[i], name))
			return true;
	return false;
}
