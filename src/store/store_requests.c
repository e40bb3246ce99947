/*
 * Handles requests of gateways and of other members.
 *
 * A write is refused if its sender's generation is outdated, on receipt and again after the sync:
 * a member that has sent its records to another one under a later generation must not acknowledge
 * writes of an earlier one. A reserve is answered twice: at once with a summary of the program's
 * charges, and again when it is on disk. The sender decides over a quorum whether the budget
 * allows it.
 *
 * Failures: requests for which there is no space are refused (store_space.c). A member that is not
 * complete answers "unsure" instead of "not found" and accepts no reserves, but it stores turns
 * and so still reports whether there is space for one.
 */
#include "store/store.h"

#include "common/event.h"
#include "store/store_crashes.h"
#include "store/store_directory.h"
#include "store/store_gateways.h"

#include <string.h>
#include <xxhash.h>

enum {
    MS_PER_S = 1000,
    ADMISSION_LOG_LINES_MAX = 20, /**< Per ADMISSION_LOG_PERIOD_MS. */
    ADMISSION_LOG_PERIOD_MS = 1000,
    MISSING_ANCESTOR_LOG_MS = 1000, /**< Between two lines. */
};

/** A pending write. */
typedef struct {
    store_t *store;
    uint64_t connection_serial; /**< Of the requester; 0: no response is expected. */
    uint64_t number;
    uint64_t generation;
    uint64_t received_at;    /**< Loop time, ms. */
    turn_t turn;             /**< Empty if a charge is written. */
    spilled_turn_t *spilled; /**< The turn while the disk does not have it; NULL: not watched. */
    bool confirmed;          /**< The key-value service has the turn; the requester was answered. */
    budget_charge_t charge;  /**< The charge as written; empty if a turn is. */
    void (*done)(void *owner, bool durable);
    void *owner;
} write_t;

static void on_write_done(void *owner, bool durable, uint32_t segment);

static uint64_t now(const store_t *store) {
    return uv_now(store->loop);
}

static void send_response(frame_connection_t *connection, message_type_t type, uint64_t number,
                          uint64_t generation, verdict_t verdict) {
    message_t message;
    message_init(&message, type);
    message.number = number;
    message.generation = generation;
    message.verdict = verdict;
    frame_connection_send(connection, message_encode(&message));
    message_clear(&message);
}

/** A message of its own, which gateways that do not know it ignore. */
static void send_disk_lag(store_t *store, frame_connection_t *connection, uint64_t number) {
    uint32_t lag_ms = store_disk_lag_ms(store);
    if (lag_ms == 0)
        return;
    message_t message;
    message_init(&message, MESSAGE_DISK_LAG);
    message.number = number;
    message.generation = store->group->generation;
    message.lag_ms = lag_ms;
    frame_connection_send(connection, message_encode(&message));
    message_clear(&message);
}

/** The connection that the write was received on; NULL if it is closed. */
static frame_connection_t *requester_connection(const write_t *write) {
    return g_hash_table_lookup(write->store->connections, &write->connection_serial);
}

/** Verdict of the response to a finished write; unsure if this member may lack records. */
static verdict_t durable_verdict(const store_t *store, bool durable) {
    if (!durable)
        return VERDICT_NO;
    return store_is_complete(store) ? VERDICT_YES : VERDICT_UNSURE;
}

static void write_charge_again(void *user, const budget_charge_t *charge) {
    store_t *store = user;
    if (!charge->durable)
        return;
    message_t record;
    message_init(&record, RECORD_CHARGE);
    record.charge = budget_charge_copy(charge);
    write_t *write = g_new0(write_t, 1);
    write->store = store;
    write->charge = budget_charge_copy(charge);
    store_append_record(store, message_encode(&record), on_write_done, write);
    message_clear(&record);
}

/**
 * A program may go on for longer than the log keeps its first charges: they are written again while
 * it does.
 */
static void mark_charge_durable(store_t *store, const budget_charge_t *charge, uint32_t segment) {
    uint64_t time = store_expiry_clock_ms(store);
    budget_table_mark_durable(&store->budgets, charge);
    turn_table_keep_segment(&store->turns, segment, time + BUDGET_RECORD_RETENTION_MS);
    uint64_t before = time < BUDGET_REWRITE_AGE_MS ? 0 : time - BUDGET_REWRITE_AGE_MS;
    if (budget_table_begin_rewrite(&store->budgets, charge->program, before, time))
        budget_table_each(&store->budgets, charge->program, write_charge_again, store);
}

