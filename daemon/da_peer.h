/*
 * Attempts at other daemons, multiplexed over one session to each.
 *
 * Rules:
 * - Answers are matched to calls by id, never by order.
 * - While calls wait for answers, a peer that sends nothing is pinged, and the
 *   session is closed if the peer stays silent.
 * - A session that carries no calls is closed after an idle time.
 * - Credit bounds the bytes in flight of each answer, so that its owner can
 *   buffer them.
 */
#ifndef DA_PEER_H
#define DA_PEER_H

#include "base/ba_loop.h"
#include "daemon/da_fetch.h"
#include "wire/wi_session.h"

struct da_peers;

/*
 * DA_PEER_CREDIT_BYTES is the credit of an answer when its request is sent, and
 * the upper bound of its credit.  DA_PEER_CHUNK_BYTES bounds the bytes of the
 * body in one frame.
 */
enum {
	DA_PEER_CREDIT_BYTES = 256 * 1024,
	DA_PEER_CHUNK_BYTES = 16 * 1024,
};

/** da_peer_limits - time and size limits of sessions between daemons */
extern const struct wi_limits da_peer_limits;

/** da_peers_new() - create a client on @loop, without sessions */
struct da_peers *da_peers_new(struct ba_loop *loop,
			      const struct wi_identity *id);

/** da_peers_close() - close all sessions; called before the loop stops */
void da_peers_close(struct da_peers *p);

/** da_peers_free() - free the client; no session may be open */
void da_peers_free(struct da_peers *p);

/** da_peers_fetch() - start an attempt at the daemon at @address */
struct da_fetch *da_peers_fetch(struct da_peers *p, const char *address,
				const struct da_request *q,
				struct da_fetch_owner *o);

#endif
