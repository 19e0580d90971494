#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_atomic.h"
#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_result.h"

enum { EVENTS_PER_ITERATION = 256 };

struct post {
	struct ba_list link;
	void (*fn)(void *arg);
	void *arg;
};

/*
 * The batch of epoll events is a member, so that ba_loop_unwatch() can also
 * remove the pending events of a descriptor from the batch being dispatched.
 */
struct ba_loop {
	int epoll_fd;
	struct ba_watch wake;
	struct ba_watch signals;
	void (*signal_fn)(int signo, void *arg);
	void *signal_arg;
	struct epoll_event batch[EVENTS_PER_ITERATION];
	int n_batch;
	struct ba_timer **heap;
	unsigned int n_heap;
	unsigned int heap_alloc;
	pthread_mutex_t lock; /* guards posts; a leaf lock */
	struct ba_list posts;
	int stopping;
	ba_time now;
};

static void run_iteration(struct ba_loop *loop);
static int wait_ms(const struct ba_loop *loop);
static void dispatch(struct ba_loop *loop);
static void fire_timers(struct ba_loop *loop);
static void run_posts(struct ba_loop *loop);
static void wake_up(struct ba_loop *loop);
static void on_wake(struct ba_watch *w, unsigned int bits);
static void on_signal(struct ba_watch *w, unsigned int bits);
static void heap_set(struct ba_loop *loop, unsigned int i, struct ba_timer *t);
static void heap_up(struct ba_loop *loop, unsigned int i);
static void heap_down(struct ba_loop *loop, unsigned int i);

struct ba_loop *ba_loop_new(void)
{
	struct ba_loop *loop = g_new0(struct ba_loop, 1);

	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->wake.fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	loop->wake.ready = on_wake;
	loop->signals.fd = -1;
	pthread_mutex_init(&loop->lock, NULL);
	ba_list_init(&loop->posts);
	loop->now = ba_clock_now();
	if (loop->epoll_fd < 0 || loop->wake.fd < 0 ||
	    ba_loop_watch(loop, &loop->wake, BA_READABLE)) {
		ba_loop_free(loop);
		return NULL;
	}
	return loop;
}

void ba_loop_free(struct ba_loop *loop)
{
	if (!loop)
		return;
	run_posts(loop);
	if (loop->epoll_fd >= 0)
		close(loop->epoll_fd);
	if (loop->wake.fd >= 0)
		close(loop->wake.fd);
	if (loop->signals.fd >= 0)
		close(loop->signals.fd);
	pthread_mutex_destroy(&loop->lock);
	g_free(loop->heap);
	g_free(loop);
}

void ba_loop_run(struct ba_loop *loop)
{
	while (!ba_load_int(&loop->stopping))
		run_iteration(loop);
	ba_store_int(&loop->stopping, 0);
}

void ba_loop_stop(struct ba_loop *loop)
{
	ba_store_int(&loop->stopping, 1);
	wake_up(loop);
}

ba_time ba_loop_now(const struct ba_loop *loop)
{
	return loop->now;
}

int ba_loop_watch(struct ba_loop *loop, struct ba_watch *w, unsigned int bits)
{
	struct epoll_event ev = {.data.ptr = w};

	if (bits & BA_READABLE)
		ev.events |= EPOLLIN;
	if (bits & BA_WRITABLE)
		ev.events |= EPOLLOUT;
	if (bits & BA_ENDED)
		ev.events |= EPOLLRDHUP;
	if (!epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, w->fd, &ev))
		return BA_OK;
	if (errno != ENOENT ||
	    epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, w->fd, &ev))
		return BA_INTERNAL;
	return BA_OK;
}

void ba_loop_unwatch(struct ba_loop *loop, struct ba_watch *w)
{
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, w->fd, NULL);
	for (int i = 0; i < loop->n_batch; i++)
		if (loop->batch[i].data.ptr == w)
			loop->batch[i].data.ptr = NULL;
}

void ba_loop_arm(struct ba_loop *loop, struct ba_timer *t, ba_time deadline)
{
	ba_loop_disarm(loop, t);
	if (deadline == BA_NEVER)
		return;
	if (loop->n_heap == loop->heap_alloc) {
		loop->heap_alloc = loop->heap_alloc ? loop->heap_alloc * 2 : 64;
		loop->heap = g_renew(struct ba_timer *, loop->heap,
				     loop->heap_alloc);
	}
	t->deadline = deadline;
	heap_set(loop, loop->n_heap++, t);
	heap_up(loop, loop->n_heap - 1);
}

void ba_loop_disarm(struct ba_loop *loop, struct ba_timer *t)
{
	unsigned int i;

	if (!t->slot)
		return;
	i = t->slot - 1;
	t->slot = 0;
	loop->n_heap--;
	if (i == loop->n_heap)
		return;
	heap_set(loop, i, loop->heap[loop->n_heap]);
	heap_up(loop, i);
	heap_down(loop, i);
}

