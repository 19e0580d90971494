/*
 * The team of a request, by the key that it shows.
 */
#ifndef CL_TEAM_H
#define CL_TEAM_H

#include "config/cf.h"

#ifdef __cplusplus
extern "C" {
#endif

/** CL_TEAM_KEY_FIELD - field of a request that shows its key */
#define CL_TEAM_KEY_FIELD "Authorization"

/**
 * cl_team_identify() - find the team of a request on a route that is not open
 * @s: the configuration in force, with teams
 * @field: value of %CL_TEAM_KEY_FIELD, NULL if the request has none or several
 *
 * Return: %BA_OK, %CL_TEAM_KEY_MISSING or %CL_TEAM_KEY_UNKNOWN; @out is NULL
 * unless it is %BA_OK.
 */
int cl_team_identify(const struct cf_snapshot *s, const char *field,
		     const struct cf_team **out);

#ifdef __cplusplus
}
#endif
#endif
