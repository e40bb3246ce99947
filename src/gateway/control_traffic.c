#include "gateway/control_traffic.h"

#include "common/event.h"

#include <glib.h>

enum {
    WINDOW_MS = 1000,
    NODE_BYTES_PER_S = 14000, /**< docs/CAPACITY.md: what a node may send for control. */
    OVERRUN = 4000,           /**< Of regular reports while there is no credit. */
    CREDIT_MAX = 2 * NODE_BYTES_PER_S - OVERRUN,
    CREDIT_MIN = -NODE_BYTES_PER_S,   /**< Keeps the pause after too many regular reports short. */
    CREDIT_PRESSING = CREDIT_MAX / 2, /**< The part that is kept for what is pressing. */
};

static void add_credit(control_traffic_t *traffic, uint64_t now) {
    uint64_t ms = now - traffic->credited_at;
    bool full =
        traffic->credited_at == 0 || ms >= (uint64_t)WINDOW_MS * CREDIT_MAX / NODE_BYTES_PER_S;
    int64_t earned = full ? CREDIT_MAX : (int64_t)(ms * NODE_BYTES_PER_S / WINDOW_MS);
    traffic->credit = MIN(CREDIT_MAX, traffic->credit + earned);
    traffic->credited_at = now;
}

/** Logs a window above the rate, and the first one within it again. */
static void end_window(control_traffic_t *traffic, uint64_t ms, uint64_t now) {
    const control_counts_t *begin = &traffic->window;
    const control_counts_t *end = &traffic->counts;
    uint64_t bytes_per_s = (end->bytes - begin->bytes) * WINDOW_MS / ms;
    bool exceeds = bytes_per_s > NODE_BYTES_PER_S;
    if (exceeds || traffic->exceeded)
        event_log(
            GATEWAY_CONTROL_TRAFFIC, bytes_per_s, end->datagrams - begin->datagrams,
            end->urgent_reports - begin->urgent_reports, end->crashes_sent - begin->crashes_sent,
            end->crashes_found - begin->crashes_found, end->crashes_passed - begin->crashes_passed,
            end->crash_lists - begin->crash_lists, ms);
    traffic->exceeded = exceeds;
    traffic->window = traffic->counts;
    traffic->window_began_at = now;
}

void control_traffic_record(control_traffic_t *traffic, unsigned receivers, uint64_t bytes,
                            unsigned crashes, uint64_t now) {
    if (traffic->window_began_at == 0)
        traffic->window_began_at = now;
    uint64_t ms = now - traffic->window_began_at;
    if (ms >= WINDOW_MS)
        end_window(traffic, ms, now);
    add_credit(traffic, now);
    traffic->credit = MAX(CREDIT_MIN, traffic->credit - (int64_t)(receivers * bytes));
    traffic->counts.datagrams += receivers;
    traffic->counts.bytes += receivers * bytes;
    traffic->counts.crashes_sent += (uint64_t)receivers * crashes;
}

int64_t control_traffic_credit(control_traffic_t *traffic, control_priority_t priority,
                               uint64_t now) {
    add_credit(traffic, now);
    return traffic->credit - (priority == CONTROL_PRESSING ? 0 : CREDIT_PRESSING);
}
