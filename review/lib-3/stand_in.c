/*
 * Stand-ins for the scripts of this review:
 *
 *   stand_in backend ADDRESS PORT LOG
 *	Answers each request with 200, its id, a receipt and a body that names
 *	the request.  Appends the head of each request to LOG as one line, its
 *	fields separated by "|".
 *   stand_in call ADDRESS PORT METHOD PATH [FIELD...]
 *	Sends one request, with what is read from standard input as its body if
 *	METHOD is POST.  Writes the status and the body, or "none" if no whole
 *	answer came within the time limit, and the body that came.
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
#include <unistd.h>

#include "test/platform_names.h"

enum {
	HEAD_BYTES = 16 * 1024,
	BODY_BYTES = 1024 * 1024,
	ID_BYTES = 128,
	MAX_CONNECTIONS = 256,
	CALL_TIMEOUT_S = 3, /* more than a caller of the scripts waits */
};

/* A connection to the backend server, and what has come of its next request. */
struct connection {
	int fd;
	size_t len;
	char head[HEAD_BYTES + 1];
};

static int run_backend(const char *address, int port, const char *log_name);
static int listen_at(const char *address, int port);
static void accept_connection(int listener, struct connection *list, size_t n);
static bool read_request(struct connection *c, FILE *log);
static void answer(const struct connection *c, size_t head_len, FILE *log);
static bool find_field(const char *head, const char *name, char *out,
		       size_t size);
static int run_call(int n, char **args);
static int connect_to(const char *address, int port);
static bool send_all(int fd, const char *data, size_t len);
static bool is_whole(const char *text);
static struct sockaddr_in read_address(const char *address, int port);

int main(int argc, char **argv)
{
	if (argc == 5 && !strcmp(argv[1], "backend"))
		return run_backend(argv[2], atoi(argv[3]), argv[4]);
	if (argc >= 6 && !strcmp(argv[1], "call"))
		return run_call(argc - 2, argv + 2);
	fprintf(stderr, "usage: stand_in backend ADDRESS PORT LOG\n"
			"       stand_in call ADDRESS PORT METHOD PATH "
			"[FIELD...]\n");
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
		struct pollfd fds[MAX_CONNECTIONS + 1];

		for (size_t i = 0; i < MAX_CONNECTIONS; i++)
			fds[i] = (struct pollfd){list[i].fd, POLLIN, 0};
		fds[MAX_CONNECTIONS] = (struct pollfd){listener, POLLIN, 0};
		if (poll(fds, MAX_CONNECTIONS + 1, -1) < 0)
			continue;
		for (size_t i = 0; i < MAX_CONNECTIONS; i++) {
			if (!fds[i].revents || read_request(&list[i], log))
				continue;
			close(list[i].fd);
			list[i].fd = -1;
		}
		if (fds[MAX_CONNECTIONS].revents)
			accept_connection(listener, list, MAX_CONNECTIONS);
	}
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
		return;
	}
	if (fd >= 0)
		close(fd);
}

/* Requests have no body here.  Returns whether the connection is kept. */
static bool read_request(struct connection *c, FILE *log)
{
	ssize_t n = read(c->fd, c->head + c->len, HEAD_BYTES - c->len);
	char *end;

	if (n <= 0)
		return false;
	c->len += (size_t)n;
	c->head[c->len] = '\0';
	while ((end = strstr(c->head, "\r\n\r\n"))) {
		size_t head_len = (size_t)(end - c->head) + 4;

		answer(c, head_len, log);
		memmove(c->head, c->head + head_len, c->len - head_len + 1);
		c->len -= head_len;
	}
	return c->len < HEAD_BYTES;
}

static void answer(const struct connection *c, size_t head_len, FILE *log)
{
	char out[HEAD_BYTES];
	char id[ID_BYTES] = "";
	int len;

	for (size_t i = 0; i + 4 < head_len; i++)
		if (c->head[i] != '\r')
			fputc(c->head[i] == '\n' ? '|' : c->head[i], log);
	fputc('\n', log);
	fflush(log);
	find_field(c->head, PN_ATTEMPT_ID, id, sizeof(id));
	len = snprintf(out, sizeof(out),
		       "HTTP/1.1 200 OK\r\n" PN_ATTEMPT_ID
		       ": %s\r\n" PN_RESPONSE_STAMP
		       ": s-%s\r\nContent-Length: %zu\r\n\r\n%s",
		       id, id, strlen(id), id);
	send_all(c->fd, out, (size_t)len);
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
