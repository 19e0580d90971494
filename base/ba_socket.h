/*
 * TCP sockets for event loops: non-blocking, and closed on exec.
 */
#ifndef BA_SOCKET_H
#define BA_SOCKET_H

#include "base/ba_unit.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * ba_socket_listen() - listen for connections at @at
 * @backlog: maximum number of connections waiting to be accepted
 *
 * Return: the descriptor, or -1 with errno set, for instance when the address
 * is in use.
 */
int ba_socket_listen(const struct ba_address *at, int backlog);

/**
 * ba_socket_connect() - start to connect to @to
 *
 * Return: the descriptor, which becomes writable once the connection is
 * established or has failed, or -1 with errno set.
 */
int ba_socket_connect(const struct ba_address *to);

/**
 * ba_socket_unacknowledged() - count the bytes written to the socket that the
 * other end's kernel has not acknowledged
 *
 * Return: the count, 0 if it is not known.
 */
size_t ba_socket_unacknowledged(int fd);

#ifdef __cplusplus
}
#endif
#endif