/** Registers the write of a turn, unless the same turn is already being written. */
static void add_pending_turn(store_t *store, write_t *write) {
    store->pending_turn_bytes += turn_memory_bytes(&write->turn);
    if (!g_hash_table_contains(store->pending_turns, write->turn.id))
        g_hash_table_insert(store->pending_turns, write->turn.id, write);
}

static void remove_pending_turn(store_t *store, const write_t *write) {
    store->pending_turn_bytes -= turn_memory_bytes(&write->turn);
    if (g_hash_table_lookup(store->pending_turns, write->turn.id) == write)
        g_hash_table_remove(store->pending_turns, write->turn.id);
}

/** Before it, reports a disk that lags: it may not have the record yet; see turn_spill.h. */
static void send_durable(store_t *store, frame_connection_t *connection, uint64_t number,
                         uint64_t generation, verdict_t verdict) {
    send_disk_lag(store, connection, number);
    send_response(connection, RESPONSE_DURABLE, number, generation, verdict);
}

/** Answers the requester of a write that has become durable or failed. */
static void answer_write(const write_t *write, bool durable) {
    store_t *store = write->store;
    frame_connection_t *connection = requester_connection(write);
    if (connection == NULL)
        return;
    if (write->generation != store->group->generation)
        send_response(connection, RESPONSE_OLD_GENERATION, write->number, store->group->generation,
                      VERDICT_UNSURE);
    else
        send_durable(store, connection, write->number, write->generation,
                     durable_verdict(store, durable));
}

static void log_failed_write(store_t *store) {
    store->writes_failed++;
    store->last_write_failure_at = now(store);
    event_log(STORE_WRITE_FAILED, record_log_bytes(store->log));
    store_request_reconciliation(store, RECONCILE_WRITE_FAILED);
}

/** False if the disk failed and the turn, which the service has or may have, is written again. */
static bool end_spill(write_t *write, bool on_disk) {
    if (write->spilled == NULL)
        return true;
    if (!turn_spill_write_ended(write->store->spill, write->spilled, on_disk))
        return false;
    write->spilled = NULL;
    return true;
}

/**
 * Logs that the parent of a gateway's turn that was just added is missing here. Copies come in no
 * order, so that the parent may be under way.
 */
static void report_missing_parent(store_t *store, const write_t *write) {
    bool is_copy = write->received_at == 0;
    bool is_logged = store->missing_ancestor_logged_at > 0 &&
                     now(store) < store->missing_ancestor_logged_at + MISSING_ANCESTOR_LOG_MS;
    if (is_copy || is_logged || !turn_table_lacks_ancestor(&store->turns, write->turn.parent))
        return;
    store->missing_ancestor_logged_at = now(store);
    event_log(STORE_ANCESTOR_MISSING, write->turn.id, write->turn.parent,
              turn_table_missing_ancestors(&store->turns));
}

/** Adds a turn that is on disk to the table. */
static void add_durable_turn(store_t *store, const write_t *write, uint32_t segment) {
    turn_table_add_to_segment(&store->turns, &write->turn, segment, store_expiry_clock_ms(store));
    report_missing_parent(store, write);
}

static void on_write_done(void *owner, bool durable, uint32_t segment) {
    write_t *write = owner;
    store_t *store = write->store;
    if (!durable)
        log_failed_write(store);
    if (!end_spill(write, durable))
        return;
    if (write->confirmed)
        store->spilled_turn_bytes -= turn_memory_bytes(&write->turn);
    else if (write->turn.id != NULL)
        remove_pending_turn(store, write);
    if (durable && write->turn.id != NULL)
        add_durable_turn(store, write, segment);
    else if (durable)
        mark_charge_durable(store, &write->charge, segment);
    else if (write->charge.program != NULL)
        budget_table_rewrite_failed(&store->budgets, write->charge.program);
    if (!write->confirmed)
        answer_write(write, durable);
    if (write->done != NULL)
        write->done(write->owner, durable);
    if (write->received_at > 0)
        latency_histogram_add(&store->write_latency, now(store) - write->received_at);
    turn_clear(&write->turn);
    budget_charge_clear(&write->charge);
    g_free(write);
}

/** Directs the response of @p write to the sender of @p request. */
static void set_requester(write_t *write, frame_connection_t *connection,
                          const message_t *request) {
    write->connection_serial = request->number == 0 ? 0 : *frame_connection_serial(connection);
    write->number = request->number;
    write->generation = request->generation;
}

