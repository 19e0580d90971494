#include <math.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <fcntl.h>
#include <unistd.h>

#include "bench/soak.h"

#define CALL_TIMEOUT BA_SECOND

static void on_head(struct ht_conn_owner *o, struct ht_conn *conn);
static void on_complete(struct ht_conn_owner *o, struct ht_conn *conn);
static void on_ended(struct ht_conn_owner *o, struct ht_conn *conn,
		     enum ht_end why);
static void run_program(const struct soak_process *p);

void soak_call_send(struct ba_loop *loop, struct soak_call *c,
		    const struct ba_address *to, const char *head,
		    const char *body)
{
	c->loop = loop;
	c->sent_at = ba_loop_now(loop);
	c->owner.head = on_head;
	c->owner.complete = on_complete;
	c->owner.ended = on_ended;
	c->conn = ht_conn_dial(loop, to, SOAK_HEAD_LIMIT_BYTES, &c->owner);
	ht_conn_set_deadline(c->conn, ba_loop_now(loop) + CALL_TIMEOUT);
	ba_buf_addf(ht_conn_out(c->conn),
		    "%sHost: %s\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n%s",
		    head, to->text, strlen(body), body);
	ht_conn_flush(c->conn);
}

static void on_head(struct ht_conn_owner *o, struct ht_conn *conn)
{
	struct soak_call *c = ba_entry(o, struct soak_call, owner);
	const char *at = ht_head_get(ht_conn_head(conn), "Location");

	if (at && g_str_has_prefix(at, "http://")) {
		at += strlen("http://");
		g_strlcpy(c->location, at,
			  MIN(sizeof(c->location), strcspn(at, "/") + 1));
	}
}

static void on_complete(struct ht_conn_owner *o, struct ht_conn *conn)
{
	struct soak_call *c = ba_entry(o, struct soak_call, owner);

	c->status = ht_conn_head(conn)->status;
	ht_conn_abort(conn);
	c->done(c);
}

static void on_ended(struct ht_conn_owner *o, struct ht_conn *conn,
		     enum ht_end why)
{
	struct soak_call *c = ba_entry(o, struct soak_call, owner);

	if (ht_conn_has_sent(conn) &&
	    (why == HT_END_CLOSED || why == HT_END_RESET)) {
		c->cut = ba_loop_now(c->loop) - c->sent_at > SOAK_LOSS_SLACK;
		c->crossed = !c->cut;
	}
	c->done(c);
}

void soak_process_start(struct soak_process *p)
{
	p->restart_at = 0;
	p->stopping = false;
	p->frozen = false;
	p->disturbed_at = ba_clock_now();
	p->pid = fork();
	if (!p->pid)
		run_program(p);
}

static void run_program(const struct soak_process *p)
{
	int fd = open(p->output, O_WRONLY | O_CREAT | O_APPEND, 0644);
	struct rlimit limit;
	sigset_t none;

	if (p->descriptors && !getrlimit(RLIMIT_NOFILE, &limit)) {
		limit.rlim_cur = (rlim_t)p->descriptors;
		limit.rlim_max = limit.rlim_cur;
		setrlimit(RLIMIT_NOFILE, &limit);
	}
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	signal(SIGPIPE, SIG_DFL);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		close(fd);
	}
	execl(p->program, p->program, "--settings", p->settings, (char *)NULL);
	_exit(127);
}

bool soak_process_poll(struct soak_process *p)
{
	if (p->pid <= 0 || waitpid(p->pid, NULL, WNOHANG) != p->pid)
		return false;
	p->pid = 0;
	p->stopping = false;
	return true;
}

ba_time soak_exponential(struct ba_rand *r, double per_second)
{
	double u = (double)(ba_rand_below(r, 1 << 20) + 1) / (1 << 20);

	return (ba_time)(-log(u) / per_second * (double)BA_SECOND);
}

void soak_log(struct soak *s, const char *fmt, ...)
{
	va_list args;

	fprintf(stderr, "%8.3f ",
		(double)(ba_clock_now() - s->started_at) / (double)BA_SECOND);
	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fputc('\n', stderr);
}
