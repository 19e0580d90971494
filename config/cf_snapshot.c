#include <stdlib.h>
#include <string.h>

#include "base/ba_atomic.h"
#include "config/cf_internal.h"

static struct cf_snapshot_impl *to_impl(const struct cf_snapshot *s);
static const struct cf_route *match_host(const struct cf_snapshot_impl *impl,
					 const char *host, const char *method,
					 const char *path, size_t len);
static const struct cf_route *find_exact(const struct cf_snapshot_impl *impl,
					 const char *host, const char *path,
					 size_t len, const char *method);
static int compare_prefix(const char *route_path, const char *path, size_t len);

struct cf_snapshot *cf_snapshot_empty(void)
{
	struct ba_problems problems = {0};
	struct cf_draft d;
	struct cf_snapshot *s;

	cf_draft_init(&d, 0);
	s = cf_draft_finish(&d, &problems);
	cf_draft_free(&d);
	return s;
}

struct cf_snapshot *cf_snapshot_ref(struct cf_snapshot *s)
{
	ba_add_64(&to_impl(s)->refs, 1);
	return s;
}

void cf_snapshot_unref(struct cf_snapshot *s)
{
	struct cf_snapshot_impl *impl;

	if (!s)
		return;
	impl = to_impl(s);
	if (ba_add_64(&impl->refs, (uint64_t)-1) != 1)
		return;
	g_free(s->services);
	g_free(s->routes);
	g_free(s->policy.rows);
	g_free(s->rollouts);
	g_free((void *)impl->by_path);
	g_free(impl->parts);
	g_free(s->teams);
	g_free(impl->keys);
	g_free((void *)impl->key_texts);
	g_free(impl->by_key);
	g_string_chunk_free(impl->strings);
	g_free(impl);
}

int cf_service_find(const struct cf_snapshot *s, const char *name)
{
	size_t low = 0;
	size_t high = s->n_services;

	while (low < high) {
		size_t mid = (low + high) / 2;
		int order = strcmp(s->services[mid].name, name);

		if (!order)
			return (int)mid;
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return CF_NO_SERVICE;
}

const struct cf_route *cf_route_match(const struct cf_snapshot *s,
				      const char *host, const char *method,
				      const char *path, size_t len)
{
	const struct cf_route *r = NULL;

	if (!len || path[0] != '/')
		return NULL;
	if (*host)
		r = match_host(to_impl(s), host, method, path, len);
	return r ? r : match_host(to_impl(s), "", method, path, len);
}

const struct cf_route *cf_route_match_any_host(const struct cf_snapshot *s,
					       const char *method,
					       const char *path)
{
	return cf_route_match(s, "", method, path, strlen(path));
}

int cf_route_compare(const struct cf_route *a, const struct cf_route *b)
{
	int order = strcmp(a->host, b->host);

	if (!order)
		order = strcmp(a->path, b->path);

	return order ? order : strcmp(a->method, b->method);
}

static struct cf_snapshot_impl *to_impl(const struct cf_snapshot *s)
{
	return (struct cf_snapshot_impl *)s;
}

/* Tries the path, then shorter prefixes that end before or after a '/'. */
static const struct cf_route *match_host(const struct cf_snapshot_impl *impl,
					 const char *host, const char *method,
					 const char *path, size_t len)
{
	while (len) {
		const struct cf_route *r =
			find_exact(impl, host, path, len, method);

		if (!r)
			r = find_exact(impl, host, path, len, "");
		if (r || len == 1)
			return r;
		if (path[len - 1] == '/') {
			len--;
			continue;
		}
		while (len > 1 && path[len - 1] != '/')
			len--;
	}
	return NULL;
}

static const struct cf_route *find_exact(const struct cf_snapshot_impl *impl,
					 const char *host, const char *path,
					 size_t len, const char *method)
{
	size_t low = 0;
	size_t high = impl->s.n_routes;

	while (low < high) {
		size_t mid = (low + high) / 2;
		const struct cf_route *r = impl->by_path[mid];
		int order = strcmp(r->host, host);

		if (!order)
			order = compare_prefix(r->path, path, len);
		if (!order)
			order = strcmp(r->method, method);
		if (!order)
			return r;
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

/* Compares the whole path of a route with the first @len bytes of @path. */
static int compare_prefix(const char *route_path, const char *path, size_t len)
{
	int order = strncmp(route_path, path, len);

	if (order)
		return order;
	return route_path[len] ? 1 : 0;
}
