#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "base/ba_unit.h"

struct unit {
	const char *name;
	int64_t factor;
};

static const struct unit time_units[] = {
	{"us", 1},	    {"ms", BA_MS},  {"s", BA_SECOND},
	{"min", BA_MINUTE}, {"h", BA_HOUR}, {NULL, 0},
};

static const struct unit byte_units[] = {
	{"B", 1}, {"KB", 1000}, {"MB", 1000000}, {"GB", 1000000000}, {NULL, 0},
};

/* Factors are in bytes per second. */
static const struct unit rate_units[] = {
	{"kbit", 125},
	{"Mbit", 125000},
	{"Gbit", 125000000},
	{NULL, 0},
};

/* 1,000,000 Gbit/s, in bytes per second. */
#define RATE_LIMIT ((int64_t)125000000 * 1000000)

#define WHOLE_LIMIT 0x1p53

static int parse_with_unit(const char *s, const struct unit *units,
			   int64_t *out);
static int parse_port(const char *s, uint16_t *port);

int ba_parse_duration(const char *s, ba_time *out)
{
	return parse_with_unit(s, time_units, out);
}

int ba_parse_bytes(const char *s, int64_t *out)
{
	return parse_with_unit(s, byte_units, out);
}

int ba_parse_rate(const char *s, int64_t *out)
{
	int64_t n;
	int ret = parse_with_unit(s, rate_units, &n);

	if (ret || n < 1 || n > RATE_LIMIT)
		return BA_UNIT_WRONG;
	*out = n;
	return BA_OK;
}

bool ba_is_whole(double number)
{
	return fabs(number) < WHOLE_LIMIT && number == trunc(number);
}

int ba_parse_address(const char *s, struct ba_address *out)
{
	const char *colon = strrchr(s, ':');
	char host[INET6_ADDRSTRLEN + 2] = "";
	struct sockaddr_in *v4 = (struct sockaddr_in *)&out->sockaddr;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&out->sockaddr;
	uint16_t port;
	size_t len;

	memset(out, 0, sizeof(*out));
	if (!colon || parse_port(colon + 1, &port))
		return BA_ADDRESS_WRONG;
	len = (size_t)(colon - s);
	if (!len || len >= sizeof(host) || strlen(s) >= sizeof(out->text))
		return BA_ADDRESS_WRONG;
	memcpy(host, s, len);
	if (host[0] == '[' && host[len - 1] == ']') {
		host[len - 1] = '\0';
		if (inet_pton(AF_INET6, host + 1, &v6->sin6_addr) != 1)
			return BA_ADDRESS_WRONG;
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		out->len = sizeof(*v6);
	} else {
		if (inet_pton(AF_INET, host, &v4->sin_addr) != 1)
			return BA_ADDRESS_WRONG;
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		out->len = sizeof(*v4);
	}
	memcpy(out->text, s, strlen(s) + 1);
	return BA_OK;
}

/*
 * Reads a decimal number, which may have a fraction, and its unit.  The result
 * is rounded to the smallest unit; a whole number is exact.
 */
static int parse_with_unit(const char *s, const struct unit *units,
			   int64_t *out)
{
	size_t whole = strspn(s, "0123456789");
	size_t fraction =
		s[whole] == '.' ? strspn(s + whole + 1, "0123456789") : 0;
	const char *unit = s + whole + (s[whole] == '.') + fraction;
	double real;
	int64_t n;

	if (!whole && !fraction)
		return BA_UNIT_WRONG;
	errno = 0;
	n = strtoll(s, NULL, 10);
	real = g_ascii_strtod(s, NULL);
	while (*unit == ' ')
		unit++;
	while (units->name && strcmp(unit, units->name) != 0)
		units++;
	if (!units->name || errno || n > INT64_MAX / units->factor ||
	    real * (double)units->factor >= (double)INT64_MAX)
		return BA_UNIT_WRONG;
	*out = fraction ? llround(real * (double)units->factor)
			: n * units->factor;
	return BA_OK;
}

static int parse_port(const char *s, uint16_t *port)
{
	char *end;
	long n;

	if (*s < '0' || *s > '9')
		return BA_ADDRESS_WRONG;
	n = strtol(s, &end, 10);
	if (*end || n < 1 || n > UINT16_MAX)
		return BA_ADDRESS_WRONG;
	*port = (uint16_t)n;
	return BA_OK;
}
