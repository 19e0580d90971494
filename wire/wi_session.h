/*
 * Sessions between processes of the system: a TCP connection that carries
 * frames, opened by a proof of the shared key and kept by a heartbeat.
 *
 * Rules:
 * - Both ends name the mesh and prove the key before any other frame.
 * - A session whose peer is silent past its deadline is closed, whatever
 *   TCP says; both ends find out by themselves.
 * - What waits to be sent is bounded; a peer that takes too little is
 *   closed and resumes later.
 * - A session belongs to the thread of its loop.
 */
#ifndef WI_SESSION_H
#define WI_SESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"
#include "base/ba_digest.h"
#include "base/ba_loop.h"
#include "base/ba_unit.h"
#include "wire/wi_frame.h"

#ifdef __cplusplus
extern "C" {
#endif

struct wi_session;
struct wi_listener;

struct wi_peer;

/**
 * struct wi_meter - told what open sessions carry and how they end; embed it
 * first
 * @opened: a session with @peer is open
 * @carried: bytes written to and read from @peer since the last call
 * @closed: the session with @peer has ended; @code is the reason
 */
struct wi_meter {
	void (*opened)(struct wi_meter *m, const struct wi_peer *peer);
	void (*carried)(struct wi_meter *m, const struct wi_peer *peer,
			uint64_t sent, uint64_t received);
	void (*closed)(struct wi_meter *m, const struct wi_peer *peer,
		       int code);
};

/** struct wi_operator - an operator's name and key */
struct wi_operator {
	const char *name;
	uint8_t key[BA_KEY_BYTES];
};

/**
 * struct wi_identity - who this process is; outlives its sessions
 * @key_id: "" to prove the key of the mesh, or an operator's name
 * @operators: operators that are admitted, for listeners of a source
 * @meter: told what its sessions carry, or NULL
 */
struct wi_identity {
	const char *mesh;
	const char *instance;
	enum wi_role role;
	const char *data_centre;
	const char *region;
	uint64_t incarnation;
	const char *key_id;
	uint8_t key[BA_KEY_BYTES];
	const struct wi_operator *operators;
	size_t n_operators;
	struct wi_meter *meter;
};

/** struct wi_peer - who the other end proved to be */
struct wi_peer {
	char *instance;
	enum wi_role role;
	char *data_centre;
	char *region;
	uint64_t incarnation;
	char *operator_name;
};

/**
 * struct wi_limits - times and sizes of a session
 * @heartbeat: a ping is sent after this much silence of our own
 * @silence: the peer is dead after this much silence
 * @connecting: the kernel connects within this time, or never
 * @opening: proving takes this long at most
 * @queue_bytes: bytes that may wait to be sent
 */
struct wi_limits {
	ba_time heartbeat;
	ba_time silence;
	ba_time connecting;
	ba_time opening;
	size_t queue_bytes;
};

/*
 * More than a round trip between any two regions, and less than the second
 * after which the kernel repeats its first packet: a host that was starting
 * when it came is dialled again at once.
 */
#define WI_CONNECTING_LIMIT (400 * BA_MS)

/** wi_limits_default - limits for sessions of the control plane */
extern const struct wi_limits wi_limits_default;

/**
 * struct wi_handler - what the owner of a session does; embed it first
 * @opened: the peer has proved its key; may be NULL
 * @frame: a frame arrived; return a result code, other than %BA_OK closes
 * @closed: the session has ended and is freed after the call; @code is the
 *	reason, @retry_after the peer's hint or 0
 */
struct wi_handler {
	void (*opened)(struct wi_handler *h, struct wi_session *s);
	int (*frame)(struct wi_handler *h, struct wi_session *s,
		     const struct wi_frame *f);
	void (*closed)(struct wi_handler *h, struct wi_session *s, int code,
		       ba_time retry_after);
};

/**
 * struct wi_acceptor - the owner of a listener; embed it first
 * @accept: give a new session its handler, or NULL to refuse it
 */
struct wi_acceptor {
	struct wi_handler *(*accept)(struct wi_acceptor *a,
				     struct wi_session *s);
};

/**
 * wi_dial() - open a session to @to
 *
 * Return: the session, never NULL; a failure is told through @h->closed.
 */
struct wi_session *wi_dial(struct ba_loop *loop, const struct ba_address *to,
			   const struct wi_identity *id,
			   const struct wi_limits *limits,
			   struct wi_handler *h);

/**
 * wi_listen() - accept sessions at @at
 * @out: the listener
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int wi_listen(struct ba_loop *loop, const struct ba_address *at,
	      const struct wi_identity *id, const struct wi_limits *limits,
	      struct wi_acceptor *a, struct wi_listener **out);

/** wi_listener_close() - stop accepting; open sessions go on */
void wi_listener_close(struct wi_listener *l);

/**
 * wi_send() - queue a frame
 *
 * Return: %BA_OK, or %WI_QUEUE_FULL, after which the session closes.
 */
int wi_send(struct wi_session *s, int type, const ProtobufCMessage *message);

/** wi_send_raw() - queue a frame whose message is packed already */
int wi_send_raw(struct wi_session *s, int type, const void *data, size_t len);

/** wi_close() - end the session; @closed is called from the loop */
void wi_close(struct wi_session *s, int code);

/** wi_detach() - end the session; its handler is not called any more */
void wi_detach(struct wi_session *s);

/** wi_refuse() - tell the peer why, then end the session */
void wi_refuse(struct wi_session *s, int code, ba_time retry_after);

/** wi_session_peer() - the proved peer; valid from @opened on */
const struct wi_peer *wi_session_peer(const struct wi_session *s);

/** wi_session_sent() - bytes written so far */
uint64_t wi_session_sent(const struct wi_session *s);

/** wi_session_received() - bytes read so far */
uint64_t wi_session_received(const struct wi_session *s);

/** wi_session_waiting() - bytes that wait to be sent */
size_t wi_session_waiting(const struct wi_session *s);

#ifdef __cplusplus
}
#endif
#endif
