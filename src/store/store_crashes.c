#include "store/store_crashes.h"

static GBytes *encode_report(const store_t *store, message_type_t type,
                             const crash_report_t *report, uint64_t now) {
    message_t message;
    message_init(&message, type);
    message.generation = store->group->generation;
    message.crash = *report;
    message.age_ms = (uint32_t)(now > report->at ? now - report->at : 0);
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    return bytes;
}

static void send_to_gateways(const store_t *store, message_type_t type,
                             const crash_report_t *report, uint64_t now) {
    GBytes *bytes = encode_report(store, type, report, now);
    GHashTableIter iterator;
    gpointer serial;
    g_hash_table_iter_init(&iterator, store->gateways.gateways);
    while (g_hash_table_iter_next(&iterator, &serial, NULL))
        frame_connection_send(g_hash_table_lookup(store->connections, serial), g_bytes_ref(bytes));
    g_bytes_unref(bytes);
}

static void clear_request(store_t *store, const crash_report_t *report, uint64_t now) {
    bool passed_on = crash_history_count(store->crashes, report->request, now) >= CRASHES_NEAR_MAX;
    if (crash_history_clear(store->crashes, report->request, report->at) && passed_on)
        send_to_gateways(store, MESSAGE_CRASH, report, now);
}

static void add_crash(store_t *store, crash_report_t *report, uint64_t now) {
    if (!crash_history_add(store->crashes, report, true) ||
        crash_history_count(store->crashes, report->request, now) < CRASHES_NEAR_MAX)
        return;
    GArray *crashes = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_history_list_request(store->crashes, report->request, now, crashes);
    for (guint i = 0; i < crashes->len; i++)
        send_to_gateways(store, MESSAGE_CRASH, &g_array_index(crashes, crash_report_t, i), now);
    g_array_free(crashes, TRUE);
}

/** Removes a crash, also at the gateways if it was passed on. */
static void withdraw_crash(store_t *store, crash_report_t *report, uint64_t now) {
    bool passed_on = crash_history_count(store->crashes, report->request, now) >= CRASHES_NEAR_MAX;
    if (crash_history_remove(store->crashes, report) && passed_on)
        send_to_gateways(store, MESSAGE_CRASH_WITHDRAWN, report, now);
}

void store_handle_crash(store_t *store, const message_t *message) {
    uint64_t now = uv_now(store->loop);
    crash_report_t report = message->crash;
    report.at = now > message->age_ms ? now - message->age_ms : 0;
    if (message->type == MESSAGE_REQUEST_STOPPED) {
        if (crash_history_note_stop(store->crashes, &report))
            send_to_gateways(store, MESSAGE_REQUEST_STOPPED, &report, now);
        return;
    }
    if (report.cleared) {
        clear_request(store, &report, now);
        return;
    }
    /* Gateways number alike the crashes of one back end that they don't know from each other. */
    if (message->type != MESSAGE_CRASH_KNOWN)
        report.number = 0;
    report.silent = message->type == MESSAGE_CRASH_SILENT;
    if (message->type == MESSAGE_CRASH_WITHDRAWN) {
        withdraw_crash(store, &report, now);
        return;
    }
    add_crash(store, &report, now);
}

static void send_all(const store_t *store, frame_connection_t *connection, message_type_t type,
                     const GArray *reports, uint64_t now) {
    for (guint i = 0; i < reports->len; i++)
        frame_connection_send(
            connection,
            encode_report(store, type, &g_array_index(reports, crash_report_t, i), now));
}

void store_send_crashes(const store_t *store, frame_connection_t *connection) {
    uint64_t now = uv_now(store->loop);
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_history_list(store->crashes, now, CRASHES_SENT_MAX, reports);
    send_all(store, connection, MESSAGE_CRASH, reports, now);
    g_array_set_size(reports, 0);
    crash_history_list_stops(store->crashes, now, CRASHES_SENT_MAX, reports);
    send_all(store, connection, MESSAGE_REQUEST_STOPPED, reports, now);
    g_array_free(reports, TRUE);
}
