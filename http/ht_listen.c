#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_result.h"
#include "base/ba_socket.h"
#include "http/ht_conn.h"

enum {
	BACKLOG = 512,
	ACCEPTS_PER_ITERATION = 64,
};

/* Without descriptors, until one may have become free. */
#define ACCEPT_PAUSE (100 * BA_MS)

struct ht_listener {
	struct ba_watch watch;
	struct ba_timer resume;
	struct ba_loop *loop;
	struct ht_acceptor *acceptor;
};

static void on_incoming(struct ba_watch *w, unsigned int bits);
static void on_resume(struct ba_timer *t, ba_time now);

int ht_listen(struct ba_loop *loop, const struct ba_address *at,
	      struct ht_acceptor *a, struct ht_listener **out)
{
	int fd = ba_socket_listen(at, BACKLOG);
	struct ht_listener *l;

	if (fd < 0)
		return BA_PORT_IN_USE;
	l = g_new0(struct ht_listener, 1);
	l->watch.fd = fd;
	l->watch.ready = on_incoming;
	l->resume.fire = on_resume;
	l->loop = loop;
	l->acceptor = a;
	ba_loop_watch(loop, &l->watch, BA_READABLE);
	*out = l;
	return BA_OK;
}

void ht_listener_close(struct ht_listener *l)
{
	if (!l)
		return;
	ba_loop_disarm(l->loop, &l->resume);
	ba_loop_unwatch(l->loop, &l->watch);
	close(l->watch.fd);
	g_free(l);
}

static void on_incoming(struct ba_watch *w, unsigned int bits)
{
	struct ht_listener *l = ba_entry(w, struct ht_listener, watch);

	(void)bits;
	for (int i = 0; i < ACCEPTS_PER_ITERATION; i++) {
		int fd = accept4(w->fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			if (errno == EMFILE || errno == ENFILE ||
			    errno == ENOBUFS || errno == ENOMEM) {
				ba_loop_unwatch(l->loop, w);
				ba_loop_arm(l->loop, &l->resume,
					    ba_loop_now(l->loop) +
						    ACCEPT_PAUSE);
			}
			return;
		}
		l->acceptor->accept(l->acceptor, fd);
	}
}

static void on_resume(struct ba_timer *t, ba_time now)
{
	struct ht_listener *l = ba_entry(t, struct ht_listener, resume);

	(void)now;
	ba_loop_watch(l->loop, &l->watch, BA_READABLE);
}
