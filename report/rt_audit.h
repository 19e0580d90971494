/*
 * Audit of each configuration version that a daemon puts in force,
 * independent of the code that applies it.
 *
 * Rule: a breach is counted here, never repaired.
 */
#ifndef RT_AUDIT_H
#define RT_AUDIT_H

#include "config/cf.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct rt_audit - highest version in force so far; zero-initialized */
struct rt_audit {
	uint64_t highest;
};

/**
 * struct rt_audit_finding - faults of a version; all 0 if it has none
 * @older: 1 if a higher version was in force before
 * @partial: 1 if the version does not match its digest or has dangling routes
 * @dangling: number of routes to services that the version does not have
 */
struct rt_audit_finding {
	unsigned int older;
	unsigned int partial;
	unsigned int dangling;
};

/**
 * rt_audit_version() - audit a version that was just put in force
 *
 * Counts %RT_VERSIONS_AUDITED, %RT_ROUTES_CHECKED and each breach.
 */
struct rt_audit_finding rt_audit_version(struct rt_audit *a,
					 const struct cf_snapshot *s);

#ifdef __cplusplus
}
#endif
#endif
