#include "store/store_crashes.h"

static void send_to_gateways(const store_t *store, const crash_report_t *crash, uint64_t now) {
    message_t message;
    message_init(&message, MESSAGE_CRASH);
    message.generation = store->group->generation;
    message.crash = *crash;
    message.age_ms = (uint32_t)(now > crash->at ? now - crash->at : 0);
    GBytes *bytes = message_encode(&message);
    GHashTableIter iterator;
    gpointer serial;
    g_hash_table_iter_init(&iterator, store->gateways.gateways);
    while (g_hash_table_iter_next(&iterator, &serial, NULL))
        frame_connection_send(g_hash_table_lookup(store->connections, serial), g_bytes_ref(bytes));
    g_bytes_unref(bytes);
    message_clear(&message);
}

static void clear_request(store_t *store, const crash_report_t *report, uint64_t now) {
    bool passed_on = crash_history_count(store->crashes, report->request, now) >= CRASHES_NEAR_MAX;
    if (crash_history_clear(store->crashes, report->request, report->at) && passed_on)
        send_to_gateways(store, report, now);
}

void store_handle_crash(store_t *store, const message_t *message) {
    uint64_t now = uv_now(store->loop);
    crash_report_t report = message->crash;
    report.at = now > message->age_ms ? now - message->age_ms : 0;
    if (report.cleared) {
        clear_request(store, &report, now);
        return;
    }
    /* Gateways number alike the crashes of one back end that they don't know from each other. */
    report.number = 0;
    if (!crash_history_add(store->crashes, &report, true) ||
        crash_history_count(store->crashes, report.request, now) < CRASHES_NEAR_MAX)
        return;
    GArray *crashes = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_history_list_request(store->crashes, report.request, now, crashes);
    for (guint i = 0; i < crashes->len; i++)
        send_to_gateways(store, &g_array_index(crashes, crash_report_t, i), now);
    g_array_free(crashes, TRUE);
}
