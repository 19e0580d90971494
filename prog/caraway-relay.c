#include <signal.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "prog/pr_guard.h"
#include "prog/pr_metrics.h"
#include "relay/re.h"

/* Time from the signal to stop until the process ends in any case. */
#define GRACE_TIME (6 * BA_SECOND)

#define RE_KEY(t, n, k, req, m)                                           \
	{                                                                 \
		t, n, k, req, offsetof(struct re_settings, m), NULL, 0, 0 \
	}

static const struct ba_settings_key keys[] = {
	PR_COMMON_KEYS,
	RE_KEY("relay", "address", BA_KIND_ADDRESS, true, address),
	RE_KEY("relay", "external_address", BA_KIND_ADDRESS, false,
	       external_address),
	RE_KEY("upstream", "sources", BA_KIND_ADDRESSES, true, sources),
	RE_KEY("upstream", "relays", BA_KIND_ADDRESSES, false, upstream_relays),
	RE_KEY("peers", "relays", BA_KIND_ADDRESSES, false, peers),
	{0},
};

static int run(struct re_relay *r);
static void on_signal(int signo, void *arg);

int main(int argc, char **argv)
{
	struct re_settings settings = {0};
	struct wi_identity identity = {0};
	struct re_relay relay = {0};
	int ret = pr_start(argc, argv, WI_RELAY, keys, &settings.common,
			   &identity);

	if (ret >= 0) {
		ba_settings_free(keys, &settings);
		return ret;
	}
	relay.settings = &settings;
	relay.identity = &identity;
	relay.loop = ba_loop_new();
	ret = pr_guard_start(relay.loop, GRACE_TIME, on_signal, &relay);
	if (!ret)
		ret = run(&relay);
	pr_guard_detach();
	ba_loop_free(relay.loop);
	pr_end(keys, &settings.common);
	return ret;
}

static int run(struct re_relay *r)
{
	struct pr_metrics *metrics = NULL;

	if (pr_metrics_start(r->loop, &r->settings->common.metrics_address,
			     &metrics))
		return pr_listen_failed(&r->settings->common.metrics_address);
	if (re_relay_start(r)) {
		pr_metrics_stop(metrics);
		return pr_listen_failed(&r->settings->address);
	}
	ba_event(BA_EV_LISTENING, "address=%s", r->settings->address.text);
	ba_loop_run(r->loop);
	ba_event(BA_EV_STOPPING, "instance=%s", r->identity->instance);
	re_relay_stop(r);
	pr_metrics_stop(metrics);
	return 0;
}

static void on_signal(int signo, void *arg)
{
	struct re_relay *r = arg;

	if (signo == SIGHUP)
		ba_event_reopen();
	else
		ba_loop_stop(r->loop);
}
