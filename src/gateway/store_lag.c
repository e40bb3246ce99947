/*
 * Members whose disks lag. Before its response to a reserve, or to a turn that is durable elsewhere
 * (store/turn_spill.h), a member reports a write that its disk has not finished for a while. A disk
 * is expected to take as long again as it has lagged.
 *
 * A refused call would still leave its reserve and settlement in the logs of lagging members. So
 * once a quorum is expected to lag for longer than a caller waits, the call is refused without a
 * request to the members. Some calls are let through, to notice the end of the lag.
 */
#include "gateway/store_client_state.h"

enum { LAG_PROBE_INTERVAL_MS = 200 };

void store_lag_record(member_t *member, const message_t *message) {
    uint64_t now = uv_now(member->client->loop);
    switch (message->type) {
    case MESSAGE_DISK_LAG:
        member->lagging_since = now > message->lag_ms ? now - message->lag_ms : 1;
        member->lag_number = message->number;
        break;
    case RESPONSE_RESERVE:
    case RESPONSE_DURABLE:
        if (member->lag_number != message->number)
            member->lagging_since = 0;
        member->lag_number = 0;
        break;
    default:
        break;
    }
}

bool store_lag_outlasts(const member_t *member, uint64_t deadline) {
    uint64_t now = uv_now(member->client->loop);
    return member->lagging_since > 0 && now + (now - member->lagging_since) >= deadline;
}

bool store_client_disks_lag(store_client_t *client, uint64_t timeout_ms) {
    uint64_t now = uv_now(client->loop);
    unsigned lagging = 0;
    for (guint i = 0; i < client->members->len; i++)
        lagging += store_lag_outlasts(g_ptr_array_index(client->members, i), now + timeout_ms);
    if (lagging <= client->members->len - store_write_quorum(client->members->len))
        return false;
    if (now >= client->lag_probed_at + LAG_PROBE_INTERVAL_MS) {
        client->lag_probed_at = now;
        return false;
    }
    return true;
}