static write_t *new_write(store_t *store, frame_connection_t *connection,
                          const message_t *request) {
    write_t *write = g_new0(write_t, 1);
    write->store = store;
    set_requester(write, connection, request);
    write->received_at = now(store);
    return write;
}

/** The time mark, if one is due; else NULL. */
static GBytes *next_time_mark(store_t *store) {
    uint64_t mark;
    if (!record_clock_next_mark(&store->clock, now(store), &mark))
        return NULL;
    message_t record;
    message_init(&record, RECORD_TIME);
    record.time = mark;
    GBytes *bytes = message_encode(&record);
    message_clear(&record);
    return bytes;
}

void store_append_time_mark(store_t *store) {
    GBytes *mark = next_time_mark(store);
    if (mark != NULL)
        record_log_append(store->log, mark, NULL, NULL);
}

/** Appends a time mark if one is due, in one write with the record that follows. */
static void precede_by_time_mark(store_t *store) {
    GBytes *mark = next_time_mark(store);
    if (mark != NULL)
        record_log_append_with_next(store->log, mark);
}

void store_append_record(store_t *store, GBytes *record, record_log_done_t done, void *owner) {
    precede_by_time_mark(store);
    record_log_append(store->log, record, done, owner);
}

/** Appends @p record; takes over its reference. */
static void append(store_t *store, GBytes *record, write_t *write) {
    if (write->turn.id != NULL)
        add_pending_turn(store, write);
    store_append_record(store, record, on_write_done, write);
}

/** Appends a reserve or a settled charge; moves the charge out of the request. */
static void append_charge(store_t *store, frame_connection_t *connection, message_t *request,
                          GBytes *record) {
    write_t *write = new_write(store, connection, request);
    write->charge = request->charge;
    request->charge = (budget_charge_t){0};
    append(store, g_bytes_ref(record), write);
}

/** Writes an accepted reserve, unless it was sent again and is on disk already. */
static void write_reserve(store_t *store, frame_connection_t *connection, message_t *request,
                          GBytes *record) {
    if (budget_table_covers(&store->budgets, &request->charge))
        send_durable(store, connection, request->number, request->generation, VERDICT_YES);
    else
        append_charge(store, connection, request, record);
}

/** True if the turn of the call fits; a large one that does not gives its reservation back. */
static bool has_room(store_t *store, const char *call) {
    if (space_reservations_known_bytes(&store->reservations, call) == 0)
        return store_can_start_turn(store);
    bool room = store_can_start_large_turn(store);
    if (!room)
        space_reservations_cancel(&store->reservations, call);
    return room;
}

static void handle_reserve(store_t *store, frame_connection_t *connection, message_t *request,
                           GBytes *record) {
    const budget_charge_t *charge = &request->charge;
    message_t response;
    message_init(&response, RESPONSE_RESERVE);
    response.number = request->number;
    response.generation = store->group->generation;
    bool complete = store_is_complete(store);
    bool is_large = space_reservations_known_bytes(&store->reservations, charge->call) > 0;
    bool accepted = complete && store_can_accept_reserve(store, charge);
    response.verdict = accepted ? VERDICT_YES : complete ? VERDICT_NO : VERDICT_UNSURE;
    response.room = has_room(store, charge->call);
    store->reserves_refused += complete && !accepted;
    bool has_turn = g_hash_table_contains(store->pending_turns, charge->call) ||
                    turn_table_find(&store->turns, charge->call) != NULL;
    if ((accepted || !complete) && !has_turn && !is_large)
        space_reservations_add(&store->reservations, charge->call, now(store));
    if (accepted) {
        response.summary = budget_table_reserve(&store->budgets, charge->program, charge->call,
                                                charge->most, store_expiry_clock_ms(store));
        response.place = program_affinity_find(&store->affinity, charge->program);
    }
    send_disk_lag(store, connection, request->number);
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
    if (accepted)
        write_reserve(store, connection, request, record);
}

static void add_charge(void *user, const budget_charge_t *charge) {
    message_t *response = user;
    budget_charge_t copy = budget_charge_copy(charge);
    g_array_append_val(response->charges, copy);
}

static void handle_read_charges(store_t *store, frame_connection_t *connection,
                                message_t *request) {
    message_t response;
    message_init(&response, RESPONSE_CHARGES);
    response.number = request->number;
    response.generation = store->group->generation;
    budget_table_each(&store->budgets, request->charge.program, add_charge, &response);
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
}

