/*
 * Startup and shutdown of the daemon programs: command line, common settings,
 * log and identity.  It also has helpers for the addresses in the settings.
 */
#ifndef PR_H
#define PR_H

#include "base/ba_loop.h"
#include "base/ba_problem.h"
#include "base/ba_settings.h"
#include "base/ba_unit.h"
#include "wire/wi_session.h"

/**
 * struct pr_common - settings common to all daemon programs; embed it first
 * @metrics_address: where counters are served over HTTP; empty for nowhere
 * @check: set by the program before pr_start(), or NULL; validates what depends
 *	on several keys, after all keys have been read without a problem
 */
struct pr_common {
	char *mesh_name;
	char *mesh_key_file;
	char *instance_name;
	char *data_centre;
	char *region;
	char *log_file;
	char *log_level;
	struct ba_address metrics_address;
	void (*check)(const struct pr_common *settings,
		      struct ba_problems *problems);
};

/* The rows of the common settings, for a table of struct ba_settings_key. */
#define PR_KEY(t, n, k, req, m, f)                                   \
	{                                                            \
		t, n, k, req, offsetof(struct pr_common, m), f, 0, 0 \
	}
#define PR_COMMON_KEYS                                                        \
	PR_KEY("mesh", "name", BA_KIND_STRING, true, mesh_name, NULL),        \
		PR_KEY("mesh", "key_file", BA_KIND_STRING, true,              \
		       mesh_key_file, NULL),                                  \
		PR_KEY("instance", "name", BA_KIND_STRING, true,              \
		       instance_name, NULL),                                  \
		PR_KEY("instance", "data_centre", BA_KIND_STRING, true,       \
		       data_centre, NULL),                                    \
		PR_KEY("instance", "region", BA_KIND_STRING, true, region,    \
		       NULL),                                                 \
		PR_KEY("log", "file", BA_KIND_STRING, false, log_file, NULL), \
		PR_KEY("log", "level", BA_KIND_STRING, false, log_level,      \
		       "info"),                                               \
		PR_KEY("metrics", "address", BA_KIND_ADDRESS, false,          \
		       metrics_address, NULL)

/**
 * pr_start() - parse the command line, read the settings and open the log
 * @role: role of the program in the mesh
 * @keys: the table of settings, %PR_COMMON_KEYS among them
 * @settings: the zeroed settings of the program, which begin with struct
 *	pr_common
 * @id: set to the identity of the process; its strings are owned by @settings
 *
 * Handles --help, --version, --keys and --check, and prints all problems of the
 * settings.
 *
 * Return: -1 to continue, or the exit status to end with.
 */
int pr_start(int argc, char **argv, enum wi_role role,
	     const struct ba_settings_key *keys, struct pr_common *settings,
	     struct wi_identity *id);

/**
 * pr_listen_failed() - log and print that listening on @address failed
 *
 * Return: the exit status to end with.
 */
int pr_listen_failed(const struct ba_address *address);

/** pr_descriptors() - return how many there are: @stated, or 0, bounds them */
int64_t pr_descriptors(int64_t stated);

/** pr_port() - return the port of an address */
int pr_port(const struct ba_address *a);

/** pr_set_port() - set the port of all addresses to @port, unless it is 0 */
void pr_set_port(struct ba_addresses *list, int64_t port);

/** pr_shuffle() - shuffle the list, in an order that depends on @instance */
void pr_shuffle(struct ba_addresses *list, const char *instance);

/** pr_end() - log the end, close the log and free the settings */
void pr_end(const struct ba_settings_key *keys, struct pr_common *settings);

#endif
