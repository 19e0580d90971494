/*
 * A second look at each configuration version that a daemon puts in force,
 * apart from the code that put it there.
 *
 * Rules: a breach is counted, never repaired here.
 */
#ifndef RT_AUDIT_H
#define RT_AUDIT_H

#include "config/cf.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct rt_audit - what was in force so far; zeroed at the start */
struct rt_audit {
	uint64_t highest;
};

/** struct rt_audit_finding - what is wrong with a version; all 0 when good */
struct rt_audit_finding {
	unsigned int older;
	unsigned int partial;
	unsigned int dangling;
};

/**
 * rt_audit_version() - check a version that was just put in force
 *
 * Counts %RT_VERSIONS_AUDITED, %RT_ROUTES_CHECKED and each breach.
 */
struct rt_audit_finding rt_audit_version(struct rt_audit *a,
					 const struct cf_snapshot *s);

#ifdef __cplusplus
}
#endif
#endif
