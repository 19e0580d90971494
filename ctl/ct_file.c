#include <stdio.h>

#include <glib.h>

#include "base/ba_result.h"
#include "ctl/ct.h"

enum { MAX_FILE_BYTES = 8 * 1024 * 1024 };

bool ct_file_is_policy(const char *text, size_t len)
{
	struct ba_toml_error err;
	struct ba_toml *root = ba_toml_parse(text, len, &err);
	bool policy = root &&
		      (ba_toml_get(root, "mesh") || ba_toml_get(root, "rows"));

	ba_toml_free(root);
	return policy;
}

int ct_file_parse(struct ct *ct, const char *file,
		  const struct cf_snapshot *base, struct cf_snapshot **out)
{
	struct ba_problems problems = {0};
	struct ba_buf text = {0};
	const char *s;
	int code = ba_file_read(file, MAX_FILE_BYTES, &text);

	if (code) {
		ba_buf_free(&text);
		return ct_fail(ct, code, file);
	}
	problems.file = g_strdup(file);
	s = ba_buf_text(&text);
	if (ct_file_is_policy(s, text.len))
		code = cf_parse_policy(s, text.len, base, base->version + 1,
				       out, &problems);
	else
		code = cf_parse_configuration(
			s, text.len, base, base->version + 1, out, &problems);
	ct_problems_print(ct, &problems);
	ba_problems_free(&problems);
	ba_buf_free(&text);
	return code;
}
