/*
 * A session to one of several addresses, opened again whenever it ends.
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
 * struct ds_link_owner - what the owner does; embed it first
 * @opened: a session is open
 * @frame: a frame arrived; a code other than %BA_OK closes the session
 * @lost: the open session has ended
 */
struct ds_link_owner {
	void (*opened)(struct ds_link_owner *o, struct wi_session *s);
	int (*frame)(struct ds_link_owner *o, struct wi_session *s,
		     const struct wi_frame *f);
	void (*lost)(struct ds_link_owner *o, int code);
};

/**
 * struct ds_link_options - how a link runs
 * @addresses: where to connect, in order of preference; copied
 * @n_preferred: how many of the first to go back to when possible
 */
struct ds_link_options {
	const struct wi_identity *identity;
	const struct ba_address *addresses;
	size_t n_addresses;
	size_t n_preferred;
	uint64_t seed;
};

/** ds_link_new() - start dialling */
struct ds_link *ds_link_new(struct ba_loop *loop,
			    const struct ds_link_options *options,
			    struct ds_link_owner *owner);

/** ds_link_session() - the open session, or NULL */
struct wi_session *ds_link_session(const struct ds_link *l);

/** ds_link_stale() - if the peer's data are stale, another may be chosen */
void ds_link_stale(struct ds_link *l, bool stale);

/** ds_link_free() - end the session and free the link; NULL is allowed */
void ds_link_free(struct ds_link *l);

#ifdef __cplusplus
}
#endif
#endif
