/*
 * A call's first step at the daemon that its caller asks.
 */
#ifndef DA_ENTER_H
#define DA_ENTER_H

#include "daemon/da_call.h"

/**
 * da_enter() - find the route, the deadline and the key of a call
 *
 * Called under the lock of the tables.  Return: %BA_OK or why it is refused.
 */
int da_enter(struct da_call *c);

/** da_enter_deadline() - give the call @limit at most, less if it asks so */
int da_enter_deadline(struct da_call *c, ba_time limit);

#endif
