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
 * so_group_write_founders() - store the founders in @folder, durably
 *
 * Return: %BA_OK, or the code of the failure.
 */
int so_group_write_founders(const char *folder,
			    const struct ba_addresses *founders);

/**
 * so_group_read_founders() - read the founders stored in @folder
 * @out: set to an empty list if none are stored
 */
void so_group_read_founders(const char *folder, struct ba_addresses *out);

#ifdef __cplusplus
}
#endif
#endif
