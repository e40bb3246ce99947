#include "store/store_crashes.h"

#include "common/event.h"

enum {
    /** Longer than a stop and the time after it in which one crash is enough. */
    CRASH_RECORD_RETENTION_MS = 5 * CRASH_RETENTION_MS,
    REPLAYED_MAX = 65536, /**< About 3 MB, while the log is read. */
};

/** A record of the log, to be applied once its age is known. */
typedef struct {
    message_type_t type;
    crash_report_t report;
    uint64_t time; /**< Of the log, in ms. */
} replayed_crash_t;

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

/* Changes of what this node knows. Each returns true if there was one. */

static bool clear_request(store_t *store, const crash_report_t *report, uint64_t now) {
    bool passed_on = crash_history_count(store->crashes, report->request, now) >= CRASHES_NEAR_MAX;
    if (!crash_history_clear(store->crashes, report->request, report->at))
        return false;
    if (passed_on)
        send_to_gateways(store, MESSAGE_CRASH, report, now);
    return true;
}

static bool add_crash(store_t *store, crash_report_t *report, uint64_t now) {
    if (!crash_history_add(store->crashes, report, true))
        return false;
    if (crash_history_count(store->crashes, report->request, now) < CRASHES_NEAR_MAX)
        return true;
    GArray *crashes = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_history_list_request(store->crashes, report->request, now, crashes);
    for (guint i = 0; i < crashes->len; i++)
        send_to_gateways(store, MESSAGE_CRASH, &g_array_index(crashes, crash_report_t, i), now);
    g_array_free(crashes, TRUE);
    return true;
}

/** Removes a crash, also at the gateways if it was passed on. */
static bool withdraw_crash(store_t *store, crash_report_t *report, bool passed_on, uint64_t now) {
    bool near = crash_history_count(store->crashes, report->request, now) >= CRASHES_NEAR_MAX;
    if (!crash_history_remove(store->crashes, report))
        return false;
    if (passed_on || near)
        send_to_gateways(store, MESSAGE_CRASH_WITHDRAWN, report, now);
    return true;
}

static bool note_stop(store_t *store, const crash_report_t *report, uint64_t now) {
    if (!crash_history_note_stop(store->crashes, report))
        return false;
    send_to_gateways(store, MESSAGE_REQUEST_STOPPED, report, now);
    return true;
}

/** Applies a message, from a gateway or from the log. */
static bool apply(store_t *store, message_type_t type, crash_report_t *report, uint64_t now) {
    if (type == MESSAGE_REQUEST_STOPPED)
        return note_stop(store, report, now);
    if (report->cleared)
        return clear_request(store, report, now);
    if (type == MESSAGE_CRASH_WITHDRAWN)
        return withdraw_crash(store, report, false, now);
    return add_crash(store, report, now);
}

/* The log. */

static void on_recorded(void *owner, bool durable, uint32_t segment) {
    store_t *store = owner;
    if (durable)
        turn_table_keep_segment(&store->turns, segment,
                                store_expiry_clock_ms(store) + CRASH_RECORD_RETENTION_MS);
}

static void record_change(store_t *store, message_type_t type, const crash_report_t *report,
                          uint64_t now) {
    message_t record;
    message_init(&record, RECORD_CRASH);
    record.crash_type = type;
    record.crash = *report;
    uint64_t age_ms = now > report->at ? now - report->at : 0;
    uint64_t time = store_expiry_clock_ms(store);
    record.time = time > age_ms ? time - age_ms : 0;
    store_append_record(store, message_encode(&record), on_recorded, store);
    message_clear(&record);
}

void store_replay_crash(store_t *store, uint32_t segment, const message_t *record) {
    if (store->replayed_crashes == NULL)
        store->replayed_crashes = g_array_new(FALSE, FALSE, sizeof(replayed_crash_t));
    GArray *crashes = store->replayed_crashes;
    if (crashes->len >= REPLAYED_MAX)
        g_array_remove_range(crashes, 0, REPLAYED_MAX / 2);
    const replayed_crash_t crash = {record->crash_type, record->crash, record->time};
    g_array_append_val(crashes, crash);
    turn_table_keep_segment(&store->turns, segment, record->time + CRASH_RECORD_RETENTION_MS);
}

