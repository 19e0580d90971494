#include <stdlib.h>
#include <string.h>

#include "base/ba_toml.h"

static void free_node(struct ba_toml *node);

static const char *const type_names[] = {
	[BA_TOML_TABLE] = "a table",	    [BA_TOML_ARRAY] = "an array",
	[BA_TOML_STRING] = "a string",	    [BA_TOML_INTEGER] = "an integer",
	[BA_TOML_FLOAT] = "a float",	    [BA_TOML_BOOLEAN] = "a boolean",
	[BA_TOML_OTHER] = "a date or time",
};

void ba_toml_free(struct ba_toml *root)
{
	if (!root)
		return;
	free_node(root);
	free(root);
}

const struct ba_toml *ba_toml_get(const struct ba_toml *table, const char *key)
{
	if (!table || table->type != BA_TOML_TABLE)
		return NULL;
	for (size_t i = 0; i < table->n_children; i++)
		if (!strcmp(table->children[i].key, key))
			return &table->children[i];
	return NULL;
}

const char *ba_toml_type_name(enum ba_toml_type type)
{
	return type_names[type];
}

static void free_node(struct ba_toml *node)
{
	for (size_t i = 0; i < node->n_children; i++)
		free_node(&node->children[i]);
	free(node->children);
	free(node->key);
	free(node->string);
}
