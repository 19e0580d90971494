#define G_LOG_DOMAIN "carawaybend"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_atomic.h"
#include "base/ba_buf.h"
#include "base/ba_clock.h"
#include "base/ba_event.h"
#include "base/ba_result.h"

enum {
	QUEUE_LIMIT_BYTES = 4 * 1024 * 1024,
	DETAIL_BYTES = 1024,
	LINE_BYTES = 1400,
	CALENDAR_BYTES = 24,
	TIMESTAMP_BYTES = 40,
	POLL_INTERVAL_NS = 5000000,
	FLUSH_INTERVAL_NS = 1000000,
	IDLE_POLLS_LIMIT = 40,
};

#define STANDARD_OUTPUT "-"

static const GLogLevelFlags glib_levels[] = {
	[BA_DEBUG] = G_LOG_LEVEL_DEBUG,	   [BA_INFO] = G_LOG_LEVEL_INFO,
	[BA_NOTICE] = G_LOG_LEVEL_MESSAGE, [BA_WARNING] = G_LOG_LEVEL_WARNING,
	[BA_ERROR] = G_LOG_LEVEL_CRITICAL,
};

/*
 * State of the log.  @lock is a leaf lock: it may be taken while any other lock
 * is held, and no lock is taken while it is held.
 */
static struct {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	pthread_t thread;
	struct ba_buf queue;
	uint64_t dropped;
	char *program;
	char *path;
	int fd;
	int min_severity;
	bool running;
	bool stopping;
	bool reopen_requested;
	bool asleep;
	bool writing;
} logger = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.wake = PTHREAD_COND_INITIALIZER,
	.fd = STDERR_FILENO,
	.min_severity = BA_NOTICE,
};

static pthread_once_t writer_once = PTHREAD_ONCE_INIT;

static GLogWriterOutput write_fields(GLogLevelFlags level,
				     const GLogField *fields, gsize n_fields,
				     gpointer data);
static const char *field_value(const GLogField *fields, gsize n,
			       const char *key);
static void set_writer(void);
static void start_thread(void);
static void format_timestamp(char *out, size_t size);
static void enqueue(const char *line, size_t len);
static void *write_lines(void *arg);
static void wait_for_lines(int *idle_polls);
static void sleep_unlocked(void);
static uint64_t swap_queue(struct ba_buf *out);
static void write_all(int fd, const uint8_t *data, size_t len);
static void close_file(void);
static int open_file(const char *path);
static void handle_reopen(void);
static void report_dropped(uint64_t dropped);

bool ba_event_enabled(enum ba_event_id id)
{
	const struct ba_event_info *info = ba_event_info(id);

	return info && (int)info->severity >= ba_load_int(&logger.min_severity);
}

void ba_event(enum ba_event_id id, const char *fmt, ...)
{
	const struct ba_event_info *info = ba_event_info(id);
	char detail[DETAIL_BYTES];
	char number[16];
	va_list ap;
	GLogField fields[4];

	if (!ba_event_enabled(id))
		return;
	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	snprintf(number, sizeof(number), "%d", (int)id);
	fields[0] = (GLogField){"CARAWAY_EVENT", number, -1};
	fields[1] = (GLogField){"CARAWAY_NAME", info->name, -1};
	fields[2] = (GLogField){"MESSAGE", detail, -1};
	fields[3] = (GLogField){"GLIB_DOMAIN", G_LOG_DOMAIN, -1};
	g_log_structured_array(glib_levels[info->severity], fields, 4);
}

int ba_event_open(const char *program, const char *path,
		  enum ba_severity min_severity)
{
	int fd = path ? open_file(path) : STDERR_FILENO;

	if (fd < 0)
		return BA_FILE_UNREADABLE;
	pthread_mutex_lock(&logger.lock);
	logger.program = g_strdup(program);
	logger.path = g_strdup(path);
	logger.fd = fd;
	ba_store_int(&logger.min_severity, (int)min_severity);
	logger.stopping = false;
	logger.running = true;
	pthread_mutex_unlock(&logger.lock);
	pthread_once(&writer_once, set_writer);
	start_thread();
	return BA_OK;
}

