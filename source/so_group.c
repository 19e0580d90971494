#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_buf.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "replica/rp_file.h"
#include "source/so_group.h"

#define FILE_NAME "founders"

enum { FILE_LIMIT_BYTES = 4096, FOLDER_MODE = 0700 };

static int write_founders(const char *folder,
			  const struct ba_addresses *founders);
static void read_founders(const char *folder, struct ba_addresses *out);

int so_group_load_founders(const char *folder, const struct ba_addresses *seeds,
			   struct ba_addresses *out)
{
	read_founders(folder, out);
	if (out->n || !seeds)
		return BA_OK;
	for (size_t i = 0; i < seeds->n; i++)
		so_group_add_address(out, &seeds->list[i]);
	return write_founders(folder, out);
}

void so_group_add_address(struct ba_addresses *to, const struct ba_address *a)
{
	for (size_t i = 0; i < to->n; i++)
		if (!strcmp(to->list[i].text, a->text))
			return;
	to->list = g_renew(struct ba_address, to->list, to->n + 1);
	to->list[to->n++] = *a;
}

static int write_founders(const char *folder,
			  const struct ba_addresses *founders)
{
	struct ba_buf text = {0};
	int dir = -1;
	int ret;

	if (!g_mkdir_with_parents(folder, FOLDER_MODE))
		dir = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (dir < 0)
		return rp_file_error();
	for (size_t i = 0; i < founders->n; i++)
		ba_buf_addf(&text, "%s\n", founders->list[i].text);
	ret = rp_file_replace(dir, FILE_NAME, &text);
	ba_buf_free(&text);
	close(dir);
	return ret;
}

static void read_founders(const char *folder, struct ba_addresses *out)
{
	char *path = g_build_filename(folder, FILE_NAME, NULL);
	struct ba_buf text = {0};
	char **lines = NULL;

	out->n = 0;
	out->list = NULL;
	if (!ba_file_read(path, FILE_LIMIT_BYTES, &text))
		lines = g_strsplit(ba_buf_text(&text), "\n", -1);
	for (char **l = lines; l && *l; l++) {
		struct ba_address a;

		if (!ba_parse_address(*l, &a))
			so_group_add_address(out, &a);
	}
	g_strfreev(lines);
	ba_buf_free(&text);
	g_free(path);
}
