#include <stdio.h>
#include <stdlib.h>

#include "base/ba_result.h"
#include "bench/bn.h"

static void exit_invalid(int code, const char *name, const char *text)
{
	const struct ba_result_info *info = ba_result_info(code);

	fprintf(stderr, "--%s=%s: %s %s\n", name, text ? text : "", info->text,
		info->next_step);
	exit(info->exit_code);
}

ba_time bn_parse_duration(const char *name, const char *text)
{
	ba_time t = 0;

	if (text && ba_parse_duration(text, &t))
		exit_invalid(BA_UNIT_WRONG, name, text);
	return t;
}

struct ba_address bn_parse_address(const char *name, const char *text)
{
	struct ba_address a;

	if (!text || ba_parse_address(text, &a))
		exit_invalid(BA_ADDRESS_WRONG, name, text);
	return a;
}

void bn_parse_options(int *argc, char ***argv, const GOptionEntry *entries)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *err = NULL;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, argc, argv, &err)) {
		fprintf(stderr, "%s: %s\n", (*argv)[0], err->message);
		exit(ba_result_info(BA_USAGE)->exit_code);
	}
	g_option_context_free(ctx);
}
