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
    uint64_t send; /**< Of a REQUEST_SEND or MESSAGE_SEND_ENDED. */
    uint64_t time; /**< Of the log, in ms. */
} replayed_crash_t;

/** An answer that waits for its send to be on disk. */
typedef struct {
    store_t *store;
    uint64_t connection_serial;
    uint64_t number;
} awaited_send_t;

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

static GBytes *encode_record(store_t *store, message_type_t type, const crash_report_t *report,
                             uint64_t send, uint64_t now) {
    message_t record;
    message_init(&record, RECORD_CRASH);
    record.crash_type = type;
    record.crash = *report;
    record.send = send;
    uint64_t age_ms = now > report->at ? now - report->at : 0;
    uint64_t time = store_expiry_clock_ms(store);
    record.time = time > age_ms ? time - age_ms : 0;
    GBytes *bytes = message_encode(&record);
    message_clear(&record);
    return bytes;
}

static void record_change(store_t *store, message_type_t type, const crash_report_t *report,
                          uint64_t now) {
    store_append_record(store, encode_record(store, type, report, 0, now), on_recorded, store);
}

void store_replay_crash(store_t *store, uint32_t segment, const message_t *record) {
    if (store->replayed_crashes == NULL)
        store->replayed_crashes = g_array_new(FALSE, FALSE, sizeof(replayed_crash_t));
    GArray *crashes = store->replayed_crashes;
    if (crashes->len >= REPLAYED_MAX)
        g_array_remove_range(crashes, 0, REPLAYED_MAX / 2);
    const replayed_crash_t crash = {record->crash_type, record->crash, record->send, record->time};
    g_array_append_val(crashes, crash);
    turn_table_keep_segment(&store->turns, segment, record->time + CRASH_RECORD_RETENTION_MS);
}

static void apply_replayed(store_t *store, replayed_crash_t *crash, uint64_t now) {
    ended_send_t ended;
    if (crash->type == REQUEST_SEND)
        open_sends_begin(store->sends, crash->report.request, crash->send, 0, true,
                         crash->report.at);
    else if (crash->type == MESSAGE_SEND_ENDED)
        open_sends_end(store->sends, crash->send, &ended);
    else
        apply(store, crash->type, &crash->report, now);
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
            apply_replayed(store, crash, now);
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

/** Sends what calls of other gateways have left of the request, and back ends may still run. */
static void send_left(const store_t *store, frame_connection_t *connection, uint64_t request,
                      uint64_t now) {
    GArray *list = g_array_new(FALSE, FALSE, sizeof(left_send_report_t));
    open_sends_list_left(store->sends, request, *frame_connection_serial(connection), now, list);
    for (guint i = 0; i < list->len; i++) {
        const left_send_report_t *left = &g_array_index(list, left_send_report_t, i);
        if (crash_history_knows(store->crashes, request, left->backend, left->at, now))
            continue;
        message_t message;
        message_init(&message, MESSAGE_SEND_LEFT);
        message.generation = store->group->generation;
        message.crash.request = left->request;
        message.crash.backend = left->backend;
        message.send = left->send;
        message.wait_ms = (uint32_t)(left->until - now);
        frame_connection_send(connection, message_encode(&message));
        message_clear(&message);
    }
    g_array_free(list, TRUE);
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
static void count_open_sends(store_t *store, const message_t *request, uint64_t gateway,
                             uint64_t now) {
    GArray *crashes = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    open_sends_count(store->sends, request->crash.request, request->send, gateway, now, crashes);
    for (guint i = 0; i < crashes->len; i++) {
        crash_report_t *crash = &g_array_index(crashes, crash_report_t, i);
        if (add_crash(store, crash, now))
            record_change(store, MESSAGE_CRASH, crash, now);
        event_log(STORE_SEND_COUNTED, crash->request, now - crash->at,
                  crash_history_count(store->crashes, crash->request, now));
    }
    g_array_free(crashes, TRUE);
}

static void answer_send(const store_t *store, frame_connection_t *connection, uint64_t number) {
    if (number == 0)
        return;
    message_t response;
    message_init(&response, RESPONSE_SEND);
    response.number = number;
    response.generation = store->group->generation;
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
}

static void on_send_recorded(void *owner, bool durable, uint32_t segment) {
    awaited_send_t *awaited = owner;
    store_t *store = awaited->store;
    on_recorded(store, durable, segment);
    frame_connection_t *connection =
        g_hash_table_lookup(store->connections, &awaited->connection_serial);
    if (connection != NULL)
        answer_send(store, connection, awaited->number);
    g_free(awaited);
}

/** Writes a send of a request that may end back ends to the log, and answers it then. */
static void record_send(store_t *store, const frame_connection_t *connection,
                        const message_t *request, uint64_t now) {
    awaited_send_t *awaited = g_new0(awaited_send_t, 1);
    *awaited = (awaited_send_t){store, *frame_connection_serial(connection), request->number};
    const crash_report_t report = {.request = request->crash.request, .at = now};
    store_append_record(store, encode_record(store, REQUEST_SEND, &report, request->send, now),
                        on_send_recorded, awaited);
}

void store_handle_send(store_t *store, frame_connection_t *connection, const message_t *request) {
    uint64_t now = uv_now(store->loop), gateway = *frame_connection_serial(connection);
    count_open_sends(store, request, gateway, now);
    bool suspect = crash_history_count(store->crashes, request->crash.request, now) > 0;
    bool begun = open_sends_begin(store->sends, request->crash.request, request->send, gateway,
                                  suspect, now);
    if (suspect) {
        send_known(store, connection, request->crash.request, now);
        send_left(store, connection, request->crash.request, now);
    }
    if (suspect && begun)
        record_send(store, connection, request, now);
    else
        answer_send(store, connection, request->number);
}

void store_handle_send_left(store_t *store, const frame_connection_t *connection,
                            const message_t *message) {
    uint64_t now = uv_now(store->loop);
    crash_report_t crash;
    const left_send_report_t left = {
        .request = message->crash.request,
        .send = message->send,
        .backend = message->crash.backend,
        .gateway = *frame_connection_serial(connection),
        .at = now,
        .until = now + message->wait_ms,
    };
    bool counted = open_sends_leave(store->sends, &left, now, &crash);
    if (counted && withdraw_crash(store, &crash, true, now))
        record_change(store, MESSAGE_CRASH_WITHDRAWN, &crash, now);
}

void store_end_send(store_t *store, uint64_t send) {
    uint64_t now = uv_now(store->loop);
    ended_send_t ended;
    if (!open_sends_end(store->sends, send, &ended))
        return;
    if (ended.counted && withdraw_crash(store, &ended.crash, true, now))
        record_change(store, MESSAGE_CRASH_WITHDRAWN, &ended.crash, now);
    if (ended.logged)
        store_append_record(store,
                            encode_record(store, MESSAGE_SEND_ENDED, &ended.crash, send, now),
                            on_recorded, store);
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
