/*
 * Stand-in for the link between regions: a TCP relay with a one-way delay, a
 * rate shared by all connections of a direction, byte counts, cuts, and
 * "silence", which discards the data of open connections while new ones work.
 * It is controlled by text commands on a port; "link --command" sends one.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_result.h"
#include "base/ba_socket.h"
#include "bench/bn.h"

enum {
	MAX_DIRECTIONS = 32,
	MAX_MAPS = 512,
	READ_BYTES = 16 * 1024,
	MAX_QUEUED_BYTES = 256 * 1024,
	BACKLOG = 128,
	LINE_BYTES = 256,
	BITS_PER_BYTE = 8,
	REVERSE = 1, /* index of the direction towards the connecting side */
};

/* One direction between two regions. */
struct direction {
	char name[64]; /* FROM>TO */
	uint64_t bytes;
	ba_time busy_until; /* when all queued bytes are sent at the rate */
	bool cut;
};

struct chunk {
	struct ba_list link;
	ba_time due;
	size_t len; /* 0 marks the end of the stream */
	size_t written;
	uint8_t data[];
};

struct map;

/* One direction of a connection, from the socket of @watch to the other one. */
struct flow {
	struct connection *connection;
	struct direction *direction;
	struct ba_watch watch; /* of the socket it reads from */
	struct ba_timer timer; /* for the first chunk's due time */
	struct ba_list chunks;
	size_t queued;
	bool silent; /* discard all data */
	bool read_eof;
	bool sent_eof;
};

struct connection {
	struct ba_list link;
	struct map *map;
	struct flow flow[2];
};

/* A --map option: a listener and the target of its connections. */
struct map {
	struct ba_watch watch;
	struct ba_address target;
	struct direction *direction[2];
};

struct command {
	struct ba_watch watch;
	char line[LINE_BYTES];
	size_t n;
};

static struct {
	struct ba_loop *loop;
	struct direction directions[MAX_DIRECTIONS];
	size_t n_directions;
	struct map maps[MAX_MAPS];
	size_t n_maps;
	struct ba_list connections;
	struct ba_watch control;
	ba_time delay;
	double mbit_per_s;
} link_state;

static int send_command(const struct ba_address *control, const char *command);
static void add_map(const char *text);
static struct direction *get_direction(const char *from, const char *to);
static int listen_at(const struct ba_address *at);
static void on_accept(struct ba_watch *w, unsigned int bits);
static void connect_target(struct connection *c);
static void on_ready(struct ba_watch *w, unsigned int bits);
static void read_flow(struct flow *f);
static bool is_queue_full(const struct flow *f);
static void queue_chunk(struct flow *f, const void *data, size_t len);
static void on_chunk_due(struct ba_timer *t, ba_time now);
static void write_due_chunks(struct flow *f);
static bool write_chunk(struct flow *f, struct chunk *k, int fd);
static struct flow *opposite_flow(struct flow *f);
static void update_watch(struct flow *f);
static void close_connection(struct connection *c);
static void close_all(void);
static void on_control(struct ba_watch *w, unsigned int bits);
static void on_command(struct ba_watch *w, unsigned int bits);
static void run_command(const char *line, struct ba_buf *out);
static void heal(void);
static void silence_flows(const char *direction);
static void write_counts(struct ba_buf *out);
static void on_signal(int signo, void *arg);

