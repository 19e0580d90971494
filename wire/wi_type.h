/*
 * Frame types, roles and size limits that all sessions share.
 */
#ifndef WI_TYPE_H
#define WI_TYPE_H

enum {
	WI_PROTOCOL = 1,
	WI_NONCE_BYTES = 32,
	WI_FRAME_LIMIT_BYTES = 16 * 1024 * 1024,
	WI_HANDSHAKE_LIMIT_BYTES = 4096,
};

enum wi_role {
	WI_DAEMON = 1,
	WI_RELAY = 2,
	WI_SOURCE = 3,
	WI_OPERATOR = 4,
};

/**
 * enum wi_feature - messages that came after the first release
 *
 * They are sent only to a peer that states them: it ends the session over a frame
 * that it does not know.
 */
enum wi_feature {
	WI_FEATURE_DEPARTURES = 1, /* EP_DEPART, EP_DEPARTED */
	WI_FEATURES = WI_FEATURE_DEPARTURES,
};

/** enum wi_type - type of a frame; the comment names its message */
enum wi_type {
	WI_HELLO = 1,	/* WiHello */
	WI_PROOF = 2,	/* WiProof */
	WI_REFUSAL = 3, /* WiRefusal */
	WI_PING = 4,	/* empty */
	WI_PONG = 5,	/* empty */

	CT_SUBMIT = 20,	 /* CtSubmit */
	CT_OUTCOME = 21, /* CtOutcome */
	CT_QUERY = 22,	 /* CtQuery */
	CT_ANSWER = 23,	 /* CtAnswer */

	RP_MESSAGE = 40,    /* RpMessage */
	RP_FORWARD = 41,    /* RpForward */
	RP_READ = 42,	    /* RpRead */
	RP_READ_REPLY = 43, /* RpReadReply */
	RP_ROSTER = 44,	    /* RpRoster */

	DS_SUBSCRIBE = 60, /* DsSubscribe */
	DS_UPDATE = 61,	   /* DsUpdate */
	DS_ACK = 62,	   /* DsAck */
	DS_ROSTER = 63,	   /* DsRoster */

	EP_ANNOUNCE = 80, /* EpAnnounce */
	EP_UPDATE = 81,	  /* EpUpdate */
	EP_DIGEST = 82,	  /* EpDigest */
	EP_DEPART = 83,	  /* EpDepartures, to the sources */
	EP_DEPARTED = 84, /* EpDepartures, from the sources */

	RT_FIGURES = 100, /* RtFigures */
	RT_BATCH = 101,	  /* RtBatch */
	RT_ACK = 102,	  /* RtAck */
	RT_TALLIES = 103, /* RtTallies */

	CL_REQUEST = 120, /* ClRequest */
	CL_HEAD = 121,	  /* ClHead */
	CL_DATA = 122,	  /* ClData */
	CL_CREDIT = 123,  /* ClCredit */
	CL_CANCEL = 124,  /* ClCancel */

	QT_ASK = 140,	/* QtAsk */
	QT_GRANT = 141, /* QtGrant */
};

#endif
