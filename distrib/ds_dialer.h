/*
 * The decision where and when to connect: to one of several addresses, with
 * jittered, capped back-off.  Pure; ds_link carries it out.
 */
#ifndef DS_DIALER_H
#define DS_DIALER_H

#include <stdbool.h>
#include <stddef.h>

#include "base/ba_clock.h"
#include "base/ba_rand.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DS_BACK_OFF_FIRST (100 * BA_MS)
#define DS_BACK_OFF_LIMIT BA_SECOND
#define DS_NEXT_ADDRESS_SPREAD (50 * BA_MS)
#define DS_FAILBACK_DELAY_FIRST (30 * BA_SECOND)
#define DS_FAILBACK_DELAY_LIMIT (10 * BA_MINUTE)
#define DS_LEAVE_DELAY (500 * BA_MS)
#define DS_LEAVE_PAUSE_FIRST (5 * BA_SECOND)
#define DS_LEAVE_PAUSE_LIMIT (30 * BA_SECOND)

/**
 * struct ds_dialer - state of one dialer
 * @n: number of addresses
 * @current: address dialled now or next
 * @tried: addresses tried since one was open
 * @n_preferred: so many of the first addresses are gone back to whenever one
 *	of the others is open
 * @open: whether a session is open
 * @stale: whether the peer's data are stale
 * @leaving: the peer is left because its data are stale
 * @dial_deadline: when to dial @current, %BA_NEVER while dialling or open
 * @return_deadline: when to go back to the first address
 * @return_after: time until then, longer each time it was in vain
 * @leave_deadline: a stale peer is not left before then
 * @leave_after: pause after a whole round of stale peers
 * @left: stale peers left in this round
 */
struct ds_dialer {
	size_t n;
	size_t current;
	unsigned int tried;
	size_t n_preferred;
	bool open;
	bool stale;
	bool leaving;
	ba_time dial_deadline;
	ba_time return_deadline;
	ba_time return_after;
	ba_time leave_deadline;
	ba_time leave_after;
	unsigned int left;
	struct ba_rand rand;
};

/** ds_dialer_init() - dial the first address at @now */
void ds_dialer_init(struct ds_dialer *d, size_t n, size_t n_preferred,
		    uint64_t seed, ba_time now);

/** ds_dialer_dialled() - @current is being dialled */
void ds_dialer_dialled(struct ds_dialer *d);

/** ds_dialer_opened() - the session is open */
void ds_dialer_opened(struct ds_dialer *d, ba_time now);

/**
 * ds_dialer_closed() - the session has ended, or could not be opened
 * @retry_after: what the peer asked for, or 0
 */
void ds_dialer_closed(struct ds_dialer *d, ba_time retry_after, ba_time now);

/** ds_dialer_set_stale() - whether the peer's data are stale */
void ds_dialer_set_stale(struct ds_dialer *d, bool stale, ba_time now);

/** ds_dialer_should_leave() - whether to leave a peer whose data are stale */
bool ds_dialer_should_leave(struct ds_dialer *d, ba_time now);

/** ds_dialer_should_fail_back() - whether to go back to the first address now */
bool ds_dialer_should_fail_back(struct ds_dialer *d, ba_time now);

/** ds_dialer_deadline() - when to look again */
ba_time ds_dialer_deadline(const struct ds_dialer *d);

#ifdef __cplusplus
}
#endif
#endif
