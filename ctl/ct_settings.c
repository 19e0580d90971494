#include <stdio.h>

#include <glib.h>

#include "base/ba_result.h"
#include "ctl/ct.h"

#define KEY(t, n, k, m)                                                    \
	{                                                                  \
		t, n, k, true, offsetof(struct ct_settings, m), NULL, 0, 0 \
	}

const struct ba_settings_key ct_settings_keys[] = {
	KEY("mesh", "name", BA_KIND_STRING, mesh_name),
	KEY("operator", "name", BA_KIND_STRING, operator_name),
	KEY("operator", "key_file", BA_KIND_STRING, key_file),
	KEY("sources", "addresses", BA_KIND_ADDRESSES, sources),
	{0},
};

static void check_settings(struct ct *ct, struct ba_problems *p);

int ct_settings_load(struct ct *ct, const char *file)
{
	struct ba_problems problems = {0};
	int code;

	if (!file)
		file = g_getenv("CARAWAYCTL_SETTINGS");
	if (!file) {
		fprintf(stderr, "carawayctl: name the settings file with "
				"--settings FILE or CARAWAYCTL_SETTINGS\n");
		return BA_USAGE;
	}
	ba_settings_read(file, ct_settings_keys, &ct->settings, &problems);
	if (!problems.n)
		check_settings(ct, &problems);
	code = ct_problems_print(ct, &problems);
	ba_problems_free(&problems);
	ct->identity.mesh = ct->settings.mesh_name;
	ct->identity.instance = ct->settings.operator_name;
	ct->identity.role = WI_OPERATOR;
	ct->identity.data_centre = "";
	ct->identity.region = "";
	ct->identity.incarnation = (uint64_t)ba_clock_wall();
	ct->identity.key_id = ct->settings.operator_name;
	return code;
}

static void check_settings(struct ct *ct, struct ba_problems *p)
{
	const char *file = ct->settings.key_file;
	int code = ba_key_file_read(file, ct->identity.key);

	if (code)
		ba_problem_add(p, code, 0, "operator.key_file",
			       "a file of 64 hexadecimal digits at %s", file);
	if (!ct->settings.sources.n)
		ba_problem_add(p, BA_RANGE_WRONG, 0, "sources.addresses",
			       "one address or more");
}
