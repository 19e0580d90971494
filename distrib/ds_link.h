/*
 * A session to one of several addresses, reopened whenever it ends.  ds_dialer
 * decides when to connect and to which address.
 */
#ifndef DS_LINK_H
#define DS_LINK_H

#include "distrib/ds_dialer.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ds_link;

/**
 * struct ds_link_owner - callbacks to the owner; embed it first
 * @opened: a session was opened
 * @frame: a frame has arrived; a code other than %BA_OK closes the session
 * @lost: the open session has ended
 */
struct ds_link_owner {
	void (*opened)(struct ds_link_owner *o, struct wi_session *s);
	int (*frame)(struct ds_link_owner *o, struct wi_session *s,
		     const struct wi_frame *f);
	void (*lost)(struct ds_link_owner *o, int code);
};

/**
 * struct ds_link_options - options of a link
 * @addresses: addresses to connect to, in order of preference; copied
 * @n_preferred: number of leading addresses that the link fails back to
 * @seed: seed of the generator for jitter
 */
struct ds_link_options {
	const struct wi_identity *identity;
	const struct ba_address *addresses;
	size_t n_addresses;
	size_t n_preferred;
	uint64_t seed;
};

/** ds_link_new() - create a link and start dialling */
struct ds_link *ds_link_new(struct ba_loop *loop,
			    const struct ds_link_options *options,
			    struct ds_link_owner *owner);

/**
 * ds_link_set_addresses() - use other addresses from now on
 * @n_preferred: number of leading addresses that the link fails back to
 * @move_deadline: when to leave an open session to another address for a
 *	preferred one, %BA_NEVER for no sooner than the link fails back anyway
 *
 * An open session is kept until then, also if its address is not listed.
 */
void ds_link_set_addresses(struct ds_link *l,
			   const struct ba_address *addresses, size_t n,
			   size_t n_preferred, ba_time move_deadline);

/** ds_link_address() - address that is connected, or dialled next */
const char *ds_link_address(const struct ds_link *l);

/** ds_link_session() - return the open session, or NULL */
struct wi_session *ds_link_session(const struct ds_link *l);

/**
 * ds_link_set_stale() - set whether the peer's data are stale
 *
 * A stale peer may be left for another address.
 */
void ds_link_set_stale(struct ds_link *l, bool stale);

/** ds_link_free() - end the session and free the link; NULL is allowed */
void ds_link_free(struct ds_link *l);

#ifdef __cplusplus
}
#endif
#endif
