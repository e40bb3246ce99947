#include "core/retry/come_back.h"

/** What the caller waits at most; told more, it comes back then. */
static uint32_t honoured_ms(const come_back_t *call) {
    return call->time_left_ms / COME_BACK_HONOURED_PART;
}

static uint32_t isolated_ms(const come_back_t *call) {
    if (call->led_ms <= call->lasted_ms)
        return COME_BACK_ELSEWHERE_MS;
    uint32_t wait = call->led_ms - call->lasted_ms;
    if (wait < COME_BACK_SOON_MS)
        return COME_BACK_SOON_MS;
    uint32_t most = honoured_ms(call);
    /* A caller with hardly any time left uses its last try up in any case. */
    most = most < COME_BACK_SOON_MS ? COME_BACK_SOON_MS : most;
    return wait < most ? wait : most;
}

uint32_t come_back_ms(const come_back_t *call) {
    outage_t outage = {.lasts = true, .since = 0};
    switch (call->reason) {
    case COME_BACK_ISOLATED:
        return isolated_ms(call);
    case COME_BACK_OUTAGE:
        return outage_come_back_ms(&outage, call->lasted_ms);
    case COME_BACK_KNOWN:
        return call->known_ms;
    case COME_BACK_SOON:
        break;
    }
    return COME_BACK_SOON_MS;
}