void ba_loop_post(struct ba_loop *loop, void (*fn)(void *arg), void *arg)
{
	struct post *p = g_new(struct post, 1);
	bool first;

	p->fn = fn;
	p->arg = arg;
	pthread_mutex_lock(&loop->lock);
	first = ba_list_empty(&loop->posts);
	ba_list_append(&loop->posts, &p->link);
	pthread_mutex_unlock(&loop->lock);
	if (first)
		wake_up(loop);
}

int ba_loop_signals(struct ba_loop *loop, void (*fn)(int signo, void *arg),
		    void *arg)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	loop->signal_fn = fn;
	loop->signal_arg = arg;
	loop->signals.fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
	loop->signals.ready = on_signal;
	if (loop->signals.fd < 0)
		return BA_INTERNAL;
	return ba_loop_watch(loop, &loop->signals, BA_READABLE);
}

static void run_iteration(struct ba_loop *loop)
{
	int n = epoll_wait(loop->epoll_fd, loop->batch, EVENTS_PER_ITERATION,
			   wait_ms(loop));

	loop->n_batch = n > 0 ? n : 0;
	loop->now = ba_clock_now();
	dispatch(loop);
	run_posts(loop);
	fire_timers(loop);
}

static int wait_ms(const struct ba_loop *loop)
{
	ba_time left;

	if (!loop->n_heap)
		return -1;
	left = loop->heap[0]->deadline - ba_clock_now();
	if (left <= 0)
		return 0;
	if (left > BA_HOUR)
		left = BA_HOUR;
	return (int)((left + BA_MS - 1) / BA_MS);
}

static void dispatch(struct ba_loop *loop)
{
	for (int i = 0; i < loop->n_batch; i++) {
		struct ba_watch *w = loop->batch[i].data.ptr;
		uint32_t ev = loop->batch[i].events;
		unsigned int bits = 0;

		if (!w)
			continue;
		if (ev & EPOLLIN)
			bits |= BA_READABLE;
		if (ev & EPOLLOUT)
			bits |= BA_WRITABLE;
		if (ev & (EPOLLHUP | EPOLLERR))
			bits |= BA_HANGUP;
		if (ev & EPOLLRDHUP)
			bits |= BA_ENDED;
		w->ready(w, bits);
	}
	loop->n_batch = 0;
}

static void fire_timers(struct ba_loop *loop)
{
	while (loop->n_heap && loop->heap[0]->deadline <= loop->now) {
		struct ba_timer *t = loop->heap[0];

		ba_loop_disarm(loop, t);
		t->fire(t, loop->now);
	}
}

static void run_posts(struct ba_loop *loop)
{
	struct ba_list todo;
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_init(&todo);
	pthread_mutex_lock(&loop->lock);
	ba_list_each_safe(pos, tmp, &loop->posts)
	{
		ba_list_remove(pos);
		ba_list_append(&todo, pos);
	}
	pthread_mutex_unlock(&loop->lock);
	ba_list_each_safe(pos, tmp, &todo)
	{
		struct post *p = ba_entry(pos, struct post, link);

		ba_list_remove(pos);
		p->fn(p->arg);
		g_free(p);
	}
}

static void wake_up(struct ba_loop *loop)
{
	uint64_t one = 1;

	if (write(loop->wake.fd, &one, sizeof(one)) < 0)
		return; /* the counter is full: a wake-up is already pending */
}

static void on_wake(struct ba_watch *w, unsigned int bits)
{
	uint64_t n;

	(void)bits;
	if (read(w->fd, &n, sizeof(n)) < 0)
		return;
}

static void on_signal(struct ba_watch *w, unsigned int bits)
{
	struct ba_loop *loop = ba_entry(w, struct ba_loop, signals);
	struct signalfd_siginfo info;

	(void)bits;
	while (read(w->fd, &info, sizeof(info)) == sizeof(info))
		loop->signal_fn((int)info.ssi_signo, loop->signal_arg);
}

static void heap_set(struct ba_loop *loop, unsigned int i, struct ba_timer *t)
{
	loop->heap[i] = t;
	t->slot = i + 1;
}

static void heap_up(struct ba_loop *loop, unsigned int i)
{
	struct ba_timer *t = loop->heap[i];

	while (i) {
		unsigned int parent = (i - 1) / 2;

		if (loop->heap[parent]->deadline <= t->deadline)
			break;
		heap_set(loop, i, loop->heap[parent]);
		i = parent;
	}
	heap_set(loop, i, t);
}

static void heap_down(struct ba_loop *loop, unsigned int i)
{
	struct ba_timer *t = loop->heap[i];

	for (;;) {
		unsigned int child = 2 * i + 1;

		if (child >= loop->n_heap)
			break;
		if (child + 1 < loop->n_heap &&
		    loop->heap[child + 1]->deadline <
			    loop->heap[child]->deadline)
			child++;
		if (t->deadline <= loop->heap[child]->deadline)
			break;
		heap_set(loop, i, loop->heap[child]);
		i = child;
	}
	heap_set(loop, i, t);
}