int main(int argc, char **argv)
{
	char **maps = NULL;
	char *control = NULL;
	char *delay = NULL;
	char *command = NULL;
	const GOptionEntry entries[] = {
		{"map", 0, 0, G_OPTION_ARG_STRING_ARRAY, &maps,
		 "Relay connections of region FROM into region TO",
		 "FROM,TO,LISTEN,TARGET"},
		{"control", 0, 0, G_OPTION_ARG_STRING, &control,
		 "Where commands are read", "IP:PORT"},
		{"delay", 0, 0, G_OPTION_ARG_STRING, &delay, "One-way delay",
		 "TIME"},
		{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &link_state.mbit_per_s,
		 "Rate of each direction, 0 for no limit", "MBIT/S"},
		{"command", 0, 0, G_OPTION_ARG_STRING, &command,
		 "Send a command to a running link: count, cut [FROM>TO], heal, silence [FROM>TO], delay TIME or rate MBIT/S",
		 "COMMAND"},
		G_OPTION_ENTRY_NULL,
	};
	struct ba_address at;

	bn_parse_options(&argc, &argv, entries);
	at = bn_parse_address("control", control);
	if (command) {
		int ret = send_command(&at, command);

		g_free(command);
		g_free(control);
		return ret;
	}
	link_state.loop = ba_loop_new();
	link_state.delay = bn_parse_duration("delay", delay);
	ba_list_init(&link_state.connections);
	ba_loop_signals(link_state.loop, on_signal, NULL);
	for (char **m = maps; m && *m; m++)
		add_map(*m);
	link_state.control.fd = listen_at(&at);
	link_state.control.ready = on_control;
	ba_loop_watch(link_state.loop, &link_state.control, BA_READABLE);
	ba_loop_run(link_state.loop);
	close_all();
	ba_loop_free(link_state.loop);
	g_strfreev(maps);
	g_free(control);
	g_free(delay);
	return 0;
}

static int send_command(const struct ba_address *control, const char *command)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char buf[4096];
	ssize_t n;

	if (connect(fd, (const struct sockaddr *)&control->sockaddr,
		    control->len)) {
		perror(control->text);
		return 1;
	}
	dprintf(fd, "%s\n", command);
	shutdown(fd, SHUT_WR);
	while ((n = read(fd, buf, sizeof(buf))) > 0)
		fwrite(buf, 1, (size_t)n, stdout);
	close(fd);
	return 0;
}

static void add_map(const char *text)
{
	char **part = g_strsplit(text, ",", 4);
	struct map *m = &link_state.maps[link_state.n_maps];
	struct ba_address at;

	if (g_strv_length(part) != 4 || link_state.n_maps == MAX_MAPS) {
		fprintf(stderr, "--map=%s: expected FROM,TO,LISTEN,TARGET\n",
			text);
		exit(ba_result_info(BA_USAGE)->exit_code);
	}
	link_state.n_maps++;
	at = bn_parse_address("map", part[2]);
	m->target = bn_parse_address("map", part[3]);
	m->direction[0] = get_direction(part[0], part[1]);
	m->direction[REVERSE] = get_direction(part[1], part[0]);
	m->watch.fd = listen_at(&at);
	m->watch.ready = on_accept;
	ba_loop_watch(link_state.loop, &m->watch, BA_READABLE);
	g_strfreev(part);
}

/* Returns the direction, which is added if it is new. */
static struct direction *get_direction(const char *from, const char *to)
{
	struct direction *d = link_state.directions;
	char name[sizeof(d->name)];

	snprintf(name, sizeof(name), "%s>%s", from, to);
	for (size_t i = 0; i < link_state.n_directions; i++)
		if (!strcmp(d[i].name, name))
			return &d[i];
	if (link_state.n_directions == MAX_DIRECTIONS) {
		fprintf(stderr, "--map: more than %d directions\n",
			MAX_DIRECTIONS);
		exit(ba_result_info(BA_USAGE)->exit_code);
	}
	d = &link_state.directions[link_state.n_directions++];
	memcpy(d->name, name, sizeof(name));
	return d;
}

static int listen_at(const struct ba_address *at)
{
	int fd = ba_socket_listen(at, BACKLOG);

	if (fd < 0) {
		perror(at->text);
		exit(ba_result_info(BA_PORT_IN_USE)->exit_code);
	}
	return fd;
}

static void on_accept(struct ba_watch *w, unsigned int bits)
{
	struct map *m = ba_entry(w, struct map, watch);
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct connection *c;

	(void)bits;
	if (fd < 0)
		return;
	c = g_new0(struct connection, 1);
	c->map = m;
	for (int i = 0; i < 2; i++) {
		struct flow *f = &c->flow[i];

		f->connection = c;
		f->direction = m->direction[i];
		f->watch.ready = on_ready;
		f->watch.fd = -1;
		f->timer.fire = on_chunk_due;
		ba_list_init(&f->chunks);
	}
	c->flow[0].watch.fd = fd;
	ba_list_append(&link_state.connections, &c->link);
	update_watch(&c->flow[0]);
	if (!m->direction[0]->cut && !m->direction[REVERSE]->cut)
		connect_target(c);
}

