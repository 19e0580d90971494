/*
 * A second look at what callers were told and what the backend server was
 * handed, apart from the code that decided it.  Breaches are counted, never
 * repaired here.
 */
#ifndef DA_AUDIT_H
#define DA_AUDIT_H

#include "daemon/da_call.h"

/** da_audit_handed() - the call is handed to the backend server now */
void da_audit_handed(const struct da_call *c);

/** da_audit_attempt() - an attempt of the call has ended */
void da_audit_attempt(struct da_call *c, const struct da_end *end);

/** da_audit_end() - the caller was told the result of the call */
void da_audit_end(const struct da_call *c);

#endif
