/* Heartbeats of backend servers, and the calls of the platform to a proxy. */
#include <string.h>

#include "fuzz/fz.h"
#include "platform/pf.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct px_heartbeat hb;
	char backend[PX_ID_BYTES];
	char *text = malloc(len + 1);

	memcpy(text, data, len);
	text[len] = 0;
	memset(&hb, 0x55, sizeof(hb));
	if (pf_proxy.read_heartbeat(text, len, &hb)) {
		fz_require(memchr(hb.service, 0, sizeof(hb.service)) != NULL,
			   "the service has an end");
		fz_require(hb.cold_time >= 0, "times are not negative");
	}
	memset(backend, 0x55, sizeof(backend));
	if (pf_proxy.read_control("POST", text, backend) != PX_CONTROL_UNKNOWN)
		fz_require(memchr(backend, 0x55, 1) ||
				   memchr(backend, 0, sizeof(backend)),
			   "the backend has an end");
	free(text);
	return 0;
}