void ba_event_reopen(void)
{
	pthread_mutex_lock(&logger.lock);
	logger.reopen_requested = true;
	pthread_cond_signal(&logger.wake);
	pthread_mutex_unlock(&logger.lock);
}

void ba_event_flush(ba_time timeout)
{
	static const struct timespec interval = {0, FLUSH_INTERVAL_NS};
	ba_time deadline = ba_clock_now() + timeout;
	bool left = true;

	while (left && ba_clock_now() < deadline) {
		pthread_mutex_lock(&logger.lock);
		left = logger.running && (logger.queue.len || logger.writing);
		pthread_mutex_unlock(&logger.lock);
		if (left)
			nanosleep(&interval, NULL);
	}
}

void ba_event_close(void)
{
	pthread_mutex_lock(&logger.lock);
	if (!logger.running) {
		pthread_mutex_unlock(&logger.lock);
		return;
	}
	logger.stopping = true;
	pthread_cond_signal(&logger.wake);
	pthread_mutex_unlock(&logger.lock);
	pthread_join(logger.thread, NULL);
	pthread_mutex_lock(&logger.lock);
	logger.running = false;
	write_all(logger.fd, logger.queue.data, logger.queue.len);
	ba_buf_free(&logger.queue);
	pthread_mutex_unlock(&logger.lock);
	close_file();
	logger.fd = STDERR_FILENO;
	g_clear_pointer(&logger.program, g_free);
	g_clear_pointer(&logger.path, g_free);
}

/* The log thread blocks all signals; another thread handles them. */
static void start_thread(void)
{
	sigset_t all;
	sigset_t before;

	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before);
	pthread_create(&logger.thread, NULL, write_lines, NULL);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
}

/* GLib allows the log writer to be set only once per process. */
static void set_writer(void)
{
	g_log_set_writer_func(write_fields, NULL, NULL);
}

/* Writes both the messages of GLib itself and the events of ba_event(). */
static GLogWriterOutput write_fields(GLogLevelFlags level,
				     const GLogField *fields, gsize n_fields,
				     gpointer data)
{
	const char *number = field_value(fields, n_fields, "CARAWAY_EVENT");
	const char *name = field_value(fields, n_fields, "CARAWAY_NAME");
	const char *text = field_value(fields, n_fields, "MESSAGE");
	char timestamp[TIMESTAMP_BYTES];
	char line[LINE_BYTES];
	int len;

	(void)data;
	format_timestamp(timestamp, sizeof(timestamp));
	len = snprintf(
		line, sizeof(line), "%s %s %s %s %s\n", timestamp,
		logger.program ? logger.program : "-", number ? number : "0",
		name					     ? name
		: g_log_writer_default_would_drop(level, "") ? "glib-debug"
							     : "glib",
		text ? text : "");
	if (len < 0)
		return G_LOG_WRITER_UNHANDLED;
	if ((size_t)len >= sizeof(line)) {
		len = sizeof(line) - 1;
		line[len - 1] = '\n';
	}
	enqueue(line, (size_t)len);
	return G_LOG_WRITER_HANDLED;
}

static const char *field_value(const GLogField *fields, gsize n,
			       const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return NULL;
}

/* Date and time change once a second; each thread caches the last text. */
static void format_timestamp(char *out, size_t size)
{
	static _Thread_local char calendar[CALENDAR_BYTES];
	static _Thread_local time_t formatted = -1;
	ba_time now = ba_clock_wall();
	time_t seconds = (time_t)(now / BA_SECOND);
	struct tm tm;

	if (seconds != formatted) {
		gmtime_r(&seconds, &tm);
		strftime(calendar, sizeof(calendar), "%Y-%m-%dT%H:%M:%S", &tm);
		formatted = seconds;
	}
	snprintf(out, size, "%s.%06uZ", calendar,
		 (unsigned int)(now % BA_SECOND) % 1000000U);
}