void store_crashes_replayed(store_t *store) {
    GArray *crashes = store->replayed_crashes;
    uint64_t now = uv_now(store->loop), time = store_expiry_clock_ms(store);
    store->replayed_crashes = NULL;
    for (guint i = 0; crashes != NULL && i < crashes->len; i++) {
        replayed_crash_t *crash = &g_array_index(crashes, replayed_crash_t, i);
        uint64_t age_ms = time > crash->time ? time - crash->time : 0;
        /* The loop's clock may have begun after the crash. */
        crash->report.at = now > age_ms ? now - age_ms : 1;
        if (age_ms < CRASH_RECORD_RETENTION_MS)
            apply(store, crash->type, &crash->report, now);
    }
    if (crashes != NULL)
        g_array_free(crashes, TRUE);
}

static void send_all(const store_t *store, frame_connection_t *connection, message_type_t type,
                     const GArray *reports, uint64_t now) {
    for (guint i = 0; i < reports->len; i++)
        frame_connection_send(
            connection,
            encode_report(store, type, &g_array_index(reports, crash_report_t, i), now));
}

static void send_known(const store_t *store, frame_connection_t *connection, uint64_t request,
                       uint64_t now) {
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_report_t stop;
    crash_history_list_request(store->crashes, request, now, reports);
    send_all(store, connection, MESSAGE_CRASH, reports, now);
    g_array_set_size(reports, 0);
    if (crash_history_find_stop(store->crashes, request, now, &stop))
        g_array_append_val(reports, stop);
    send_all(store, connection, MESSAGE_REQUEST_STOPPED, reports, now);
    g_array_free(reports, TRUE);
}

/* Messages of gateways. */

void store_handle_crash(store_t *store, const message_t *message) {
    uint64_t now = uv_now(store->loop);
    crash_report_t report = message->crash;
    report.at = now > message->age_ms ? now - message->age_ms : 0;
    report.silent = message->type == MESSAGE_CRASH_SILENT;
    /* Gateways number alike the crashes of one back end that they don't know from each other. */
    if (message->type != MESSAGE_CRASH_KNOWN && message->type != MESSAGE_REQUEST_STOPPED)
        report.number = 0;
    if (apply(store, message->type, &report, now))
        record_change(store, message->type, &report, now);
}

/** Counts the open sends of the caller's earlier attempts, whose gateways have not ended them. */
static void count_open_sends(store_t *store, const message_t *request, uint64_t now) {
    GArray *crashes = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    open_sends_count(store->sends, request->crash.request, request->send, now, crashes);
    for (guint i = 0; i < crashes->len; i++) {
        crash_report_t *crash = &g_array_index(crashes, crash_report_t, i);
        if (add_crash(store, crash, now))
            record_change(store, MESSAGE_CRASH, crash, now);
        event_log(STORE_SEND_COUNTED, crash->request, now - crash->at,
                  crash_history_count(store->crashes, crash->request, now));
    }
    g_array_free(crashes, TRUE);
}

void store_handle_send(store_t *store, frame_connection_t *connection, const message_t *request) {
    uint64_t now = uv_now(store->loop);
    count_open_sends(store, request, now);
    open_sends_begin(store->sends, request->crash.request, request->send, now);
    if (crash_history_count(store->crashes, request->crash.request, now) > 0)
        send_known(store, connection, request->crash.request, now);
    if (request->number == 0)
        return;
    message_t response;
    message_init(&response, RESPONSE_SEND);
    response.number = request->number;
    response.generation = store->group->generation;
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
}

void store_end_send(store_t *store, uint64_t send) {
    uint64_t now = uv_now(store->loop);
    crash_report_t crash;
    if (open_sends_end(store->sends, send, &crash) && withdraw_crash(store, &crash, true, now))
        record_change(store, MESSAGE_CRASH_WITHDRAWN, &crash, now);
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
