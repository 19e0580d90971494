/*
 * Stand-ins for the scripts of this review:
 *
 *   stand_in backend ADDRESS PORT LOG [SEED PERCENT]
 *	Answers each request after WORK_MS with 200, its id, a receipt and a
 *	body; a long one if the path ends in "/long".  Appends the head of each
 *	request to LOG as one line, its fields separated by "|", after "whole" or
 *	"broken".  Breaks off PERCENT of the answers midway, in the first
 *	BREAK_MS of every PERIOD_MS.
 *   stand_in call ADDRESS PORT METHOD PATH [FIELD...]
 *	Sends one request, with what is read from standard input as its body if
 *	METHOD is POST.  Writes the status and the body, or "none" if no whole
 *	answer came within the time limit, and the body that came.
 *   stand_in pipeline ADDRESS PORT NAME HOST SECONDS SEED
 *	Sends requests for /list/, on connections that are kept: a single one
 *	first, then BATCHES times BATCH of them without waiting for answers.  One
 *	in LONG_EVERY has a long answer.  Opens the next connection when one ends.
 *	Writes a line for each request: its id, and its status or "unanswered".
 */
#include <arpa/inet.h>
#include <ctype.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "test/platform_names.h"

enum {
	HEAD_BYTES = 16 * 1024,
	BODY_BYTES = 1024 * 1024,
	ID_BYTES = 128,
	MAX_CONNECTIONS = 256,
	CALL_TIMEOUT_S = 5, /* more than a caller of the scripts waits */
	WORK_MS = 20,
	BREAK_MS = 5500,
	PERIOD_MS = 8000,
	SHORT_BYTES = 20000,
	LONG_BYTES = 300000,
	BATCHES = 5,
	BATCH = 6,
	BATCH_PAUSE_MS = 40,
	LONG_EVERY = 10,
	DEADLINE_MS = 4000,
};

/*
 * A connection to the backend server, and what has come of its next request.
 * @head_len: of the request that runs, or 0
 * @due: when its answer is due, in ms
 */
struct connection {
	int fd;
	size_t len;
	size_t head_len;
	long long due;
	char head[HEAD_BYTES + 1];
};

/* struct reader - reads the answers on a connection of a caller */
struct reader {
	int fd;
	size_t len;
	char text[HEAD_BYTES + LONG_BYTES];
};

static int run_backend(const char *address, int port, const char *log_name);
static int poll_connections(int listener, struct connection *list, size_t n,
			    int timeout);
static int listen_at(const char *address, int port);
static void accept_connection(int listener, struct connection *list, size_t n);
static bool read_request(struct connection *c);
static void begin_request(struct connection *c);
static bool answer(struct connection *c, FILE *log);
static bool find_field(const char *head, const char *name, char *out,
		       size_t size);
static int run_call(int n, char **args);
static int run_pipeline(char **args);
static void use_connection(struct reader *r, char **args, long long end);
static bool exchange(struct reader *r, char **args, int n);
static int read_status(struct reader *r);
static long long now_ms(void);
static int connect_to(const char *address, int port);
static bool send_all(int fd, const char *data, size_t len);
static bool is_whole(const char *text);
static struct sockaddr_in read_address(const char *address, int port);

/* Share of the answers that the backend server breaks off. */
static int break_percent;
static unsigned int seed;
static unsigned int n_sent;

int main(int argc, char **argv)
{
	if ((argc == 5 || argc == 7) && !strcmp(argv[1], "backend")) {
		seed = argc == 7 ? (unsigned int)atoi(argv[5]) : 0;
		break_percent = argc == 7 ? atoi(argv[6]) : 0;
		return run_backend(argv[2], atoi(argv[3]), argv[4]);
	}
	if (argc >= 6 && !strcmp(argv[1], "call"))
		return run_call(argc - 2, argv + 2);
	if (argc == 8 && !strcmp(argv[1], "pipeline"))
		return run_pipeline(argv + 2);
	fprintf(stderr, "usage: stand_in backend ADDRESS PORT LOG "
			"[SEED PERCENT]\n"
			"       stand_in call ADDRESS PORT METHOD PATH "
			"[FIELD...]\n"
			"       stand_in pipeline ADDRESS PORT NAME HOST "
			"SECONDS SEED\n");
	return 2;
}

static int run_backend(const char *address, int port, const char *log_name)
{
	static struct connection list[MAX_CONNECTIONS];
	int listener = listen_at(address, port);
	FILE *log = fopen(log_name, "a");

	if (listener < 0 || !log)
		return 2;
	for (size_t i = 0; i < MAX_CONNECTIONS; i++)
		list[i].fd = -1;
	for (;;) {
		long long now = now_ms();
		long long next = now + WORK_MS;

		for (size_t i = 0; i < MAX_CONNECTIONS; i++) {
			struct connection *c = &list[i];

			if (c->fd < 0 || !c->head_len)
				continue;
			if (c->due > now) {
				next = c->due < next ? c->due : next;
			} else if (!answer(c, log)) {
				close(c->fd);
				c->fd = -1;
			}
		}
		poll_connections(listener, list, MAX_CONNECTIONS,
				 (int)(next - now));
	}
}

