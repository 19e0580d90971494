#include <stdlib.h>
#include <string.h>

#include "base/ba_result.h"
#include "base/ba_settings.h"
#include "source/so.h"

#define KEY_SUFFIX ".key"

static int read_keys(const char *folder, struct wi_operator *list, size_t *n);
static int read_key(const char *folder, const char *file,
		    struct wi_operator *out);
static void free_list(struct wi_operator *list, size_t n);

int so_keys_load(struct so_source *s)
{
	struct wi_operator *list =
		g_new0(struct wi_operator, SO_OPERATORS_LIMIT);
	size_t n = 0;
	int ret = BA_OK;

	if (s->settings->operators_folder)
		ret = read_keys(s->settings->operators_folder, list, &n);

	if (ret) {
		free_list(list, n);
		return ret;
	}
	so_keys_free(s->identity);
	s->identity->operators = list;
	s->identity->n_operators = n;
	return BA_OK;
}

void so_keys_free(struct wi_identity *id)
{
	free_list((struct wi_operator *)id->operators, id->n_operators);
	id->operators = NULL;
	id->n_operators = 0;
}

static int read_keys(const char *folder, struct wi_operator *list, size_t *n)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *file;
	int ret = BA_OK;

	if (!dir)
		return BA_FILE_UNREADABLE;
	while (!ret && *n < SO_OPERATORS_LIMIT && (file = g_dir_read_name(dir)))
		if (g_str_has_suffix(file, KEY_SUFFIX))
			ret = read_key(folder, file, &list[(*n)++]);
	g_dir_close(dir);
	return ret;
}

static int read_key(const char *folder, const char *file,
		    struct wi_operator *out)
{
	char *path = g_build_filename(folder, file, NULL);
	int ret = ba_key_file_read(path, out->key);

	out->name = g_strndup(file, strlen(file) - strlen(KEY_SUFFIX));
	g_free(path);
	return ret;
}

static void free_list(struct wi_operator *list, size_t n)
{
	for (size_t i = 0; i < n; i++)
		g_free((char *)list[i].name);
	g_free(list);
}
