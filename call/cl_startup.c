#include "call/cl_startup.h"

/* Of the time that the caller waits, one part in this many is spent here. */
enum { WAIT_FRACTION = 8 };

#define WAIT_LIMIT (750 * BA_MS)
#define WAIT_UNKNOWN_CALLER (250 * BA_MS)

ba_time cl_startup_wait_until(ba_time started_at, ba_time arrived_at,
			      ba_time caller_deadline)
{
	ba_time startup_end = started_at + CL_STARTUP_TIME;
	ba_time wait = WAIT_UNKNOWN_CALLER;

	if (caller_deadline != BA_NEVER)
		wait = (caller_deadline - arrived_at) / WAIT_FRACTION;
	if (wait > WAIT_LIMIT)
		wait = WAIT_LIMIT;
	return arrived_at + wait < startup_end ? arrived_at + wait
					       : startup_end;
}
