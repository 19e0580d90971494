#include <pthread.h>
#include <string.h>

#include <glib.h>

#include "report/rt.h"
#include "report/rt_figures.h"
#include "wire/rt.pb-c.h"

/* Calls of one service since figures were last packed. */
struct service {
	char *name;
	uint64_t outcomes[RT_OUTCOMES];
	uint64_t retried;
	struct rt_hist latency;
};

/*
 * @sequence: of the figures packed last
 * @from: start of the interval of the next figures
 * @pending: packed figures, empty once they are acknowledged
 * @base: counter values when figures were last packed
 * @part_base: the same for the labelled parts
 * @lock: guards @services
 */
struct rt_figures {
	char *instance;
	char *role;
	uint64_t incarnation;
	uint64_t sequence;
	ba_time from;
	struct ba_buf pending;
	uint64_t base[RT_COUNTERS];
	uint64_t part_base[RT_PARTS_LIMIT];
	pthread_mutex_t lock;
	GHashTable *services;
};

static const enum rt_counter outcome_counters[] = {
	[RT_OUTCOME_ANSWERED] = RT_ANSWERED,
	[RT_OUTCOME_NOT_RUN] = RT_NOT_RUN,
	[RT_OUTCOME_MAY_HAVE_RUN] = RT_MAY_HAVE_RUN,
	[RT_OUTCOME_SHED] = RT_SHED,
};

static struct service *get_service(struct rt_figures *f, const char *name);
static void free_service(void *data);
static void pack_interval(struct rt_figures *f, ba_time wall, bool final);
static void add_counters(struct rt_figures *f, RtFigures *m);
static void add_counter(RtFigures *m, enum rt_counter id, const char *label,
			uint64_t value);
static void add_services(struct rt_figures *f, RtFigures *m);
static RtServiceFigures *build_service(const struct service *s);
static void clear_message(RtFigures *m);

struct rt_figures *rt_figures_new(const char *instance, const char *role,
				  uint64_t incarnation, ba_time wall)
{
	struct rt_figures *f = g_new0(struct rt_figures, 1);

	f->instance = g_strdup(instance);
	f->role = g_strdup(role);
	f->incarnation = incarnation;
	f->from = wall;
	pthread_mutex_init(&f->lock, NULL);
	f->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_service);
	return f;
}

void rt_figures_free(struct rt_figures *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->services);
	pthread_mutex_destroy(&f->lock);
	ba_buf_free(&f->pending);
	g_free(f->instance);
	g_free(f->role);
	g_free(f);
}

void rt_figures_add_call(struct rt_figures *f, const char *service,
			 enum rt_outcome outcome, ba_time latency,
			 unsigned int retries)
{
	struct service *s;

	rt_count(RT_CALLS, 1);
	rt_count(outcome_counters[outcome], 1);
	if (outcome == RT_OUTCOME_SHED)
		rt_count(RT_NOT_RUN, 1);
	rt_count(RT_RETRIED, retries);
	pthread_mutex_lock(&f->lock);
	s = get_service(f, service);
	s->outcomes[outcome]++;
	s->retried += retries;
	if (outcome == RT_OUTCOME_ANSWERED)
		rt_hist_add(&s->latency, latency);
	pthread_mutex_unlock(&f->lock);
}

void rt_figures_pack(struct rt_figures *f, ba_time wall, bool final,
		     struct ba_buf *out)
{
	if (!f->pending.len)
		pack_interval(f, wall, final);
	ba_buf_add(out, f->pending.data, f->pending.len);
}

void rt_figures_ack(struct rt_figures *f, uint64_t incarnation,
		    uint64_t sequence)
{
	if (incarnation == f->incarnation && sequence == f->sequence)
		ba_buf_free(&f->pending);
}

bool rt_figures_has_pending(const struct rt_figures *f)
{
	return f->pending.len > 0;
}

/*
 * Finds or adds a service; if the table is full, "other".  Called with the
 * lock held.
 */
static struct service *get_service(struct rt_figures *f, const char *name)
{
	struct service *s = g_hash_table_lookup(f->services, name);