/** Releases the space reserved for the turn of a call that has ended. */
static void release_reservation(store_t *store, const budget_charge_t *charge) {
    if (charge->spent == 0)
        space_reservations_cancel(&store->reservations, charge->call);
    else
        space_reservations_complete(&store->reservations, charge->call, 0);
}

static void handle_settle(store_t *store, frame_connection_t *connection, message_t *request,
                          GBytes *record) {
    const budget_charge_t *charge = &request->charge;
    release_reservation(store, charge);
    store_end_send(store, XXH64(charge->call, strlen(charge->call), 0));
    /* The reserve was refused here and nothing was generated: there is nothing to record. */
    if (charge->spent == 0 && !store_can_accept_reserve(store, charge))
        return;
    budget_table_settle(&store->budgets, charge->program, charge->call, charge->spent,
                        store_expiry_clock_ms(store));
    request->charge.settled = true;
    append_charge(store, connection, request, record);
}

/** Writes a turn that is neither stored nor being written, if there is space for it. */
static void write_turn(store_t *store, frame_connection_t *connection, const message_t *request,
                       GBytes *record) {
    const turn_t *turn = &g_array_index(request->turns, turn_t, 0);
    if (!store_accept_started_turn(store)) {
        store_request_reconciliation(store, RECONCILE_NO_SPACE);
        send_response(connection, RESPONSE_DURABLE, request->number, request->generation,
                      VERDICT_NO);
        return;
    }
    write_t *write = new_write(store, connection, request);
    turn_copy(&write->turn, turn);
    write->spilled = turn_spill_add(store->spill, &write->turn, write);
    space_reservations_complete(&store->reservations, turn->id, turn_memory_bytes(turn));
    append(store, g_bytes_ref(record), write);
}

/**
 * A gateway sends a turn again if the connection was lost or the confirmation took too long. The
 * turn is not written a second time: that would take as long again on a slow disk.
 */
static void handle_put_turn(store_t *store, frame_connection_t *connection, message_t *request,
                            GBytes *record) {
    if (request->turns->len != 1) {
        send_response(connection, RESPONSE_DURABLE, request->number, request->generation,
                      VERDICT_NO);
        return;
    }
    const turn_t *turn = &g_array_index(request->turns, turn_t, 0);
    write_t *pending = g_hash_table_lookup(store->pending_turns, turn->id);
    if (turn_table_extend(&store->turns, turn->id, turn->retention_ms,
                          store_expiry_clock_ms(store)))
        send_durable(store, connection, request->number, request->generation,
                     durable_verdict(store, true));
    else if (pending != NULL)
        set_requester(pending, connection, request);
    else
        write_turn(store, connection, request, record);
}

static void handle_group(store_t *store, const message_t *message) {
    gsize length;
    const void *data = g_bytes_get_data(message->group, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group == NULL)
        return;
    store_adopt_group(store, group);
    store_group_free(group);
}

static void send_status(store_t *store, frame_connection_t *connection, const message_t *request) {
    /* A generation that is not on disk could be lost: the requester must not rely on it. */
    bool reliable = store->group_durable && turn_spill_complete(store->spill);
    uint64_t complete_generation = reliable ? store->complete_generation : 0;
    send_response(connection, RESPONSE_STATUS, request->number, complete_generation, VERDICT_YES);
}

/* Quotas of tenants. */

static void send_allowance(const store_t *store, frame_connection_t *connection,
                           const message_t *request, verdict_t verdict, uint32_t wait_ms) {
    message_t response;
    message_init(&response, RESPONSE_ALLOWANCE);
    response.number = request->number;
    response.generation = store->group->generation;
    response.verdict = verdict;
    response.wait_ms = wait_ms;
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
}

static void handle_allowance(store_t *store, frame_connection_t *connection,
                             const message_t *request) {
    quota_answer_t grant =
        quota_table_take(&store->quotas, request->tenant, &request->limit,
                         store->group->members->len, request->wait_ms, now(store));
    send_allowance(store, connection, request, grant.granted ? VERDICT_YES : VERDICT_NO,
                   grant.wait_ms);
}

/** True if one more line on admissions may be logged in this period; counts it. */
static bool admission_log_allowed(store_t *store) {
    uint64_t second = now(store) / ADMISSION_LOG_PERIOD_MS;
    if (second != store->admission_log_second)
        store->admission_log_count = 0;
    store->admission_log_second = second;
    return store->admission_log_count++ < ADMISSION_LOG_LINES_MAX;
}

