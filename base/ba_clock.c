#include <time.h>

#include "base/ba_clock.h"

static ba_time read_clock(clockid_t id);

ba_time ba_clock_now(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

ba_time ba_clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}

static ba_time read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * BA_SECOND + ts.tv_nsec / 1000;
}
