#include <glib.h>

#include "call/cl_sizes.h"

/* The newest answer weighs 1/SMOOTHING in the mean. */
enum { SMOOTHING = 16 };

/* By route and service; exponential moving averages, in bytes. */
struct cl_sizes {
	GHashTable *means;
};

static char *key_of(const char *route, const char *service);
static double *find_or_add(struct cl_sizes *s, const char *route,
			   const char *service);

struct cl_sizes *cl_sizes_new(void)
{
	struct cl_sizes *s = g_new0(struct cl_sizes, 1);

	s->means =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return s;
}

void cl_sizes_free(struct cl_sizes *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->means);
	g_free(s);
}

double cl_sizes_mean(const struct cl_sizes *s, const char *route,
		     const char *service)
{
	char *key = key_of(route, service);
	const double *mean = g_hash_table_lookup(s->means, key);

	g_free(key);
	return mean ? *mean : 0;
}

void cl_sizes_assume(struct cl_sizes *s, const char *route, const char *service,
		     double bytes)
{
	double *mean = find_or_add(s, route, service);

	if (!*mean)
		*mean = bytes;
}

void cl_sizes_record(struct cl_sizes *s, const char *route, const char *service,
		     uint64_t bytes)
{
	double *mean = find_or_add(s, route, service);

	*mean += ((double)bytes - *mean) / SMOOTHING;
}

static char *key_of(const char *route, const char *service)
{
	return g_strconcat(route, "\n", service, NULL);
}

static double *find_or_add(struct cl_sizes *s, const char *route,
			   const char *service)
{
	char *key = key_of(route, service);
	double *mean = g_hash_table_lookup(s->means, key);

	if (mean) {
		g_free(key);
		return mean;
	}
	mean = g_new0(double, 1);
	g_hash_table_insert(s->means, key, mean);
	return mean;
}