static int poll_connections(int listener, struct connection *list, size_t n,
			    int timeout)
{
	struct pollfd fds[MAX_CONNECTIONS + 1];

	for (size_t i = 0; i < n; i++)
		fds[i] = (struct pollfd){list[i].fd, POLLIN, 0};
	fds[n] = (struct pollfd){listener, POLLIN, 0};
	if (poll(fds, n + 1, timeout) < 0)
		return -1;
	for (size_t i = 0; i < n; i++) {
		if (!fds[i].revents || read_request(&list[i]))
			continue;
		close(list[i].fd);
		list[i].fd = -1;
	}
	if (fds[n].revents)
		accept_connection(listener, list, n);
	return 0;
}

static int listen_at(const char *address, int port)
{
	const struct sockaddr_in at = read_address(address, port);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    bind(fd, (const struct sockaddr *)&at, sizeof(at)) ||
	    listen(fd, MAX_CONNECTIONS))
		return -1;
	return fd;
}

static void accept_connection(int listener, struct connection *list, size_t n)
{
	int fd = accept(listener, NULL, NULL);

	for (size_t i = 0; fd >= 0 && i < n; i++) {
		if (list[i].fd >= 0)
			continue;
		list[i].fd = fd;
		list[i].len = 0;
		list[i].head_len = 0;
		return;
	}
	if (fd >= 0)
		close(fd);
}

/* Requests have no body here.  Returns whether the connection is kept. */
static bool read_request(struct connection *c)
{
	ssize_t n = read(c->fd, c->head + c->len, HEAD_BYTES - c->len);

	if (n <= 0)
		return false;
	c->len += (size_t)n;
	c->head[c->len] = '\0';
	begin_request(c);
	return c->len < HEAD_BYTES;
}

static void begin_request(struct connection *c)
{
	char *end = strstr(c->head, "\r\n\r\n");

	if (c->head_len || !end)
		return;
	c->head_len = (size_t)(end - c->head) + 4;
	c->due = now_ms() + WORK_MS;
}

/* Returns whether the connection is kept. */
static bool answer(struct connection *c, FILE *log)
{
	static char out[HEAD_BYTES + LONG_BYTES];
	char *target = strchr(c->head, ' ');
	char *end = target ? strchr(target + 1, ' ') : NULL;
	bool is_long = end && end - target > 5 && !strncmp(end - 5, "/long", 5);
	bool breaks = now_ms() % PERIOD_MS < BREAK_MS &&
		      rand_r(&seed) % 100 < break_percent;
	int body = is_long ? LONG_BYTES : SHORT_BYTES;
	char id[ID_BYTES] = "";
	int len;

	fputs(breaks ? "broken " : "whole ", log);
	for (size_t i = 0; i + 4 < c->head_len; i++)
		if (c->head[i] != '\r')
			fputc(c->head[i] == '\n' ? '|' : c->head[i], log);
	fputc('\n', log);
	fflush(log);
	find_field(c->head, PN_ATTEMPT_ID, id, sizeof(id));
	len = snprintf(out, sizeof(out),
		       "HTTP/1.1 200 OK\r\n" PN_ATTEMPT_ID
		       ": %s\r\n" PN_RESPONSE_STAMP
		       ": s-%s\r\nContent-Length: %d\r\n\r\n%0*d",
		       id, id, body, body, 0);
	memmove(c->head, c->head + c->head_len, c->len - c->head_len + 1);
	c->len -= c->head_len;
	c->head_len = 0;
	if (breaks) {
		send_all(c->fd, out, (size_t)(len - body / 3));
		return false;
	}
	begin_request(c);
	return send_all(c->fd, out, (size_t)len);
}

static bool find_field(const char *head, const char *name, char *out,
		       size_t size)
{
	const char *line = strstr(head, "\r\n");
	size_t len = strlen(name);

	while (line && strncmp(line, "\r\n\r\n", 4) != 0) {
		line += 2;
		if (!strncasecmp(line, name, len) && line[len] == ':') {
			line += len + 1;
			line += strspn(line, " ");
			snprintf(out, size, "%.*s", (int)strcspn(line, "\r"),
				 line);
			return true;
		}
		line = strstr(line, "\r\n");
	}
	return false;
}

