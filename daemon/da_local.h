/*
 * Calls for the backend server beside this daemon: drain, keys and slots.
 */
#ifndef DA_LOCAL_H
#define DA_LOCAL_H

#include "daemon/da_call.h"

/** da_local_begin() - run the call here, when it may */
void da_local_begin(struct da_call *c);

/**
 * da_local_end() - the attempt here has ended with @code
 *
 * Nothing is done for a call that has no slot here.
 */
void da_local_end(struct da_call *c, enum cl_attempt_result seen, int code);

/** da_local_pump() - start and refuse those that wait */
void da_local_pump(struct da_tables *t);

#endif
