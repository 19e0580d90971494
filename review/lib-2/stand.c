/*
 * Stand-ins of the review: a backend server, and a client that sends one
 * request.  The scripts give the names of the platform's fields.
 *
 * usage: stand now
 *        stand call HOST:PORT WAIT_MS METHOD PATH BODY [FIELD...]
 *        stand load HOST:PORT PER_SECOND MS RECORD METHOD PATH ID_FIELD NAME
 *                   FIELD...
 *        stand leave HOST:PORT MS N METHOD PATH ID_FIELD NAME FIELD...
 *        stand serve HOST:PORT ID WORK_MS RECORD SWITCH ID_FIELD STAMP_FIELD
 *                    TARGET_FIELD NOT_RUN_FIELD LEAVING_FIELD
 *
 * call prints the status, a blank and the body, and follows two redirects;
 * status 0 means that no whole answer came.  load sends requests, each on a new
 * connection, and appends a line for each answer to RECORD.  leave sends N
 * requests at once on one connection, and closes it MS later.  serve appends a line
 * for each request that it runs; it states that it leaves while the file
 * SWITCH.leaves exists, and fails one request in six while SWITCH.fails exists.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum {
	BUFFER_BYTES = 64 * 1024,
	TEXT_BYTES = 256,
	MAX_REDIRECTS = 2,
	LOAD_THREADS = 12,
	FAILS_ONE_IN = 6,
	LOAD_WAIT_MS = 6000,
	BACKLOG = 64,
};

struct names {
	const char *id;
	const char *stamp;
	const char *target;
	const char *not_run;
	const char *leaving;
};

struct server {
	const char *id;
	int work_ms;
	int record;
	char leaves[TEXT_BYTES];
	char fails[TEXT_BYTES];
	struct names names;
};

/* @argv: from the address on */
struct load {
	int index;
	char **argv;
	int n_fields;
	int record;
	long long end;
};

struct conn {
	const struct server *server;
	int fd;
};

/* @len: bytes in @data, which end with a NUL; @head: bytes of the head */
struct message {
	char data[BUFFER_BYTES];
	size_t len;
	size_t head;
};

static long long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void sleep_ms(long long ms)
{
	const struct timespec t = {.tv_sec = ms / 1000,
				   .tv_nsec = ms % 1000 * 1000000};

	nanosleep(&t, NULL);
}

static int parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strchr(text, ':');
	char host[TEXT_BYTES] = "";

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return -1;
	memcpy(host, text, (size_t)(colon - text));
	*out = (struct sockaddr_in){.sin_family = AF_INET};
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -1;
}

static int send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		data += n;
		len -= (size_t)n;
	}
	return 0;
}

/* Copies the value of field @name of the head, or returns -1. */
static int get_field(const struct message *m, const char *name, char *out,
		     size_t size)
{
	const char *line = strstr(m->data, "\r\n");
	size_t len = strlen(name);

	while (line && line < m->data + m->head) {
		line += 2;
		if (!strncasecmp(line, name, len) && line[len] == ':') {
			const char *value = line + len + 1;
			size_t n;

			value += strspn(value, " ");
			n = strcspn(value, "\r");
			if (n >= size)
				n = size - 1;
			memcpy(out, value, n);
			out[n] = '\0';
			return 0;
		}
		line = strstr(line, "\r\n");
	}
	return -1;
}

/* Reads a message with a length, or none; returns -1 if it did not come. */
static int read_message(int fd, struct message *m)
{
	size_t need = 0;

	m->len = 0;
	m->head = 0;
	while (!m->head || m->len < need) {
		ssize_t n = recv(fd, m->data + m->len,
				 sizeof(m->data) - 1 - m->len, 0);
		const char *end;
		char length[TEXT_BYTES];

		if (n <= 0)
			return -1;
		m->len += (size_t)n;
		m->data[m->len] = '\0';
		end = strstr(m->data, "\r\n\r\n");
		if (m->head || !end)
			continue;
		m->head = (size_t)(end - m->data) + 4;
		need = m->head;
		if (!get_field(m, "Content-Length", length, sizeof(length)))
			need += strtoul(length, NULL, 10);
		if (need >= sizeof(m->data))
			return -1;
	}
	return 0;
}