static void enqueue(const char *line, size_t len)
{
	int fd = -1;

	pthread_mutex_lock(&logger.lock);
	if (!logger.running) {
		fd = logger.fd;
	} else if (logger.queue.len + len > QUEUE_LIMIT_BYTES) {
		logger.dropped++;
	} else {
		if (logger.asleep)
			pthread_cond_signal(&logger.wake);
		ba_buf_add(&logger.queue, line, len);
	}
	pthread_mutex_unlock(&logger.lock);
	/* A descriptor that takes nothing may not hold up other threads. */
	if (fd >= 0)
		write_all(fd, (const uint8_t *)line, len);
}

/*
 * The log thread polls the queue every few milliseconds while lines arrive.  It
 * waits on the condition variable only after the queue has stayed empty for a
 * while, so that threads that log often do not pay for wake-ups.
 */
static void *write_lines(void *arg)
{
	struct ba_buf out = {0};
	uint64_t dropped;
	int idle_polls = 0;

	(void)arg;
	pthread_mutex_lock(&logger.lock);
	while (!logger.stopping || logger.queue.len) {
		if (logger.reopen_requested)
			handle_reopen();
		if (!logger.queue.len) {
			wait_for_lines(&idle_polls);
			continue;
		}
		idle_polls = 0;
		dropped = swap_queue(&out);
		logger.writing = true;
		pthread_mutex_unlock(&logger.lock);
		write_all(logger.fd, out.data, out.len);
		out.len = 0;
		if (dropped)
			report_dropped(dropped);
		pthread_mutex_lock(&logger.lock);
		logger.writing = false;
		if (!logger.stopping)
			sleep_unlocked();
	}
	pthread_mutex_unlock(&logger.lock);
	ba_buf_free(&out);
	return NULL;
}

/* Called with the lock held; releases it while waiting. */
static void wait_for_lines(int *idle_polls)
{
	if (++*idle_polls <= IDLE_POLLS_LIMIT) {
		sleep_unlocked();
		return;
	}
	logger.asleep = true;
	pthread_cond_wait(&logger.wake, &logger.lock);
	logger.asleep = false;
	*idle_polls = 0;
}

static void sleep_unlocked(void)
{
	static const struct timespec interval = {0, POLL_INTERVAL_NS};

	pthread_mutex_unlock(&logger.lock);
	nanosleep(&interval, NULL);
	pthread_mutex_lock(&logger.lock);
}

/*
 * Swaps the queue with the empty buffer @out, and returns the number of lines
 * that were dropped.  Called with the lock held.
 */
static uint64_t swap_queue(struct ba_buf *out)
{
	struct ba_buf full = logger.queue;
	uint64_t dropped = logger.dropped;

	logger.queue = *out;
	logger.dropped = 0;
	*out = full;
	return dropped;
}

static void report_dropped(uint64_t dropped)
{
	ba_event(BA_EV_LOG_DROPPED, "lines=%llu", (unsigned long long)dropped);
}

static void handle_reopen(void)
{
	int fd = logger.path ? open_file(logger.path) : -1;

	logger.reopen_requested = false;
	if (fd < 0)
		return;
	close_file();
	logger.fd = fd;
}

static void write_all(int fd, const uint8_t *data, size_t len)
{
	while (len) {
		ssize_t n = write(fd, data, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		data += n;
		len -= (size_t)n;
	}
}

/* Standard output and error belong to the process and are never closed. */
static void close_file(void)
{
	if (logger.fd > STDERR_FILENO)
		close(logger.fd);
}

static int open_file(const char *path)
{
	if (!strcmp(path, STANDARD_OUTPUT))
		return STDOUT_FILENO;
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}
