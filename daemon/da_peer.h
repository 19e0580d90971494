/*
 * Attempts at other daemons: one session to each, which carries many calls.
 *
 * Rules:
 * - Answers are matched by the id of the call, never by order.
 * - While calls wait for their answers, a peer that sends nothing is asked
 *   for a sign of life, and given up when none comes.
 * - A session without calls is closed after a while.
 * - Of each answer no more is on its way than its owner has room for.
 */
#ifndef DA_PEER_H
#define DA_PEER_H

#include "base/ba_loop.h"
#include "daemon/da_fetch.h"
#include "wire/wi_session.h"

struct da_peers;

enum {
	DA_PEER_CREDIT_BYTES = 256 * 1024,
	DA_PEER_CHUNK_BYTES = 16 * 1024,
};

/** da_peer_limits - times and sizes of sessions that carry calls */
extern const struct wi_limits da_peer_limits;

/** da_peers_new() - sessions on @loop, none open yet */
struct da_peers *da_peers_new(struct ba_loop *loop,
			      const struct wi_identity *id);

/** da_peers_close() - end all sessions; before the loop stops */
void da_peers_close(struct da_peers *p);

/** da_peers_free() - free them; no session may be open */
void da_peers_free(struct da_peers *p);

/** da_peers_fetch() - start an attempt at the daemon at @address */
struct da_fetch *da_peers_fetch(struct da_peers *p, const char *address,
				const struct da_request *q,
				struct da_fetch_owner *o);

#endif
