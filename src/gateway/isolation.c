/*
 * Handles the isolation of this gateway's zone, besides the refusal of calls that need storage
 * nodes. The gateway at once reports that it is not ready and notifies its peers. Only new
 * connections of callers are redirected to other zones, so once redirection should be in effect,
 * kept-alive connections are closed when they are idle: the next call is served elsewhere without
 * being refused.
 */
#include "gateway/gateway.h"

/** Time between two checks for connections that have become idle. */
enum { IDLE_CHECK_INTERVAL_MS = 100 };

static void close_idle_connections(uv_timer_t *timer) {
    const gateway_t *gateway = timer->data;
    http_listener_close_idle(gateway->calls);
}

void gateway_watch_isolation(gateway_t *gateway) {
    uv_timer_init(gateway->loop, &gateway->idle_close_timer);
    gateway->idle_close_timer.data = gateway;
    store_client_enable_isolation_check(gateway->stores);
    load_sharing_watch_stores(gateway->load_sharing);
}

void gateway_on_zone_isolation(void *owner, bool isolated) {
    gateway_t *gateway = owner;
    gateway->zone_isolated_since = isolated ? uv_now(gateway->loop) : 0;
    gateway_check_ready(gateway);
    load_sharing_check_soon(gateway->load_sharing);
    if (isolated)
        uv_timer_start(&gateway->idle_close_timer, close_idle_connections,
                       GATEWAY_REDIRECT_DELAY_MS, IDLE_CHECK_INTERVAL_MS);
    else
        uv_timer_stop(&gateway->idle_close_timer);
}
