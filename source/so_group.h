/*
 * The founders: the instances that may form a group, as named at the first
 * start of the whole system.  They are stored in the data folder, so that an
 * instance restarted before the group was formed may still form it, and an
 * instance that has lost its disk may not.
 */
#ifndef SO_GROUP_H
#define SO_GROUP_H

#include "base/ba_settings.h"
#include "base/ba_unit.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * so_group_load_founders() - read the founders in @folder, store them if needed
 * @seeds: at the first start of the whole system, the founders that are stored
 *	unless there are some; NULL at any other
 * @out: set to the founders, each once
 *
 * Founders that are stored stay: at a restart before the group was formed the
 * seeds may be other instances.
 *
 * Return: %BA_OK, or the code of the failure to store them.
 */
int so_group_load_founders(const char *folder, const struct ba_addresses *seeds,
			   struct ba_addresses *out);

/** so_group_add_address() - add @a to @to, unless it is there */
void so_group_add_address(struct ba_addresses *to, const struct ba_address *a);

#ifdef __cplusplus
}
#endif
#endif