static void connect_target(struct connection *c)
{
	struct ba_watch *w = &c->flow[REVERSE].watch;

	w->fd = ba_socket_connect(&c->map->target);
	if (w->fd < 0) {
		close_connection(c);
		return;
	}
	update_watch(&c->flow[REVERSE]);
}

static void on_ready(struct ba_watch *w, unsigned int bits)
{
	struct flow *f = ba_entry(w, struct flow, watch);

	if (bits & BA_HANGUP) {
		close_connection(f->connection);
		return;
	}
	if (bits & BA_READABLE)
		read_flow(f);
	else if (bits & BA_WRITABLE)
		write_due_chunks(opposite_flow(f));
}

static void read_flow(struct flow *f)
{
	uint8_t buf[READ_BYTES];
	ssize_t n = read(f->watch.fd, buf, sizeof(buf));

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		close_connection(f->connection);
		return;
	}
	if (!f->silent)
		queue_chunk(f, buf, (size_t)n);
	f->read_eof = n == 0;
	update_watch(f);
}

static bool is_queue_full(const struct flow *f)
{
	return f->queued >= MAX_QUEUED_BYTES;
}

/*
 * A chunk is due when it and all chunks before it are sent at the rate of the
 * direction, plus the delay.
 */
static void queue_chunk(struct flow *f, const void *data, size_t len)
{
	struct chunk *k = g_malloc(sizeof(*k) + len);
	struct direction *d = f->direction;
	ba_time now = ba_loop_now(link_state.loop);

	if (d->busy_until < now)
		d->busy_until = now;
	if (link_state.mbit_per_s > 0)
		d->busy_until += (ba_time)((double)(len * BITS_PER_BYTE) /
					   link_state.mbit_per_s);
	k->due = d->busy_until + link_state.delay;
	k->len = len;
	k->written = 0;
	memcpy(k->data, data, len);
	d->bytes += len;
	f->queued += len;
	ba_list_append(&f->chunks, &k->link);
	if (!f->timer.slot)
		ba_loop_arm(link_state.loop, &f->timer, k->due);
}

static void on_chunk_due(struct ba_timer *t, ba_time now)
{
	(void)now;
	write_due_chunks(ba_entry(t, struct flow, timer));
}

static void write_due_chunks(struct flow *f)
{
	struct flow *to = opposite_flow(f);
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &f->chunks)
	{
		struct chunk *k = ba_entry(pos, struct chunk, link);

		if (f->direction->cut || f->silent || to->watch.fd < 0)
			break;
		if (k->due > ba_clock_now()) {
			ba_loop_arm(link_state.loop, &f->timer, k->due);
			break;
		}
		if (!write_chunk(f, k, to->watch.fd))
			break;
		f->queued -= k->len;
		ba_list_remove(pos);
		g_free(k);
	}
	if (f->sent_eof && to->sent_eof) {
		close_connection(f->connection);
		return;
	}
	update_watch(to);
	update_watch(f);
}

/* Returns whether the whole chunk has been written. */
static bool write_chunk(struct flow *f, struct chunk *k, int fd)
{
	ssize_t n;

	if (!k->len) {
		shutdown(fd, SHUT_WR);
		f->sent_eof = true;
		return true;
	}
	n = send(fd, k->data + k->written, k->len - k->written, MSG_NOSIGNAL);
	if (n > 0)
		k->written += (size_t)n;
	return k->written == k->len;
}

static struct flow *opposite_flow(struct flow *f)
{
	struct connection *c = f->connection;

	return f == &c->flow[0] ? &c->flow[REVERSE] : &c->flow[0];
}

/* Watch for reading if the queue has room, for writing if a chunk is due. */
static void update_watch(struct flow *f)
{
	struct flow *from = opposite_flow(f);
	unsigned int bits = 0;

	if (f->watch.fd < 0)
		return;
	if (!f->read_eof && !is_queue_full(f))
		bits |= BA_READABLE;
	if (!ba_list_empty(&from->chunks) && !from->direction->cut &&
	    !from->silent && !from->timer.slot)
		bits |= BA_WRITABLE;
	ba_loop_watch(link_state.loop, &f->watch, bits);
}

