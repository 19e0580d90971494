/*
 * Who may form a group: the instances that are named when the whole system
 * starts for the first time.  They are kept in the data folder, so that one
 * that is started again before the group was formed still may, and one that
 * has lost its disk may not.
 */
#ifndef SO_GROUP_H
#define SO_GROUP_H

#include "base/ba_settings.h"
#include "base/ba_unit.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * so_group_found() - keep the founders in @folder, durably
 *
 * Return: %BA_OK, or the code of the failure.
 */
int so_group_found(const char *folder, const struct ba_addresses *founders);

/** so_group_read() - the founders kept in @folder, or none */
void so_group_read(const char *folder, struct ba_addresses *out);

#ifdef __cplusplus
}
#endif
#endif
