#include <string.h>

#include <glib.h>

#include "base/ba_account.h"
#include "base/ba_event.h"

/* The rest is for the work of the process itself. */
#define LIMIT_SHARE 0.75
#define TIGHT_SHARE 0.75
/* Of the limit, for what is small. */
#define SMALL_SHARE 1.125
#define LOG_PERIOD BA_SECOND

struct ba_account *ba_account_new(uint64_t memory)
{
	struct ba_account *a = g_new0(struct ba_account, 1);

	a->limit = memory ? (size_t)((double)memory * LIMIT_SHARE) : SIZE_MAX;
	a->refs = 1;
	return a;
}

struct ba_account *ba_account_ref(struct ba_account *a)
{
	if (a)
		a->refs++;
	return a;
}

void ba_account_unref(struct ba_account *a)
{
	if (a && !--a->refs)
		g_free(a);
}

void ba_charge_set(struct ba_charge *c, size_t bytes)
{
	if (c->account)
		c->account->used += bytes - c->bytes;
	c->bytes = bytes;
}

bool ba_account_has_room(const struct ba_account *a, size_t more, size_t total)
{
	double limit = (double)a->limit;

	if (total <= BA_ACCOUNT_SMALL_BYTES)
		limit *= SMALL_SHARE;
	return !more || (double)a->used + (double)more <= limit;
}

bool ba_account_is_tight(const struct ba_account *a)
{
	return (double)a->used > (double)a->limit * TIGHT_SHARE;
}

void ba_account_note(struct ba_account *a, enum ba_crowd_act act, ba_time now)
{
	a->acts[act]++;
	if (a->logged_at && now - a->logged_at < LOG_PERIOD)
		return;
	ba_event(BA_EV_CROWDED,
		 "refused=%llu closed=%llu turned_away=%llu held=%zu limit=%zu",
		 (unsigned long long)a->acts[BA_CROWD_REFUSED],
		 (unsigned long long)a->acts[BA_CROWD_CLOSED],
		 (unsigned long long)a->acts[BA_CROWD_TURNED_AWAY], a->used,
		 a->limit);
	memset(a->acts, 0, sizeof(a->acts));
	a->logged_at = now;
}

double ba_hold_weight(size_t bytes, ba_time quiet)
{
	if (bytes < BA_HOLD_MIN_BYTES || quiet < BA_HOLD_QUIET_TIME)
		return 0;
	return (double)bytes * (double)quiet;
}
