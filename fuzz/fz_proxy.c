/*
 * What reaches a proxy: the first byte chooses whether a caller, another proxy,
 * or the platform sends the rest.  Its backend server has announced itself, and
 * nobody listens at its address.
 */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ba_loop.h"
#include "base/ba_result.h"
#include "config/cf.h"
#include "fuzz/fz.h"
#include "platform/pf.h"
#include "proxy/px.h"

enum { ROUNDS = 60, SENDERS = 4 };

static const char configuration[] =
	"[[services]]\nname = \"stock\"\ntimeout = \"50ms\"\n"
	"[[routes]]\nname = \"look\"\npath = \"/look\"\nservice = \"stock\"\n"
	"idempotent = true\n";

/* The fields that every request of another proxy has. */
static const char peer_fields[] = "GET /look HTTP/1.1\r\nHost: x\r\n"
				  "caraway-service: stock\r\n"
				  "caraway-caller: x\r\n"
				  "caraway-time-left-us: 20000\r\n";

static struct ba_loop *loop;
static struct px *proxy;
static struct px_options options;

static void on_backend_changed(struct px_owner *o, const struct px_heartbeat *b,
			       const struct ep_lifetime *l, bool renewed)
{
	(void)o;
	(void)b;
	(void)l;
	(void)renewed;
}

static void on_marks_changed(struct px_owner *o, const struct ep_mark *marks,
			     size_t n)
{
	(void)o;
	(void)marks;
	(void)n;
}

static void on_version_heard(struct px_owner *o, uint64_t version)
{
	(void)o;
	fz_require(version > 0, "no version is 0");
}

static bool is_current(struct px_owner *o)
{
	(void)o;
	return true;
}

static struct px_owner owner = {
	.backend_changed = on_backend_changed,
	.marks_changed = on_marks_changed,
	.version_heard = on_version_heard,
	.is_current = is_current,
};

static struct ba_address address(int port)
{
	struct ba_address a;
	char text[32];

	snprintf(text, sizeof(text), "127.0.99.1:%d", port);
	fz_require(!ba_parse_address(text, &a), "the address is right");
	return a;
}

static void start(void)
{
	struct cf_snapshot *none = cf_snapshot_empty();
	struct ba_problems problems = {0};
	const struct ba_address *failed;
	struct cf_snapshot *s = NULL;

	signal(SIGPIPE, SIG_IGN); /* as ba_loop_signals() does */
	loop = ba_loop_new();
	options.caller_address = address(24801);
	options.peer_address = address(24802);
	options.ready_address = address(24803);
	options.registration_address = address(24804);
	options.backend_address = address(24805);
	options.instance = "p1";
	options.data_centre = "d";
	options.region = "r";
	options.service = "stock";
	options.dialect = &pf_proxy;
	options.seed = 1;
	fz_require(!px_new(loop, &options, &owner, &failed, &proxy),
		   "the proxy starts");
	cf_parse_configuration(configuration, sizeof(configuration) - 1, none,
			       1, &s, &problems);
	fz_require(!!s, "the configuration is right");
	px_configure(proxy, s);
	cf_snapshot_unref(s);
	cf_snapshot_unref(none);
	ba_problems_free(&problems);
}

/* One iteration of the loop, which waits for nothing. */
static void step(void)
{
	ba_loop_post(loop, (void (*)(void *))ba_loop_stop, loop);
	ba_loop_run(loop);
}

static void send_bytes(int fd, const void *data, size_t len)
{
	/* A sender whose connection was closed has nothing more to say. */
	if (send(fd, data, len, MSG_NOSIGNAL) < 0)
		return;
	step();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const struct ba_address *to[SENDERS] = {
		&options.caller_address, &options.peer_address,
		&options.ready_address, &options.registration_address};
	static const char end[] = "\r\n\r\n";
	int sender;
	int fd;

	if (!loop)
		start();
	if (!len)
		return 0;
	sender = data[0] % SENDERS;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0 ||
	    connect(fd, (const struct sockaddr *)&to[sender]->sockaddr,
		    to[sender]->len))
		abort();
	if (to[sender] == &options.peer_address)
		send_bytes(fd, peer_fields, sizeof(peer_fields) - 1);
	send_bytes(fd, data + 1, len - 1);
	send_bytes(fd, end, sizeof(end) - 1);
	for (int i = 0; i < 4; i++)
		step();
	close(fd);
	for (int i = 0; i < ROUNDS && px_count_in_progress(proxy); i++) {
		step();
		usleep(1000);
	}
	fz_require(!px_count_in_progress(proxy),
		   "a request of a caller that has left has ended");
	step();
	return 0;
}