static void log_admission(store_t *store, const message_t *request,
                          const program_admission_t *admission, const program_share_t *share) {
    if ((admission->admitted && !admission->readmitted) || !admission_log_allowed(store))
        return;
    const char *program = request->charge.program;
    if (admission->admitted)
        event_log(STORE_PROGRAM_READMITTED, request->tenant, program, share->tokens,
                  share->tokens_per_ms * MS_PER_S, admission->remaining_calls,
                  admission->expected_calls, admission->active_programs);
    else
        event_log(STORE_PROGRAM_REFUSED, request->tenant, program, share->tokens,
                  share->tokens_per_ms * MS_PER_S, admission->remaining_calls,
                  admission->expected_calls, admission->active_programs, admission->wait_ms);
}

static void handle_program_allowance(store_t *store, frame_connection_t *connection,
                                     const message_t *request) {
    const char *program = request->charge.program;
    program_call_t call = {
        .program = XXH64(program, strlen(program), 0),
        .kind = request->kind,
        .begun = request->begun || program_affinity_find(&store->affinity, program) != 0,
        .late = request->late,
    };
    program_share_t share = {0};
    program_admission_t admission =
        admission_table_admit(&store->admissions, &store->quotas, request->tenant, &request->limit,
                              store->group->members->len, &call, now(store), &share);
    log_admission(store, request, &admission, &share);
    if (admission.admitted)
        handle_allowance(store, connection, request);
    else
        send_allowance(store, connection, request, VERDICT_UNSURE, admission.wait_ms);
}

static void charge_quota(store_t *store, const message_t *message) {
    if (store_is_member(store))
        quota_table_charge(&store->quotas, message->tenant, &message->limit,
                           store->group->members->len, now(store));
}

static void send_stream_version(store_t *store, frame_connection_t *connection,
                                const message_t *request) {
    message_t response;
    message_init(&response, RESPONSE_STREAM);
    response.number = request->number;
    response.generation = store->group->generation;
    response.stream = request->stream;
    response.version = stream_versions_find(&store->streams, request->stream, now(store));
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
}

/** Requests that only a member in the sender's generation may answer. */
static void handle_member_request(store_t *store, frame_connection_t *connection,
                                  message_t *request, GBytes *record) {
    uint64_t generation = store->group->generation;
    if (request->generation != generation || !store_is_member(store)) {
        send_response(connection, RESPONSE_OLD_GENERATION, request->number, generation,
                      VERDICT_UNSURE);
        return;
    }
    switch (request->type) {
    case REQUEST_RESERVE:
        handle_reserve(store, connection, request, record);
        break;
    case REQUEST_CHARGES:
        handle_read_charges(store, connection, request);
        break;
    case REQUEST_PUT_TURN:
        handle_put_turn(store, connection, request, record);
        break;
    case REQUEST_ALLOWANCE:
        handle_allowance(store, connection, request);
        break;
    case REQUEST_PROGRAM_ALLOWANCE:
        handle_program_allowance(store, connection, request);
        break;
    default:
        store_send_chain(store, connection, request);
        break;
    }
}

static void on_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                     size_t length) {
    store_t *store = owner;
    message_t request;
    if (!message_decode(&request, data, length)) {
        message_clear(&request);
        event_log(PEER_FRAME_REJECTED, "store", error_name(RUDDERWAY_ERROR_FRAME_INVALID));
        return;
    }
    GBytes *record = g_bytes_new(data, length);
    switch (request.type) {
    case MESSAGE_GROUP:
        handle_group(store, &request);
        break;
    case REQUEST_RESERVE:
    case REQUEST_CHARGES:
    case REQUEST_PUT_TURN:
    case REQUEST_CHAIN:
    case REQUEST_ALLOWANCE:
    case REQUEST_PROGRAM_ALLOWANCE:
        handle_member_request(store, connection, &request, record);
        break;
    case MESSAGE_TURN_SIZE:
        space_reservations_add_large(&store->reservations, request.charge.call, request.size,
                                     now(store));
        break;
    case REQUEST_SETTLE:
        handle_settle(store, connection, &request, record);
        break;
    case MESSAGE_CHARGE:
        charge_quota(store, &request);
        break;
    case MESSAGE_PLACE:
        program_affinity_record(&store->affinity, request.charge.program, request.place,
                                now(store));
        break;
    case MESSAGE_STREAM:
        stream_versions_record(&store->streams, request.stream, request.version, now(store));
        break;
    case MESSAGE_CRASH:
    case MESSAGE_CRASH_KNOWN:
    case MESSAGE_CRASH_SILENT:
    case MESSAGE_CRASH_WITHDRAWN:
    case MESSAGE_REQUEST_STOPPED:
        store_handle_crash(store, &request);
        break;
    case REQUEST_SEND:
        store_handle_send(store, connection, &request);
        break;
    case MESSAGE_SEND_LEFT:
        store_handle_send_left(store, connection, &request);
        break;
    case MESSAGE_SEND_ENDED:
        store_end_send(store, request.send);
        break;
    case REQUEST_STREAM:
        send_stream_version(store, connection, &request);
        break;
    case MESSAGE_DIRECTORY:
        store_directory_store_snapshot(store->directory, &request);
        break;
    case MESSAGE_DIRECTORY_KNOWN:
        store_directory_handle_offer(store->directory, connection, request.revision);
        break;
    case REQUEST_DIRECTORY:
        store_directory_send(store->directory, connection);
        break;
    case MESSAGE_GATEWAY:
        store_handle_gateway(store, connection, &request);
        break;
    case REQUEST_STATUS:
        send_status(store, connection, &request);
        break;
    case REQUEST_INDEX:
        store_send_index(store, connection, &request);
        break;
    case REQUEST_TURNS:
        store_send_turns(store, connection, &request);
        break;
    default:
        break;
    }
    g_bytes_unref(record);
    message_clear(&request);
}

