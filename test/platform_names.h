/*
 * Names of the users' platform, as their stand-ins write them.
 */
#ifndef PLATFORM_NAMES_H
#define PLATFORM_NAMES_H

#define PN_ATTEMPT_ID "X-Attempt-Id"
#define PN_DEADLINE "X-Deadline-Ms"
#define PN_NOT_EXECUTED "X-Not-Executed"
#define PN_RESPONSE_STAMP "X-Response-Stamp"
#define PN_BASE_VERSION "X-Base-Version"
#define PN_LIMIT "Server-Limit"
#define PN_LEAVING "Server-Leaving"

#define PN_READY_PATH "/v1/ready"
#define PN_HEARTBEAT_PATH "/v1/instances/%s/heartbeat"
#define PN_SUBMIT_PATH "/v1/config/replace"
#define PN_ROLLOUT_PATH "/v1/rollouts/start"

/* Arguments: service, version, duration in ms. */
#define PN_ROLLOUT \
	"{\"service\":\"%s\",\"target_version\":\"%s\",\"duration\":\"%dms\"}"

/* Arguments: service, address, data centre, version, slots, sequence, start in ms. */
#define PN_HEARTBEAT                                              \
	"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\"," \
	"\"version\":\"%s\",\"slots\":%d,\"state\":\"ready\","    \
	"\"cold_left\":\"0ms\",\"sequence\":%" PRIu64 ",\"born\":%" PRId64 "}"

/*
 * Arguments: version, latency target in ms, timeout in ms (both three times)
 * and the number of a route that each version changes.
 */
#define PN_CONFIGURATION                                                    \
	"{\"version\":\"%08x\",\"routes\":{\"columns\":[\"name\",\"host\"," \
	"\"path_prefix\",\"kind\",\"timeout\",\"target_latency\","          \
	"\"priority\",\"attempts\",\"service\"],\"rows\":["                 \
	"[\"r-long\",\"soak.example\",\"/long/\",\"idempotent\","           \
	"\"%dms\",\"%dms\",1,2,\"long\"],"                                  \
	"[\"r-order\",\"soak.example\",\"/order/\",\"non_idempotent\","     \
	"\"%dms\",\"%dms\",1,2,\"long\"],"                                  \
	"[\"r-%d\",\"soak.example\",\"/trial/%d/\",\"idempotent\","         \
	"\"%dms\",\"%dms\",2,2,\"front\"]]},"                               \
	"\"services\":{\"columns\":[\"name\",\"health_path\","              \
	"\"max_connections\",\"protocol\",\"tls\"],\"rows\":["              \
	"[\"front\",\"/health\",130,\"h1\",false],"                         \
	"[\"long\",\"/health\",130,\"h1\",false]]},\"limits\":{"            \
	"\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"           \
	"\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}"

#endif
