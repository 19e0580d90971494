/*
 * Sessions between processes of the system: a TCP connection that carries
 * frames, opened by a handshake that proves the shared key and kept alive by a
 * heartbeat.
 *
 * Rules:
 * - Both ends send the name of the mesh and prove the key before any other
 *   frame.
 * - A session whose peer is silent for the silence timeout is closed, even if
 *   the TCP connection is intact; each end detects this by itself.
 * - The send queue is bounded; a session whose peer reads too slowly is
 *   closed, and the peer resumes over a new session later.
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
 * struct wi_meter - callbacks that count sessions and their traffic; embed it
 * as first member
 * @opened: a session with @peer is open
 * @transferred: bytes written to and read from @peer since the last call
 * @closed: the session with @peer has ended; @code is the reason
 */
struct wi_meter {
	void (*opened)(struct wi_meter *m, const struct wi_peer *peer);
	void (*transferred)(struct wi_meter *m, const struct wi_peer *peer,
			    uint64_t sent, uint64_t received);
	void (*closed)(struct wi_meter *m, const struct wi_peer *peer,
		       int code);
};

/** struct wi_operator - name and key of an operator */
struct wi_operator {
	const char *name;
	uint8_t key[BA_KEY_BYTES];
};

/**
 * struct wi_identity - identity of this process; outlives its sessions
 * @incarnation: wall time of the process start, in microseconds
 * @features: bits of enum wi_feature
 * @key_id: "" to prove the key of the mesh, or the name of an operator
 * @key: key of the mesh, or the operator's key
 * @operators: operators that are admitted, for listeners of a source
 * @meter: receives the traffic of the sessions, or NULL
 */
struct wi_identity {
	const char *mesh;
	const char *instance;
	enum wi_role role;
	const char *data_centre;
	const char *region;
	uint64_t incarnation;
	uint32_t features;
	const char *key_id;
	uint8_t key[BA_KEY_BYTES];
	const struct wi_operator *operators;
	size_t n_operators;
	struct wi_meter *meter;
};

/**
 * struct wi_peer - authenticated identity of the other end
 * @features: bits of enum wi_feature
 * @operator_name: name of the operator whose key was proved, "" for the key of
 *	the mesh
 */
struct wi_peer {
	char *instance;
	enum wi_role role;
	char *data_centre;
	char *region;
	uint64_t incarnation;
	uint32_t features;
	char *operator_name;
};

/**
 * struct wi_limits - time and size limits of a session
 * @heartbeat_interval: a ping is sent after nothing was sent for this time
 * @silence_timeout: the peer is considered dead if nothing was received for
 *	this time
 * @connect_timeout: time limit for the TCP connection
 * @handshake_timeout: time limit for the handshake
 * @max_queue_bytes: size limit of the send queue
 */
struct wi_limits {
	ba_time heartbeat_interval;
	ba_time silence_timeout;
	ba_time connect_timeout;
	ba_time handshake_timeout;
	size_t max_queue_bytes;
};

/*
 * More than a round trip between any two regions, and less than the second
 * after which the kernel retransmits the SYN: a host that was still starting
 * when the SYN arrived is dialled again without waiting for that.
 */
#define WI_CONNECT_TIMEOUT (400 * BA_MS)

/** wi_limits_default - limits of control plane sessions */
extern const struct wi_limits wi_limits_default;

/**
 * struct wi_handler - callbacks of a session's owner; embed it as first member
 * @opened: the peer has proved its key; may be NULL
 * @frame: a frame was received; a result code other than %BA_OK closes the
 *	session
 * @closed: the session has ended and is freed after the call; @code is the
 *	reason, @retry_after the delay that the peer asks for, or 0
 */
struct wi_handler {
	void (*opened)(struct wi_handler *h, struct wi_session *s);
	int (*frame)(struct wi_handler *h, struct wi_session *s,
		     const struct wi_frame *f);
	void (*closed)(struct wi_handler *h, struct wi_session *s, int code,
		       ba_time retry_after);
};

/**
 * struct wi_acceptor - owner of a listener; embed it as first member
 * @accept: return the handler of a new session, or NULL to refuse it
 */
struct wi_acceptor {
	struct wi_handler *(*accept)(struct wi_acceptor *a,
				     struct wi_session *s);
};

/**
 * wi_dial() - open a session to @to
 *
 * Return: the session, never NULL; a failure is reported through @h->closed.
 */
struct wi_session *wi_dial(struct ba_loop *loop, const struct ba_address *to,
			   const struct wi_identity *id,
			   const struct wi_limits *limits,
			   struct wi_handler *h);

/**
 * wi_listen() - accept sessions at @at
 * @out: set to the new listener
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int wi_listen(struct ba_loop *loop, const struct ba_address *at,
	      const struct wi_identity *id, const struct wi_limits *limits,
	      struct wi_acceptor *a, struct wi_listener **out);

/** wi_listener_close() - stop accepting; open sessions continue */
void wi_listener_close(struct wi_listener *l);

/**
 * wi_send() - queue a frame
 *
 * Return: %BA_OK, or %WI_QUEUE_FULL, after which the session closes.
 */
int wi_send(struct wi_session *s, int type, const ProtobufCMessage *message);

/** wi_send_packed() - queue a frame with a packed message */
int wi_send_packed(struct wi_session *s, int type, const void *data,
		   size_t len);

/**
 * wi_flush() - write the queued frames now, not at the end of the iteration
 *
 * For frames that others wait for while this process is about to be busy.
 */
void wi_flush(struct wi_session *s);

/** wi_session_heard_at() - when something was received last */
ba_time wi_session_heard_at(const struct wi_session *s);

/** wi_close() - end the session; @closed is called later, from the loop */
void wi_close(struct wi_session *s, int code);

/**
 * wi_finish() - send what is queued, then end the session when the peer ends it
 *
 * The peer sees the end of the connection after it has read everything, and
 * closes its side.  The caller bounds the wait and calls wi_close() at its end.
 */
void wi_finish(struct wi_session *s);

/** wi_detach() - end the session without calling its handler again */
void wi_detach(struct wi_session *s);

/** wi_refuse() - send the reason to the peer, then end the session */
void wi_refuse(struct wi_session *s, int code, ba_time retry_after);

/** wi_session_peer() - return the authenticated peer; valid from @opened on */
const struct wi_peer *wi_session_peer(const struct wi_session *s);

/** wi_session_sent() - return the number of bytes written so far */
uint64_t wi_session_sent(const struct wi_session *s);

/** wi_session_received() - return the number of bytes read so far */
uint64_t wi_session_received(const struct wi_session *s);

/** wi_session_queued() - return the size of the send queue in bytes */
size_t wi_session_queued(const struct wi_session *s);

/**
 * wi_session_unacknowledged() - return the number of bytes that are queued or
 * not yet acknowledged by the peer's kernel
 */
size_t wi_session_unacknowledged(const struct wi_session *s);

#ifdef __cplusplus
}
#endif
#endif
