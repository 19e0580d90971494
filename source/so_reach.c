#include "source/so_reach.h"

bool so_reach_is_known(const struct so_reach *r)
{
	return r->live >= r->before || r->running >= SO_REACH_RETURN_TIME;
}