static int connect_to(const char *to, long long wait_ms)
{
	const struct timeval wait = {.tv_sec = wait_ms / 1000,
				     .tv_usec = wait_ms % 1000 * 1000};
	struct sockaddr_in a;
	int fd;

	if (parse_address(to, &a))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait)) ||
	    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait)) ||
	    connect(fd, (const struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	return fd;
}

static int call_once(const char *to, char **argv, int n_fields,
		     struct message *m)
{
	const char *body = argv[3];
	long long wait_ms = strtoll(argv[0], NULL, 10);
	int fd = connect_to(to, wait_ms);
	int status = 0;
	int len;

	if (fd < 0)
		return 0;
	len = snprintf(m->data, sizeof(m->data), "%s %s HTTP/1.1\r\n", argv[1],
		       argv[2]);
	for (int i = 0; i < n_fields; i++)
		len += snprintf(m->data + len, sizeof(m->data) - (size_t)len,
				"%s\r\n", argv[4 + i]);
	if (*body)
		len += snprintf(m->data + len, sizeof(m->data) - (size_t)len,
				"Content-Type: application/json\r\n"
				"Content-Length: %zu\r\n",
				strlen(body));
	len += snprintf(m->data + len, sizeof(m->data) - (size_t)len, "\r\n%s",
			body);
	if (!send_all(fd, m->data, (size_t)len) && !read_message(fd, m) &&
	    m->len > strlen("HTTP/1.1 "))
		status = (int)strtol(m->data + strlen("HTTP/1.1 "), NULL, 10);
	close(fd);
	return status;
}

static int call(int argc, char **argv)
{
	static struct message m;
	char to[TEXT_BYTES];
	char location[TEXT_BYTES];
	int status = 0;

	snprintf(to, sizeof(to), "%s", argv[2]);
	for (int i = 0; i <= MAX_REDIRECTS; i++) {
		const char *scheme = "http://";

		status = call_once(to, argv + 3, argc - 7, &m);
		if (status != 307 ||
		    get_field(&m, "Location", location, sizeof(location)) ||
		    strncmp(location, scheme, strlen(scheme)) != 0)
			break;
		snprintf(to, sizeof(to), "%.*s",
			 (int)strcspn(location + strlen(scheme), "/"),
			 location + strlen(scheme));
	}
	printf("%d %s\n", status, status ? m.data + m.head : "");
	return 0;
}

/* One write a line, so that lines of several processes do not mix. */
__attribute__((format(printf, 2, 3))) static void add_record(int record,
							     const char *format,
							     ...)
{
	char line[BUFFER_BYTES / 16];
	va_list args;
	int len;

	va_start(args, format);
	len = vsnprintf(line, sizeof(line), format, args);
	va_end(args);
	if (write(record, line, (size_t)len) != len)
		perror("record");
}

/* Works until the connection is closed, and returns -1 if it was. */
static int work(int fd, int work_ms)
{
	long long end = now_ms() + work_ms;
	char byte;

	while (now_ms() < end) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		int n = poll(&p, 1, (int)(end - now_ms()));

		if (n <= 0)
			return 0;
		if (recv(fd, &byte, 1, MSG_PEEK) <= 0)
			return -1;
		sleep_ms(1);
	}
	return 0;
}

/* Returns -1 if the connection is to be closed. */
static int answer(const struct conn *c, const struct message *m)
{
	const struct server *s = c->server;
	static _Atomic unsigned int runs;
	bool leaves = !access(s->leaves, F_OK);
	bool fails = !access(s->fails, F_OK) && runs++ % FAILS_ONE_IN == 0;
	char id[TEXT_BYTES] = "";
	char target[TEXT_BYTES] = "";
	char body[2 * TEXT_BYTES + 16];
	char out[BUFFER_BYTES / 8];
	int len;

	get_field(m, s->names.id, id, sizeof(id));
	if (!get_field(m, s->names.target, target, sizeof(target)) &&
	    strcmp(target, s->id) != 0) {
		len = snprintf(out, sizeof(out),
			       "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n"
			       "%s: 1\r\nContent-Length: 0\r\n\r\n",
			       s->names.id, id, s->names.not_run);
		add_record(s->record, "%lld %s rejects %s, sent for %s\n",
			   now_ms(), s->id, id, target);
		return send_all(c->fd, out, (size_t)len);
	}
	add_record(s->record, "%lld %s runs %s%s: %.*s\n", now_ms(), s->id, id,
		   fails ? " badly" : "", (int)strcspn(m->data, "\r"), m->data);
	if (work(c->fd, s->work_ms)) {
		add_record(s->record, "%lld %s drops %s\n", now_ms(), s->id,
			   id);
		return -1;
	}
	add_record(s->record, "%lld %s ends %s\n", now_ms(), s->id, id);
	snprintf(body, sizeof(body), "%s ran %s", s->id, id);
	len = snprintf(out, sizeof(out),
		       "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n"
		       "%s%sContent-Length: %zu\r\n\r\n%s",
		       fails ? "500 Internal Server Error" : "200 OK",
		       s->names.id, id, s->names.stamp, id,
		       leaves ? s->names.leaving : "", leaves ? ": 1\r\n" : "",
		       strlen(body), body);
	return send_all(c->fd, out, (size_t)len);
}

static void *serve_conn(void *arg)
{
	struct conn *c = arg;
	struct message *m = malloc(sizeof(*m));

	while (m && !read_message(c->fd, m) && !answer(c, m))
		;
	free(m);
	close(c->fd);
	free(c);
	return NULL;
}

