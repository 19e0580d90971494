#include <ctype.h>
#include <dirent.h>
#include <stdio.h>
#include <string.h>

#include "bench/soak.h"

enum {
	PIECE_BYTES = 64 * 1024, /* written at once */
	UNREAD_REQUESTS = 1600,	 /* sent on one connection */
	CORE_ONE_IN = 9,	 /* connections to a core */
};

/* Ports of a proxy; that of its callers is the first. */
static const int ports[] = {9100, 9101, 9100, 9102, 9100, 9103, 9100, 9100};

#define REOPEN_DELAY (300 * BA_MS)
#define MEASURE_PERIOD (100 * BA_MS)

/*
 * @left: bytes of the body that are to be sent yet
 */
struct crowd_conn {
	struct ht_conn_owner owner;
	struct ba_timer reopen;
	struct soak *soak;
	struct ba_address at;
	struct ht_conn *conn;
	size_t left;
};

static struct ba_address target_of(const struct soak *s, int i);
static void open_conn(struct ba_timer *t, ba_time now);
static void write_head(struct crowd_conn *c);
static void on_drained(struct ht_conn_owner *o, struct ht_conn *conn);
static void on_head(struct ht_conn_owner *o, struct ht_conn *conn);
static void on_ended(struct ht_conn_owner *o, struct ht_conn *conn,
		     enum ht_end why);
static size_t add_chunk(const struct soak_crowd *crowd, size_t left,
			struct ba_buf *out);
static void measure(struct ba_timer *t, ba_time now);
static void measure_process(const struct soak_process *p, uint64_t *kb,
			    uint64_t *fds);

void soak_crowd_start(struct soak *s)
{
	struct soak_crowd *crowd = &s->crowd;

	crowd->conns = g_new0(struct crowd_conn, crowd->n);
	crowd->on = true;
	for (int i = 0; i < crowd->n; i++) {
		struct crowd_conn *c = &crowd->conns[i];

		c->soak = s;
		c->at = target_of(s, i);
		c->reopen.fire = open_conn;
		ba_loop_arm(s->loop, &c->reopen, ba_loop_now(s->loop));
	}
}

void soak_crowd_end(struct soak *s)
{
	struct soak_crowd *crowd = &s->crowd;

	crowd->on = false;
	for (int i = 0; i < crowd->n; i++) {
		struct crowd_conn *c = &crowd->conns[i];

		ba_loop_disarm(s->loop, &c->reopen);
		if (c->conn)
			ht_conn_abort(c->conn);
		c->conn = NULL;
	}
	crowd->whole_before = s->outcomes[SOAK_WHOLE];
}

void soak_measure_start(struct soak *s)
{
	s->crowd.measure.fire = measure;
	ba_loop_arm(s->loop, &s->crowd.measure, ba_loop_now(s->loop));
}

/* A crowd is shared among all ports that others than the system's own reach. */
static struct ba_address target_of(const struct soak *s, int i)
{
	int round = i / s->n_machines;
	struct ba_address at = s->machines[i % s->n_machines].process.at;
	char *text;

	if (i % CORE_ONE_IN == CORE_ONE_IN - 1)
		return s->cores[round % s->n_cores].at;
	text = g_strdup_printf("%.*s:%d", (int)strcspn(at.text, ":"), at.text,
			       ports[round % G_N_ELEMENTS(ports)]);
	ba_parse_address(text, &at);
	g_free(text);
	return at;
}

static void open_conn(struct ba_timer *t, ba_time now)
{
	struct crowd_conn *c = ba_entry(t, struct crowd_conn, reopen);

	(void)now;
	c->owner.head = on_head;
	c->owner.drained = on_drained;
	c->owner.ended = on_ended;
	c->soak->crowd.n_opened++;
	c->conn = ht_conn_dial(c->soak->loop, &c->at, SOAK_HEAD_LIMIT_BYTES,
			       &c->owner);
	write_head(c);
	ht_conn_flush(c->conn);
}

