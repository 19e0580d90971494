/*
 * Decides when to connect to which of several addresses.  A state machine
 * without I/O; ds_link executes its decisions.
 *
 * Rules:
 * - After a failure the next address is dialled almost at once; when all have
 *   failed, a jittered exponential back-off with a limit follows.
 * - An address that opens no session within a time is given up for the next
 *   one.  That time is short, as a frozen process accepts connections, and grows
 *   with each round in vain.
 * - An address whose session fell silent is not the one that is dialled next.
 * - Silence is judged early while that is rare, as there is another address to
 *   go to.  After some sessions were left for it in a short time, the peers may
 *   only be slow, and more patience keeps those they serve from moving about.
 * - A peer whose data are stale is left for the next address, unless they are
 *   fresh again within a short time.  When all peers were stale, the current
 *   one is kept for a pause that doubles each round.
 * - While a session to a less preferred address is open, the dialer fails
 *   back to the preferred ones after a delay, which doubles whenever a
 *   preferred peer turns out to be stale.
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
#define DS_NEXT_ADDRESS_JITTER (50 * BA_MS)
#define DS_SETUP_TIME_FIRST (500 * BA_MS)
#define DS_SETUP_TIME_LIMIT (2 * BA_SECOND)
#define DS_FAILBACK_DELAY_FIRST (30 * BA_SECOND)
#define DS_FAILBACK_DELAY_LIMIT (10 * BA_MINUTE)
#define DS_LEAVE_DELAY (500 * BA_MS)
#define DS_LEAVE_PAUSE_FIRST (5 * BA_SECOND)
#define DS_LEAVE_PAUSE_LIMIT (30 * BA_SECOND)

#define DS_HEARTBEAT_INTERVAL (720 * BA_MS)

/* A peer that pauses for 300 ms before a heartbeat is not yet silent. */
#define DS_SILENCE_FIRST (DS_HEARTBEAT_INTERVAL + 330 * BA_MS)
#define DS_SILENCE_LIMIT (2500 * BA_MS)
#define DS_SILENT_PERIOD (30 * BA_SECOND)
#define DS_SILENT_MAX 3

/**
 * struct ds_dialer - state of one dialer
 * @n: number of addresses
 * @current: index of the address dialled now or next
 * @attempts: sessions that ended or failed since one was last opened
 * @n_preferred: the first @n_preferred addresses are failed back to while a
 *	session to one of the others is open
 * @open: whether a session is open
 * @stale: whether the peer's data are stale
 * @leaving: whether the session is being closed because its peer is stale
 * @dial_deadline: when to dial @current, %BA_NEVER while dialling or open
 * @setup_deadline: when to give up dialling @current, %BA_NEVER unless dialling
 *	with another address to go to
 * @failback_deadline: when to fail back to the first address
 * @failback_delay: delay before that, doubled each time a preferred peer was
 *	stale
 * @leave_deadline: earliest time to leave a stale peer
 * @leave_pause: pause after a round in which every peer was stale
 * @n_stale: number of stale peers left since one was fresh
 * @n_silent: sessions that fell silent, none more than %DS_SILENT_PERIOD after
 *	the one before
 * @silent_deadline: when @n_silent begins anew
 */
struct ds_dialer {
	size_t n;
	size_t current;
	unsigned int attempts;
	size_t n_preferred;
	bool open;
	bool stale;
	bool leaving;
	ba_time dial_deadline;
	ba_time setup_deadline;
	ba_time failback_deadline;
	ba_time failback_delay;
	ba_time leave_deadline;
	ba_time leave_pause;
	unsigned int n_stale;
	unsigned int n_silent;
	ba_time silent_deadline;
	struct ba_rand rand;
};

/** ds_dialer_init() - start by dialling the first address at @now */
void ds_dialer_init(struct ds_dialer *d, size_t n, size_t n_preferred,
		    uint64_t seed, ba_time now);

/**
 * ds_dialer_set_addresses() - use other addresses from now on
 * @current: new index of the address that is dialled or connected
 * @move_deadline: when to leave an open session for a preferred address,
 *	%BA_NEVER for no sooner than the dialer fails back anyway
 */
void ds_dialer_set_addresses(struct ds_dialer *d, size_t n, size_t n_preferred,
			     size_t current, ba_time move_deadline);

/** ds_dialer_dialled() - note that @current is being dialled */
void ds_dialer_dialled(struct ds_dialer *d, ba_time now);

/** ds_dialer_opened() - note that the session is open */
void ds_dialer_opened(struct ds_dialer *d, ba_time now);

/**
 * ds_dialer_closed() - note that the session has ended or was not opened
 * @silent: whether that was since the peer said nothing any more
 * @retry_after: delay that the peer asked for, or 0
 */
void ds_dialer_closed(struct ds_dialer *d, bool silent, ba_time retry_after,
		      ba_time now);

/**
 * ds_dialer_silence_time() - how long the peer of the open session may say
 * nothing before the session has to be closed as silent
 */
ba_time ds_dialer_silence_time(const struct ds_dialer *d, ba_time now);

/** ds_dialer_should_give_up() - whether to stop dialling @current */
bool ds_dialer_should_give_up(const struct ds_dialer *d, ba_time now);

/** ds_dialer_set_stale() - note whether the peer's data are stale */
void ds_dialer_set_stale(struct ds_dialer *d, bool stale, ba_time now);

/**
 * ds_dialer_should_leave() - whether to close the session to a stale peer
 *
 * After true the session has to be closed: the peer counts as left.
 */
bool ds_dialer_should_leave(struct ds_dialer *d, ba_time now);

/**
 * ds_dialer_should_fail_back() - whether to close the session in order to
 * return to the first address
 *
 * True is returned once only; then the session has to be closed.
 */
bool ds_dialer_should_fail_back(struct ds_dialer *d, ba_time now);

/** ds_dialer_deadline() - when one of the decisions is due next */
ba_time ds_dialer_deadline(const struct ds_dialer *d);

#ifdef __cplusplus
}
#endif
#endif
