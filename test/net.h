/*
 * Loopback addresses for tests.  TEST_NET sets the network, so that two
 * checkouts can be tested at the same time on one machine.
 */
#ifndef TEST_NET_H
#define TEST_NET_H

#include <cstdlib>
#include <string>

/** test_address() - return "NET.HOST:PORT" in the network of this run */
static inline std::string test_address(int host, int port)
{
	const char *net = getenv("TEST_NET");

	return std::string(net ? net : "127.0.0") + "." + std::to_string(host) +
	       ":" + std::to_string(port);
}

#endif
