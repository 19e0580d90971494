/*
 * The daemon's side of the departures that are logged: asks for the last one that
 * was acknowledged here, and has the next one logged.
 */
#ifndef DS_DEPARTURE_H
#define DS_DEPARTURE_H

#include "base/ba_loop.h"
#include "endpoint/ep_departures.h"
#include "endpoint/ep_presence.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ds_departure - the departure of the backend server beside a daemon
 * @instance: the daemon; borrowed
 * @session: session to a relay that is used, or NULL
 * @backend: id of @lifetime
 * @lifetime: to be logged while @pending
 */
struct ds_departure {
	struct ba_timer timer;
	struct ba_loop *loop;
	const char *instance;
	struct wi_session *session;
	char backend[EP_ID_BYTES];
	struct ep_lifetime lifetime;
	bool pending;
};

/** ds_departure_init() - nothing to be logged */
void ds_departure_init(struct ds_departure *d, struct ba_loop *loop,
		       const char *instance);

/** ds_departure_stop() - log nothing any more */
void ds_departure_stop(struct ds_departure *d);

/**
 * ds_departure_opened() - use @s from now on
 *
 * Asks for what is logged; the answer, if there is any, is an EP_DEPARTED.
 */
void ds_departure_opened(struct ds_departure *d, struct wi_session *s);

/** ds_departure_lost() - the session has ended */
void ds_departure_lost(struct ds_departure *d);

/**
 * ds_departure_log() - have @l logged; sent again until it is
 *
 * Return: false if the relay is of an older release; nothing was sent then.
 */
bool ds_departure_log(struct ds_departure *d, const struct ep_lifetime *l);

/** ds_departure_logged() - @l is in the log */
void ds_departure_logged(struct ds_departure *d, const struct ep_lifetime *l);

#ifdef __cplusplus
}
#endif
#endif
