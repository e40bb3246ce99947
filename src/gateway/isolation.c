/*
 * What a gateway does when its zone is cut off, besides refusing calls that need storage nodes: it
 * says at once that it is not ready, and tells its neighbours. Callers are led elsewhere only on
 * new connections, so once that must be the case, kept ones are ended between two calls: their next
 * call is served elsewhere without a refusal.
 */
#include "gateway/gateway.h"

/** Between two looks for connections that have become idle. */
enum { IDLE_AGAIN_MS = 100 };

static void on_led_elsewhere(uv_timer_t *timer) {
    const gateway_t *gateway = timer->data;
    http_listener_close_idle(gateway->calls);
}

void gateway_watch_zone(gateway_t *gateway) {
    uv_timer_init(gateway->loop, &gateway->led_elsewhere);
    gateway->led_elsewhere.data = gateway;
    store_client_watch_zone(gateway->stores);
    load_sharing_heed_stores(gateway->load_sharing);
}

void gateway_note_zone_cut(void *owner, bool cut) {
    gateway_t *gateway = owner;
    gateway->zone_cut_since = cut ? uv_now(gateway->loop) : 0;
    gateway_check_ready(gateway);
    load_sharing_look_soon(gateway->load_sharing);
    if (cut)
        uv_timer_start(&gateway->led_elsewhere, on_led_elsewhere, GATEWAY_LED_ELSEWHERE_MS,
                       IDLE_AGAIN_MS);
    else
        uv_timer_stop(&gateway->led_elsewhere);
}