static void write_head(struct crowd_conn *c)
{
	const struct soak_crowd *crowd = &c->soak->crowd;
	struct ba_buf *out = ht_conn_out(c->conn);

	c->left = 0;
	switch (crowd->kind) {
	case SOAK_CROWD_BODIES:
	case SOAK_CROWD_WHOLE:
		ba_buf_addf(out, "POST /long/9 HTTP/1.1\r\nHost: soak.example"
				 "\r\nTransfer-Encoding: chunked\r\n\r\n");
		c->left = crowd->body_bytes;
		break;
	case SOAK_CROWD_HEADS:
		ba_buf_addf(out, "GET /long/9 HTTP/1.1\r\nHost: soak.example");
		while (out->len < crowd->body_bytes)
			ba_buf_addf(out, "\r\na: b");
		break;
	case SOAK_CROWD_UNREAD:
		ht_conn_pause(c->conn, true);
		for (int i = 0; i < UNREAD_REQUESTS; i++)
			ba_buf_addf(out,
				    "GET /long/%zu HTTP/1.1\r\n"
				    "Host: soak.example\r\n\r\n",
				    crowd->body_bytes);
		break;
	}
}

static void on_drained(struct ht_conn_owner *o, struct ht_conn *conn)
{
	struct crowd_conn *c = ba_entry(o, struct crowd_conn, owner);
	const struct soak_crowd *crowd = &c->soak->crowd;
	struct ba_buf *out = ht_conn_out(conn);

	while (c->left && !out->len) {
		while (c->left && out->len < PIECE_BYTES)
			c->left -= add_chunk(crowd, c->left, out);
		if (!c->left && crowd->kind == SOAK_CROWD_WHOLE)
			ba_buf_addf(out, "0\r\n\r\n");
		ht_conn_flush(conn);
	}
}

static size_t add_chunk(const struct soak_crowd *crowd, size_t left,
			struct ba_buf *out)
{
	size_t len = MIN(left, crowd->chunk_bytes);

	ba_buf_addf(out, "%zx\r\n", len);
	ba_buf_reserve(out, len);
	memset(out->data + out->len, 'x', len);
	out->len += len;
	ba_buf_add(out, "\r\n", 2);
	return len;
}

static void on_head(struct ht_conn_owner *o, struct ht_conn *conn)
{
	struct crowd_conn *c = ba_entry(o, struct crowd_conn, owner);

	if (ht_conn_head(conn)->status >= 400)
		c->soak->crowd.n_refused++;
	else if (ht_conn_head(conn)->status == 200)
		c->soak->crowd.n_served++;
}

static void on_ended(struct ht_conn_owner *o, struct ht_conn *conn,
		     enum ht_end why)
{
	struct crowd_conn *c = ba_entry(o, struct crowd_conn, owner);
	struct soak *s = c->soak;

	(void)conn;
	(void)why;
	c->conn = NULL;
	s->crowd.n_closed++;
	if (s->crowd.on)
		ba_loop_arm(s->loop, &c->reopen,
			    ba_loop_now(s->loop) + REOPEN_DELAY);
}

static void measure(struct ba_timer *t, ba_time now)
{
	struct soak_crowd *crowd = ba_entry(t, struct soak_crowd, measure);
	struct soak *s = ba_entry(crowd, struct soak, crowd);

	for (int i = 0; i < s->n_machines; i++)
		measure_process(&s->machines[i].process, &crowd->peak_kb,
				&crowd->peak_fds);
	for (int i = 0; i < s->n_cores; i++)
		measure_process(&s->cores[i], &crowd->core_peak_kb,
				&crowd->peak_fds);
	ba_loop_arm(s->loop, t, now + MEASURE_PERIOD);
}

static void measure_process(const struct soak_process *p, uint64_t *kb,
			    uint64_t *fds)
{
	char path[64];
	char *status;
	const char *line;
	uint64_t n = 0;
	const struct dirent *e;
	DIR *dir;

	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)p->pid);
	if (p->pid > 0 && g_file_get_contents(path, &status, NULL, NULL)) {
		line = strstr(status, "VmHWM:");
		if (line)
			*kb = MAX(*kb, g_ascii_strtoull(line + 6, NULL, 10));
		g_free(status);
	}
	g_snprintf(path, sizeof(path), "/proc/%d/fd", (int)p->pid);
	dir = p->pid > 0 ? opendir(path) : NULL;
	while (dir && (e = readdir(dir)))
		n += isdigit(e->d_name[0]) != 0;
	if (dir)
		closedir(dir);
	*fds = MAX(*fds, n);
}
