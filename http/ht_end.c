#include "http/ht_end.h"

bool ht_end_is_whole(enum ht_framing f, enum ht_end why, enum ht_taken request)
{
	return f == HT_FRAMING_CLOSE && why == HT_END_CLOSED &&
	       request == HT_TAKEN_WHOLE;
}
