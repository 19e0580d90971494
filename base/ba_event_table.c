#include <stddef.h>

#include "base/ba_event.h"

static const struct ba_event_info events[] = {
	[BA_EV_STARTED] = {"started", BA_NOTICE, "The program has started."},
	[BA_EV_STOPPING] = {"stopping", BA_NOTICE,
			    "A graceful stop has begun."},
	[BA_EV_STOPPED] = {"stopped", BA_NOTICE, "The program has stopped."},
	[BA_EV_SETTINGS_REFUSED] =
		{"settings-refused", BA_ERROR,
		 "The settings are wrong; nothing was started."},
	[BA_EV_LISTENING] = {"listening", BA_INFO,
			     "The program listens on an address."},
	[BA_EV_LISTEN_FAILED] = {"listen-failed", BA_ERROR,
				 "The program cannot listen on an address."},
	[BA_EV_LOG_DROPPED] =
		{"log-dropped", BA_WARNING,
		 "Log lines were dropped because the log could not keep up."},
	[BA_EV_LOG_REOPENED] = {"log-reopened", BA_INFO,
				"The log file was reopened."},
	[BA_EV_UNDELIVERED] =
		{"undelivered", BA_WARNING,
		 "A planned stop ended a connection whose other end had not taken all that was written."},
	[BA_EV_STOP_CUT] =
		{"stop-cut", BA_WARNING,
		 "A planned stop had to end before everything was finished; what was left is cut."},
	[BA_EV_CROWDED] =
		{"crowded", BA_WARNING,
		 "Other ends hold more memory or connections than there are for "
		 "them; requests were refused and not run, or connections "
		 "closed.  One line a second at most, with the numbers since "
		 "the last one."},
	[WI_EV_SESSION_OPEN] = {"session-open", BA_INFO,
				"A session with a peer is open."},
	[WI_EV_SESSION_CLOSED] = {"session-closed", BA_INFO,
				  "A session with a peer has ended."},
	[WI_EV_SESSION_REFUSED] = {"session-refused", BA_WARNING,
				   "The session with a peer was refused."},
	[WI_EV_PEER_SILENT] =
		{"peer-silent", BA_WARNING,
		 "A peer was silent past its deadline and the session was closed."},
	[CF_EV_APPLIED] =
		{"config-applied", BA_NOTICE,
		 "A configuration version is in force on this instance."},
	[CF_EV_REFUSED] = {"config-refused", BA_ERROR,
			   "A configuration version was refused as a whole."},
	[RP_EV_ELECTED] = {"elected", BA_NOTICE,
			   "This replica was elected leader for a new term."},
	[RP_EV_DEPOSED] = {"deposed", BA_NOTICE,
			   "This replica is no longer the leader."},
	[RP_EV_ACCEPTED] = {"accepted", BA_NOTICE,
			    "A submission was accepted."},
	[RP_EV_SUBMISSION_REFUSED] = {"submission-refused", BA_NOTICE,
				      "A submission was refused."},
	[RP_EV_RECOVERED] = {"recovered", BA_NOTICE,
			     "The log was recovered from the data folder."},
	[RP_EV_LOG_CUT] =
		{"log-cut", BA_WARNING,
		 "A torn last record, which was never acknowledged, was truncated."},
	[RP_EV_LOG_DAMAGED] =
		{"log-damaged", BA_ERROR,
		 "The log is damaged where records may have been acknowledged."},
	[RP_EV_DISK_FULL] =
		{"disk-full", BA_ERROR,
		 "The disk of the data folder is full; no submission is accepted."},
	[RP_EV_CAUGHT_UP] = {"caught-up", BA_NOTICE,
			     "A replica has caught up and votes."},
	[RP_EV_MEMBERS] = {"members", BA_NOTICE,
			   "The membership of the replica group has changed."},
	[RP_EV_QUORUM_LOST] =
		{"quorum-lost", BA_WARNING,
		 "The leader has lost its quorum and accepts no submission."},
	[RP_EV_ROLLOUT] =
		{"rollout", BA_NOTICE,
		 "A roll-out takes a step, ends, or waits for more than time."},
	[RP_EV_FORMING_WAITS] =
		{"forming-waits", BA_WARNING,
		 "No group has been formed yet, as another founder is waited for."},
	[DS_EV_PUBLISHED] =
		{"published", BA_NOTICE,
		 "A configuration version is being sent to the subscribers."},
	[DS_EV_UPSTREAM] = {"upstream", BA_NOTICE,
			    "A session with an upstream is open."},
	[DS_EV_UPSTREAM_LOST] =
		{"upstream-lost", BA_WARNING,
		 "The session with the upstream has ended; the version held stays in force."},
	[DS_EV_IN_FORCE] = {"in-force", BA_NOTICE,
			    "A configuration version is in force everywhere."},
	[DS_EV_SESSION_DEFERRED] =
		{"session-deferred", BA_INFO,
		 "A peer was refused for now and told when to retry."},
	[DS_EV_CATCH_UP] =
		{"catch-up", BA_INFO,
		 "A peer that was behind is sent the current version in full."},
	[DS_EV_FLOOR] =
		{"floor", BA_INFO,
		 "The lowest version that this instance accepts is known."},
	[DS_EV_OLDER_REFUSED] =
		{"older-refused", BA_WARNING,
		 "A version older than the one held was refused."},
	[DS_EV_PASSED_OVER] =
		{"passed-over", BA_NOTICE,
		 "An upstream opened no session; the next one is dialled."},
	[DS_EV_BEHIND] = {"behind", BA_WARNING,
			  "A newer version than the one in force is known."},
	[EP_EV_JOINED] = {"endpoint-joined", BA_INFO,
			  "An endpoint has announced itself."},
	[EP_EV_LEFT] = {"endpoint-left", BA_INFO, "An endpoint has left."},
	[EP_EV_DRAINING] = {"endpoint-draining", BA_INFO,
			    "An endpoint is draining and gets no new calls."},
	[EP_EV_EXPIRED] = {"endpoint-expired", BA_WARNING,
			   "The lease of an endpoint has expired."},
	[EP_EV_EXPIRY_HELD] =
		{"expiry-held", BA_WARNING,
		 "Most leases expired at once; the endpoints are kept because this instance may be cut off from them."},
	[EP_EV_REFUSED] =
		{"endpoint-refused", BA_WARNING,
		 "A backend server's announcement could not be read."},
	[EP_EV_NOT_LOGGED] =
		{"departure-not-logged", BA_WARNING,
		 "A backend server's departure was not logged in time, and so not acknowledged."},
	[CL_EV_ROUTED] = {"routed", BA_INFO,
			  "A call was routed to an endpoint."},
	[CL_EV_NOT_RUN] =
		{"not-run", BA_INFO,
		 "A call failed without being run by any backend server."},
	[CL_EV_RETRIED] = {"retried", BA_INFO,
			   "A call is tried on another endpoint."},
	[CL_EV_SHED] = {"shed", BA_INFO, "A call was shed by the policy."},
	[CL_EV_EJECTED] = {"ejected", BA_WARNING,
			   "An endpoint was ejected from routing."},
	[CL_EV_RESTORED] = {"restored", BA_NOTICE,
			    "An ejected endpoint gets calls again."},
	[CL_EV_KEY_REFUSED] =
		{"key-refused", BA_NOTICE,
		 "A call was refused because of its idempotency key."},
	[CL_EV_ANSWERED] = {"answered", BA_DEBUG, "A call was answered."},
	[CL_EV_MAY_HAVE_RUN] =
		{"may-have-run", BA_WARNING,
		 "A call ended without an answer and may have run."},
	[CL_EV_LIMIT] =
		{"limit", BA_INFO,
		 "The concurrency limit of a backend server was changed."},
	[CL_EV_BREACH] =
		{"breach", BA_ERROR,
		 "The audit of a call found a promise of the report broken; the field counter names it."},
	[CL_EV_FOREIGN_ANSWER] =
		{"foreign-answer", BA_WARNING,
		 "A backend server sent an answer to an earlier call; it was "
		 "not delivered."},
	[CL_EV_CRASH_SUSPECTED] =
		{"crash-suspected", BA_WARNING,
		 "The backend server has crashed; one of the requests that it "
		 "was running may be the cause."},
	[CL_EV_REQUEST_CONVICTED] =
		{"request-convicted", BA_WARNING,
		 "A request has crashed several backend servers and is refused "
		 "from now on."},
	[CL_EV_ANSWER_HELD] =
		{"answer-held", BA_INFO,
		 "A complete answer waited long for the outgoing link."},
	[CL_EV_BACKEND_LIMIT] =
		{"backend-limit", BA_NOTICE,
		 "The limit that a backend server states was learned, changed, "
		 "dropped or is malformed."},
	[CL_EV_BACKEND_LEAVING] =
		{"backend-leaving", BA_NOTICE,
		 "That a backend server states its departure was learned or "
		 "dropped."},
	[CL_EV_STATED_DROPPED] =
		{"stated-dropped", BA_NOTICE,
		 "The table of what backend servers state was full; what was "
		 "told first was dropped."},
	[CL_EV_ANSWER_CUT] =
		{"answer-cut", BA_WARNING,
		 "An answer that went on past the timeout of its route was "
		 "cut off."},
	[CL_EV_ANSWER_FLAWED] =
		{"answer-flawed", BA_WARNING,
		 "What came in place of an answer is none in the protocol; it "
		 "was not delivered.  The field flaw tells why."},
	[CL_EV_QUOTA_SCARCE] =
		{"quota-scarce", BA_NOTICE,
		 "Tokens of a team began to be lacking at a relay, or are "
		 "there again."},
	[CL_EV_QUOTA_REFUSED] =
		{"quota-refused", BA_NOTICE,
		 "Requests of a team were refused since the last such line "
		 "about it, as there were no tokens."},
	[CL_EV_SERVICE_FULL] =
		{"service-full", BA_WARNING,
		 "Requests were refused where they entered, as the endpoints of "
		 "the service turn such requests away."},
	[RT_EV_DAY_CLOSED] = {"day-closed", BA_NOTICE,
			      "The figures of a day are complete."},
	[RT_EV_FIGURES] = {"figures", BA_DEBUG,
			   "Figures for the report were received."},
};

static const int n_events = sizeof(events) / sizeof(events[0]);

const struct ba_event_info *ba_event_info(int id)
{
	if (id < 0 || id >= n_events || !events[id].name)
		return NULL;
	return &events[id];
}

int ba_event_next(int id)
{
	for (id++; id < n_events; id++)
		if (events[id].name)
			return id;
	return -1;
}
