/*
 * Parsers for values with units and for addresses, as written in settings and
 * in messages.  A number may have a decimal fraction; the result is rounded.
 */
#ifndef BA_UNIT_H
#define BA_UNIT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BA_ADDRESS_TEXT_BYTES 64

/**
 * struct ba_address - an IP address and port
 * @len: length of @sockaddr in bytes
 * @text: the address as it was written
 */
struct ba_address {
	struct sockaddr_storage sockaddr;
	socklen_t len;
	char text[BA_ADDRESS_TEXT_BYTES];
};

/**
 * ba_parse_duration() - parse "250ms", "2.5s", "10us", "5min" or "2h"
 *
 * Return: %BA_OK or %BA_UNIT_WRONG.
 */
int ba_parse_duration(const char *s, ba_time *out);

/**
 * ba_parse_bytes() - parse "512B", "6KB", "128MB" or "1.5GB" (powers of 1000)
 *
 * Return: %BA_OK or %BA_UNIT_WRONG.
 */
int ba_parse_bytes(const char *s, int64_t *out);

/**
 * ba_parse_rate() - parse "64kbit", "10.5Mbit" or "1Gbit" into bytes per second
 *
 * Return: %BA_OK or %BA_UNIT_WRONG.
 */
int ba_parse_rate(const char *s, int64_t *out);

/**
 * ba_is_whole() - whether a number has no fraction, and is small enough that each
 * whole number has a double of its own
 */
bool ba_is_whole(double number);

/**
 * ba_parse_address() - parse "192.0.2.1:7000" or "[2001:db8::1]:7000"
 *
 * Return: %BA_OK or %BA_ADDRESS_WRONG; names are not resolved.
 */
int ba_parse_address(const char *s, struct ba_address *out);

#ifdef __cplusplus
}
#endif
#endif