static void close_connection(struct connection *c)
{
	for (int i = 0; i < 2; i++) {
		struct flow *f = &c->flow[i];
		struct ba_list *pos;
		struct ba_list *tmp;

		ba_loop_disarm(link_state.loop, &f->timer);
		if (f->watch.fd >= 0) {
			ba_loop_unwatch(link_state.loop, &f->watch);
			close(f->watch.fd);
		}
		ba_list_each_safe(pos, tmp, &f->chunks)
			g_free(ba_entry(pos, struct chunk, link));
	}
	ba_list_remove(&c->link);
	g_free(c);
}

static void close_all(void)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &link_state.connections)
		close_connection(ba_entry(pos, struct connection, link));
}

static void on_control(struct ba_watch *w, unsigned int bits)
{
	int fd = accept4(w->fd, NULL, NULL, SOCK_CLOEXEC);
	struct command *c;

	(void)bits;
	if (fd < 0)
		return;
	c = g_new0(struct command, 1);
	c->watch.fd = fd;
	c->watch.ready = on_command;
	ba_loop_watch(link_state.loop, &c->watch, BA_READABLE);
}

static void on_command(struct ba_watch *w, unsigned int bits)
{
	struct command *c = ba_entry(w, struct command, watch);
	ssize_t n = read(w->fd, c->line + c->n, LINE_BYTES - 1 - c->n);
	struct ba_buf out = {0};

	(void)bits;
	if (n > 0) {
		c->n += (size_t)n;
		if (!strchr(c->line, '\n') && c->n < LINE_BYTES - 1)
			return;
		run_command(g_strchomp(c->line), &out);
		if (write(w->fd, out.data, out.len) < 0)
			perror("writing the answer to a command");
	}
	ba_buf_free(&out);
	ba_loop_unwatch(link_state.loop, w);
	close(w->fd);
	g_free(c);
}

static void run_command(const char *line, struct ba_buf *out)
{
	char **word = g_strsplit(line, " ", 2);
	const char *name = word[0] ? word[0] : "";
	const char *arg = name[0] && word[1] ? word[1] : NULL;
	ba_time delay = 0;
	bool done = true;

	if (!strcmp(name, "cut")) {
		for (size_t i = 0; i < link_state.n_directions; i++)
			if (!arg || !strcmp(arg, link_state.directions[i].name))
				link_state.directions[i].cut = true;
	} else if (!strcmp(name, "heal")) {
		heal();
	} else if (!strcmp(name, "silence")) {
		silence_flows(arg);
	} else if (!strcmp(name, "delay") && arg &&
		   !ba_parse_duration(arg, &delay)) {
		link_state.delay = delay;
	} else if (!strcmp(name, "rate") && arg) {
		link_state.mbit_per_s = g_ascii_strtod(arg, NULL);
	} else if (!strcmp(name, "count")) {
		write_counts(out);
	} else {
		ba_buf_addf(out, "unknown command: %s\n", line);
		done = false;
	}
	if (done && !out->len)
		ba_buf_addf(out, "ok\n");
	g_strfreev(word);
}

static void heal(void)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	for (size_t i = 0; i < link_state.n_directions; i++)
		link_state.directions[i].cut = false;
	ba_list_each_safe(pos, tmp, &link_state.connections)
	{
		struct connection *c = ba_entry(pos, struct connection, link);

		for (int i = 0; i < 2; i++)
			ba_loop_arm(link_state.loop, &c->flow[i].timer,
				    ba_clock_now());
		if (c->flow[REVERSE].watch.fd < 0)
			connect_target(c);
	}
}

static void silence_flows(const char *direction)
{
	struct ba_list *pos;

	ba_list_each(pos, &link_state.connections)
	{
		struct connection *c = ba_entry(pos, struct connection, link);

		for (int i = 0; i < 2; i++)
			if (!direction ||
			    !strcmp(direction, c->flow[i].direction->name))
				c->flow[i].silent = true;
	}
}

static void write_counts(struct ba_buf *out)
{
	for (size_t i = 0; i < link_state.n_directions; i++)
		ba_buf_addf(out, "%s %" PRIu64 "\n",
			    link_state.directions[i].name,
			    link_state.directions[i].bytes);
}

static void on_signal(int signo, void *arg)
{
	(void)signo;
	(void)arg;
	ba_loop_stop(link_state.loop);
}
