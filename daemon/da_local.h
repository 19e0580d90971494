/*
 * Admission of calls to this daemon's backend server: drain, keys and slots.
 */
#ifndef DA_LOCAL_H
#define DA_LOCAL_H

#include "daemon/da_call.h"

/** da_local_begin() - admit, queue or refuse a call for the backend server */
void da_local_begin(struct da_call *c);

/**
 * da_local_end() - release the slot and the key of a call whose attempt ended
 * @code: result code of the attempt
 *
 * Does nothing for a call that was not admitted or queued here.
 */
void da_local_end(struct da_call *c, enum cl_attempt_result result, int code);

/** da_local_run_queue() - start or refuse queued calls of all workers */
void da_local_run_queue(struct da_shared *shared);

#endif
