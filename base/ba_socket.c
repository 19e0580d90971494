#include <errno.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ba_socket.h"

static int open_socket(const struct ba_address *a);
static int close_keeping_errno(int fd);

int ba_socket_listen(const struct ba_address *at, int backlog)
{
	const int on = 1;
	int fd = open_socket(at);

	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    bind(fd, (const struct sockaddr *)&at->sockaddr, at->len) ||
	    listen(fd, backlog))
		return close_keeping_errno(fd);
	return fd;
}

int ba_socket_connect(const struct ba_address *to)
{
	int fd = open_socket(to);

	if (fd < 0 ||
	    (connect(fd, (const struct sockaddr *)&to->sockaddr, to->len) &&
	     errno != EINPROGRESS))
		return close_keeping_errno(fd);
	return fd;
}

size_t ba_socket_unacknowledged(int fd)
{
	int n = 0;

	return ioctl(fd, SIOCOUTQ, &n) || n < 0 ? 0 : (size_t)n;
}

static int open_socket(const struct ba_address *a)
{
	return socket(a->sockaddr.ss_family,
		      SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static int close_keeping_errno(int fd)
{
	int error = errno;

	if (fd >= 0)
		close(fd);
	errno = error;
	return -1;
}
