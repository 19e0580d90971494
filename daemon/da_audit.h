/*
 * Audit of call results: checks what callers were told against what was sent
 * to the backend server, independently of the code that made the decisions.
 * Breaches are counted and logged; nothing is corrected here.
 */
#ifndef DA_AUDIT_H
#define DA_AUDIT_H

#include "daemon/da_call.h"

/** da_audit_backend_start() - check a call that goes to the backend server */
void da_audit_backend_start(const struct da_call *c);

/**
 * da_audit_attempt_end() - record whether the request of an ended attempt may
 * have begun to run
 */
void da_audit_attempt_end(struct da_call *c, const struct da_fetch_end *end);

/** da_audit_call_end() - check the result that the caller was told */
void da_audit_call_end(const struct da_call *c);

#endif