	if (!s && g_hash_table_size(f->services) >= RT_SERVICES_LIMIT)
		s = g_hash_table_lookup(f->services, name = "other");
	if (s)
		return s;
	s = g_new0(struct service, 1);
	s->name = g_strdup(name);
	g_hash_table_insert(f->services, s->name, s);
	return s;
}

static void free_service(void *data)
{
	struct service *s = data;

	g_free(s->name);
	g_free(s);
}

static void pack_interval(struct rt_figures *f, ba_time wall, bool final)
{
	RtFigures m = RT_FIGURES__INIT;
	size_t len;

	m.instance = f->instance;
	m.role = f->role;
	m.incarnation = f->incarnation;
	m.sequence = ++f->sequence;
	m.from_wall_ms = (uint64_t)(f->from / BA_MS);
	m.to_wall_ms = (uint64_t)(wall / BA_MS);
	m.final = final;
	add_counters(f, &m);
	add_services(f, &m);
	len = rt_figures__get_packed_size(&m);
	ba_buf_reserve(&f->pending, len);
	f->pending.len = rt_figures__pack(&m, f->pending.data);
	f->from = wall;
	clear_message(&m);
}

/*
 * The total of a counter has an empty label.  Control bytes are added under
 * the role of the process as well.
 */
static void add_counters(struct rt_figures *f, RtFigures *m)
{
	enum rt_counter id;
	const char *label;
	uint64_t value;

	for (unsigned int i = 0; i < RT_COUNTERS; i++) {
		value = rt_counter_value(i);
		add_counter(m, i, "", value - f->base[i]);
		if (i == RT_CONTROL_BYTES_SENT ||
		    i == RT_CONTROL_BYTES_RECEIVED)
			add_counter(m, i, f->role, value - f->base[i]);
		f->base[i] = value;
	}
	for (size_t i = 0; rt_part_at(i, &id, &label, &value); i++) {
		add_counter(m, id, label, value - f->part_base[i]);
		f->part_base[i] = value;
	}
}

static void add_counter(RtFigures *m, enum rt_counter id, const char *label,
			uint64_t value)
{
	RtCounter *c;

	if (!value)
		return;
	c = g_new(RtCounter, 1);
	rt_counter__init(c);
	c->id = id;
	c->label = (char *)label;
	c->value = value;
	m->counters = g_renew(RtCounter *, m->counters, m->n_counters + 1);
	m->counters[m->n_counters++] = c;
}

/* Moves the calls counted so far from the table to the message. */
static void add_services(struct rt_figures *f, RtFigures *m)
{
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&f->lock);
	m->services =
		g_new(RtServiceFigures *, g_hash_table_size(f->services) + 1);
	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		m->services[m->n_services++] = build_service(value);
	g_hash_table_remove_all(f->services);
	pthread_mutex_unlock(&f->lock);
}

static RtServiceFigures *build_service(const struct service *s)
{
	RtServiceFigures *m = g_new(RtServiceFigures, 1);

	rt_service_figures__init(m);
	m->service = g_strdup(s->name);
	m->answered = s->outcomes[RT_OUTCOME_ANSWERED];
	m->shed = s->outcomes[RT_OUTCOME_SHED];
	m->not_run = s->outcomes[RT_OUTCOME_NOT_RUN] + m->shed;
	m->may_have_run = s->outcomes[RT_OUTCOME_MAY_HAVE_RUN];
	m->retried = s->retried;
	m->latency_index = g_new(uint32_t, RT_HIST_BUCKETS);
	m->latency_count = g_new(uint64_t, RT_HIST_BUCKETS);
	for (uint32_t i = 0; i < RT_HIST_BUCKETS; i++) {
		if (!s->latency.count[i])
			continue;
		m->latency_index[m->n_latency_index++] = i;
		m->latency_count[m->n_latency_count++] = s->latency.count[i];
	}
	return m;
}

static void clear_message(RtFigures *m)
{
	for (size_t i = 0; i < m->n_services; i++) {
		g_free(m->services[i]->service);
		g_free(m->services[i]->latency_index);
		g_free(m->services[i]->latency_count);
		g_free(m->services[i]);
	}
	g_free(m->services);
	for (size_t i = 0; i < m->n_counters; i++)
		g_free(m->counters[i]);
	g_free(m->counters);
}