static int run_call(int n, char **args)
{
	static char body[BODY_BYTES + 1];
	static char text[BODY_BYTES + HEAD_BYTES + 1];
	char head[HEAD_BYTES];
	bool post = !strcmp(args[2], "POST");
	size_t body_len = post ? fread(body, 1, BODY_BYTES, stdin) : 0;
	int fd = connect_to(args[0], atoi(args[1]));
	size_t got = 0;
	ssize_t part;
	int len;

	len = snprintf(head, sizeof(head), "%s %s HTTP/1.1\r\n", args[2],
		       args[3]);
	for (int i = 4; i < n; i++)
		len += snprintf(head + len, sizeof(head) - (size_t)len,
				"%s\r\n", args[i]);
	if (post)
		len += snprintf(head + len, sizeof(head) - (size_t)len,
				"Content-Length: %zu\r\n", body_len);
	len += snprintf(head + len, sizeof(head) - (size_t)len, "\r\n");
	if (fd >= 0 && send_all(fd, head, (size_t)len) &&
	    send_all(fd, body, body_len)) {
		while (!is_whole(text) &&
		       (part = read(fd, text + got, sizeof(text) - 1 - got)) >
			       0)
			got += (size_t)part;
	}
	if (fd >= 0)
		close(fd);
	if (!is_whole(text)) {
		printf("none %s\n", text);
		return 1;
	}
	printf("%.3s %s\n", text + strlen("HTTP/1.1 "),
	       strstr(text, "\r\n\r\n") + 4);
	return 0;
}

static int run_pipeline(char **args)
{
	static struct reader r;
	long long end = now_ms() + 1000LL * atoi(args[4]);

	seed = (unsigned int)atoi(args[5]);
	while (now_ms() < end) {
		r.len = 0;
		r.fd = connect_to(args[0], atoi(args[1]));
		if (r.fd >= 0) {
			use_connection(&r, args, end);
			close(r.fd);
		}
		usleep(BATCH_PAUSE_MS * 1000);
	}
	return 0;
}

static void use_connection(struct reader *r, char **args, long long end)
{
	bool goes_on = exchange(r, args, 1);

	for (int i = 0; goes_on && i < BATCHES && now_ms() < end; i++) {
		usleep(BATCH_PAUSE_MS * 1000);
		goes_on = exchange(r, args, BATCH);
	}
}

/* Sends @n requests at once.  Returns whether the connection is kept. */
static bool exchange(struct reader *r, char **args, int n)
{
	char out[BATCH * 512];
	unsigned int first = n_sent;
	bool goes_on;
	int len = 0;

	for (int i = 0; i < n; i++)
		len += snprintf(
			out + len, sizeof(out) - (size_t)len,
			"GET /list/%u%s HTTP/1.1\r\nHost: %s\r\n" PN_ATTEMPT_ID
			": %s-%u\r\n" PN_DEADLINE ": %d\r\n\r\n",
			first + (unsigned int)i,
			n > 1 && !(rand_r(&seed) % LONG_EVERY) ? "/long" : "",
			args[3], args[2], first + (unsigned int)i, DEADLINE_MS);
	n_sent += (unsigned int)n;
	goes_on = send_all(r->fd, out, (size_t)len);
	for (int i = 0; i < n; i++) {
		int status = goes_on ? read_status(r) : 0;

		goes_on = status;
		if (status)
			printf("%s-%u %d\n", args[2], first + (unsigned int)i,
			       status);
		else
			printf("%s-%u unanswered\n", args[2],
			       first + (unsigned int)i);
	}
	fflush(stdout);
	return goes_on;
}

/* Returns the status of the next answer, or 0 if the connection ended before. */
static int read_status(struct reader *r)
{
	for (;;) {
		char *end;
		char length[ID_BYTES] = "";
		ssize_t n;

		r->text[r->len] = '\0';
		end = strstr(r->text, "\r\n\r\n");
		if (end) {
			size_t all = (size_t)(end - r->text) + 4;

			find_field(r->text, "Content-Length", length,
				   sizeof(length));
			all += strtoul(length, NULL, 10);
			if (r->len >= all) {
				int status = atoi(r->text + 9);

				r->len -= all;
				memmove(r->text, r->text + all, r->len);
				return status;
			}
		}
		n = read(r->fd, r->text + r->len, sizeof(r->text) - 1 - r->len);
		if (n <= 0)
			return 0;
		r->len += (size_t)n;
	}
}

static int connect_to(const char *address, int port)
{
	const struct sockaddr_in to = read_address(address, port);
	const struct timeval limit = {.tv_sec = CALL_TIMEOUT_S};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	if (setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit)) ||
	    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit)) ||
	    connect(fd, (const struct sockaddr *)&to, sizeof(to))) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* Whether @text is an answer with all of the body whose length it states. */
static bool is_whole(const char *text)
{
	const char *end = strstr(text, "\r\n\r\n");
	char length[ID_BYTES] = "";

	if (!end || strncmp(text, "HTTP/1.1 ", strlen("HTTP/1.1 ")) != 0 ||
	    !find_field(text, "Content-Length", length, sizeof(length)))
		return false;
	return strlen(end + 4) >= strtoul(length, NULL, 10);
}

static long long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static struct sockaddr_in read_address(const char *address, int port)
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};

	if (inet_pton(AF_INET, address, &a.sin_addr) != 1)
		exit(2);
	return a;
}