static int serve(char **argv)
{
	const int on = 1;
	static struct server s;
	struct sockaddr_in a;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	s = (struct server){
		.id = argv[3],
		.work_ms = (int)strtol(argv[4], NULL, 10),
		.record = open(argv[5],
			       O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644),
		.names = {argv[7], argv[8], argv[9], argv[10], argv[11]},
	};
	snprintf(s.leaves, sizeof(s.leaves), "%s.leaves", argv[6]);
	snprintf(s.fails, sizeof(s.fails), "%s.fails", argv[6]);
	if (fd < 0 || s.record < 0 || parse_address(argv[2], &a) ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    bind(fd, (const struct sockaddr *)&a, sizeof(a)) ||
	    listen(fd, BACKLOG)) {
		perror(argv[2]);
		return 2;
	}
	for (;;) {
		struct conn *c = malloc(sizeof(*c));
		pthread_t thread;

		if (!c)
			return 2;
		*c = (struct conn){&s, accept(fd, NULL, NULL)};
		if (c->fd < 0 || pthread_create(&thread, NULL, serve_conn, c)) {
			if (c->fd >= 0)
				close(c->fd);
			free(c);
			continue;
		}
		pthread_detach(thread);
	}
}

static void *send_requests(void *arg)
{
	const struct load *l = arg;
	long long gap = LOAD_THREADS * 1000 / strtoll(l->argv[1], NULL, 10);
	long long next = now_ms() + gap * l->index / LOAD_THREADS;
	struct message *m = malloc(sizeof(*m));
	char wait[TEXT_BYTES];
	char field[TEXT_BYTES];
	char *call_argv[16] = {wait, l->argv[4], l->argv[5], "", field};

	snprintf(wait, sizeof(wait), "%d", LOAD_WAIT_MS);
	for (int i = 0; i < l->n_fields && i < 8; i++)
		call_argv[5 + i] = l->argv[8 + i];
	for (int n = 0; m && next < l->end; n++, next += gap) {
		int status;

		if (next > now_ms())
			sleep_ms(next - now_ms());
		snprintf(field, sizeof(field), "%s: %s-%d-%d", l->argv[6],
			 l->argv[7], l->index, n);
		status = call_once(l->argv[0], call_argv, 1 + l->n_fields, m);
		add_record(l->record, "%lld client: %s-%d-%d: %d %s\n",
			   now_ms(), l->argv[7], l->index, n, status,
			   status ? m->data + m->head : "");
	}
	free(m);
	return NULL;
}

static int load(int argc, char **argv)
{
	pthread_t threads[LOAD_THREADS];
	struct load loads[LOAD_THREADS];
	int record =
		open(argv[5], O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	long long end = now_ms() + strtoll(argv[4], NULL, 10);

	if (record < 0 || strtoll(argv[3], NULL, 10) < 1)
		return 2;
	for (int i = 0; i < LOAD_THREADS; i++) {
		loads[i] = (struct load){i, argv + 2, argc - 10, record, end};
		if (pthread_create(&threads[i], NULL, send_requests, &loads[i]))
			return 2;
	}
	for (int i = 0; i < LOAD_THREADS; i++)
		pthread_join(threads[i], NULL);
	return 0;
}

/* @argv: from the address on */
static int leave(int argc, char **argv)
{
	static struct message m;
	long long wait_ms = strtoll(argv[1], NULL, 10);
	int fd = connect_to(argv[0], LOAD_WAIT_MS);
	long n_requests = strtol(argv[2], NULL, 10);

	if (fd < 0)
		return 2;
	for (long n = 0; n < n_requests; n++) {
		int len = snprintf(m.data, sizeof(m.data),
				   "%s %s HTTP/1.1\r\n%s: %s-%ld\r\n", argv[3],
				   argv[4], argv[5], argv[6], n);

		for (int i = 7; i < argc; i++)
			len += snprintf(m.data + len,
					sizeof(m.data) - (size_t)len, "%s\r\n",
					argv[i]);
		len += snprintf(m.data + len, sizeof(m.data) - (size_t)len,
				"\r\n");
		if (send_all(fd, m.data, (size_t)len))
			break;
	}
	sleep_ms(wait_ms);
	close(fd);
	return 0;
}

int main(int argc, char **argv)
{
	if (argc == 2 && !strcmp(argv[1], "now")) {
		printf("%lld\n", now_ms());
		return 0;
	}
	if (argc >= 7 && !strcmp(argv[1], "call"))
		return call(argc, argv);
	if (argc >= 10 && argc < 18 && !strcmp(argv[1], "load"))
		return load(argc, argv);
	if (argc >= 9 && !strcmp(argv[1], "leave"))
		return leave(argc - 2, argv + 2);
	if (argc == 12 && !strcmp(argv[1], "serve"))
		return serve(argv);
	fprintf(stderr, "usage: see the head of the source\n");
	return 2;
}