static void on_open(void *owner, frame_connection_t *connection) {
    store_t *store = owner;
    g_hash_table_insert(store->connections, (gpointer)frame_connection_serial(connection),
                        connection);
    store_send_group(store, connection);
}

static void on_closed(void *owner, frame_connection_t *connection) {
    store_t *store = owner;
    const uint64_t *serial = frame_connection_serial(connection);
    open_sends_lose_gateway(store->sends, *serial, now(store));
    g_hash_table_remove(store->connections, serial);
    if (gateway_registry_remove(&store->gateways, serial))
        store_schedule_gateway_lists(store);
}

const frame_handler_t store_request_handler = {on_open, on_frame, on_closed};

size_t store_connections_buffer_bytes(const store_t *store) {
    size_t bytes = 0;
    GHashTableIter iterator;
    gpointer connection;
    g_hash_table_iter_init(&iterator, store->connections);
    while (g_hash_table_iter_next(&iterator, NULL, &connection))
        bytes += frame_connection_buffer_bytes(connection);
    return bytes;
}

/* Turns that the key-value service has before the disk does; see turn_spill.h. */

static void on_spilled(void *owner) {
    write_t *write = owner;
    store_t *store = write->store;
    write->confirmed = true;
    remove_pending_turn(store, write);
    store->spilled_turn_bytes += turn_memory_bytes(&write->turn);
    turn_table_add(&store->turns, &write->turn, TURN_NOT_IN_LOG, store_expiry_clock_ms(store));
    answer_write(write, true);
}

static void on_rewrite_due(void *owner) {
    write_t *write = owner;
    message_t record;
    message_init(&record, REQUEST_PUT_TURN);
    message_add_turn(&record, &write->turn);
    store_append_record(write->store, message_encode(&record), on_write_done, write);
    message_clear(&record);
}

static void *on_spill_read(void *user, const turn_t *turn, spilled_turn_t *spilled) {
    store_t *store = user;
    if (!turn_table_add(&store->turns, turn, TURN_NOT_IN_LOG, store_expiry_clock_ms(store)))
        return NULL;
    write_t *write = g_new0(write_t, 1);
    write->store = store;
    turn_copy(&write->turn, turn);
    write->spilled = spilled;
    write->confirmed = true;
    store->spilled_turn_bytes += turn_memory_bytes(turn);
    return write;
}

const turn_spill_handler_t store_spill_handler = {on_spilled, on_rewrite_due, on_spill_read};

static void merge_copy(store_t *store, const budget_charge_t *charge, write_t *write) {
    write->charge = budget_charge_copy(charge);
    budget_table_merge(&store->budgets, charge, store_expiry_clock_ms(store));
}

void store_append_copy(store_t *store, message_t *record, void (*done)(void *owner, bool durable),
                       void *owner) {
    write_t *write = g_new0(write_t, 1);
    write->store = store;
    write->done = done;
    write->owner = owner;
    if (record->type == REQUEST_PUT_TURN)
        turn_copy(&write->turn, &g_array_index(record->turns, turn_t, 0));
    else
        merge_copy(store, &record->charge, write);
    append(store, message_encode(record), write);
}
