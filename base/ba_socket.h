/*
 * TCP sockets, as all loops of this mesh want them: non-blocking, and closed
 * in programs that are started from here.
 */
#ifndef BA_SOCKET_H
#define BA_SOCKET_H

#include "base/ba_unit.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * ba_socket_listen() - accept connections at @at
 * @backlog: connections that may wait to be accepted
 *
 * Return: the descriptor, or -1 with errno set when the address is in use.
 */
int ba_socket_listen(const struct ba_address *at, int backlog);

/**
 * ba_socket_dial() - begin to connect
 *
 * Return: the descriptor, which is writable once it is connected or has
 * failed, or -1 with errno set.
 */
int ba_socket_dial(const struct ba_address *to);

#ifdef __cplusplus
}
#endif
#endif
