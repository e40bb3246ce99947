/*
 * Design. A write is refused if its sender acts in an older generation, both when it comes and
 * when it has reached the disk: a member that has shown its records to another under a later
 * generation acknowledges nothing for the earlier one. A reserve is always taken, and answered
 * twice: with the program's charges in short at once, and when it is on disk. Whether the budget
 * holds it is for the asker to decide over a quorum.
 *
 * Failures. What there is no room for is refused (store_room.c). A member that is not complete says
 * so instead of "there is no such record", and takes no reserve; it says whether it has room for a
 * turn all the same, since it keeps those.
 */
#include "store/store.h"

#include "common/event.h"
#include "store/store_directory.h"

#include <string.h>
#include <xxhash.h>

enum {
    CHAIN_TURNS_MAXIMUM = 2000,
    MS_PER_S = 1000,
    ADMISSIONS_LOGGED = 20,           /**< Lines on programs' admissions, */
    ADMISSIONS_LOGGED_EACH_MS = 1000, /**< in so long. */
    TELL_GATEWAYS_MS = 100,           /**< Changes of the list gather for so long, */
    TELL_GATEWAYS_A_MS = 2,           /**< longer by 1 ms for so many gateways, */
    TELL_GATEWAYS_MOST_MS = 1000, /**< but not beyond this: while all connect, lists change all the
                                       time, and each takes a write to each of a cell. */
};

/** A write on its way to the disk. */
typedef struct {
    store_t *store;
    uint64_t connection_serial; /**< Of the connection that waits for an answer; 0: none does. */
    uint64_t number;
    uint64_t generation;
    uint64_t begun_at;      /**< Loop time, ms. */
    turn_t turn;            /**< Empty unless a turn is written. */
    budget_charge_t charge; /**< Empty unless a charge is, as it stands when written. */
    void (*done)(void *owner, bool durable);
    void *owner;
} write_t;

static uint64_t now(const store_t *store) {
    return uv_now(store->loop);
}

static void answer(frame_connection_t *connection, message_type_t type, uint64_t number,
                   uint64_t generation, verdict_t verdict) {
    message_t message;
    message_init(&message, type);
    message.number = number;
    message.generation = generation;
    message.verdict = verdict;
    frame_connection_send(connection, message_encode(&message));
    message_clear(&message);
}

/** The connection on which the write came, if it is still there. */
static frame_connection_t *waiting_connection(const write_t *write) {
    return g_hash_table_lookup(write->store->connections, &write->connection_serial);
}

/** What a write that has ended is answered; see store_turn_durable. */
static verdict_t durable_verdict(const store_t *store, bool durable) {
    if (!durable)
        return VERDICT_NO;
    return store_complete(store) ? VERDICT_YES : VERDICT_UNSURE;
}

static void note_charge_kept(store_t *store, const budget_charge_t *charge, uint32_t segment) {
    budget_table_note_kept(&store->budgets, charge);
    turn_table_need_segment(&store->turns, segment, store_time(store) + BUDGET_RETENTION_MS);
}

static void on_write_done(void *owner, bool durable, uint32_t segment) {
    write_t *write = owner;
    store_t *store = write->store;
    if (write->turn.id != NULL)
        store->turn_bytes_on_way -= turn_memory_bytes(&write->turn);
    if (durable && write->turn.id != NULL)
        turn_table_add(&store->turns, &write->turn, segment, store_time(store));
    else if (durable)
        note_charge_kept(store, &write->charge, segment);
    frame_connection_t *connection = waiting_connection(write);
    if (connection != NULL) {
        bool current = write->generation == store->group->generation;
        if (!current)
            answer(connection, RESPONSE_OLD_GENERATION, write->number, store->group->generation,
                   VERDICT_UNSURE);
        else
            answer(connection, RESPONSE_DURABLE, write->number, write->generation,
                   durable_verdict(store, durable));
    }
    if (write->done != NULL)
        write->done(write->owner, durable);
    if (write->begun_at > 0)
        latency_histogram_add(&store->write_latency, now(store) - write->begun_at);
    if (!durable) {
        store->writes_failed++;
        store->write_failed_at = now(store);
        event_log(STORE_WRITE_FAILED, record_log_bytes(store->log));
    }
    turn_clear(&write->turn);
    budget_charge_clear(&write->charge);
    g_free(write);
}

static write_t *new_write(store_t *store, frame_connection_t *connection,
                          const message_t *request) {
    write_t *write = g_new0(write_t, 1);
    write->store = store;
    write->connection_serial = request->number == 0 ? 0 : *frame_connection_serial(connection);
    write->number = request->number;
    write->generation = request->generation;
    write->begun_at = now(store);
    return write;
}

void store_mark_time(store_t *store) {
    uint64_t mark;
    if (!record_clock_mark(&store->clock, now(store), &mark))
        return;
    message_t record;
    message_init(&record, RECORD_TIME);
    record.time = mark;
    record_log_append(store->log, message_encode(&record), NULL, NULL);
    message_clear(&record);
}

/** Appends @p record, of which a reference is taken over. */
static void append(store_t *store, GBytes *record, write_t *write) {
    store_mark_time(store);
    if (write->turn.id != NULL)
        store->turn_bytes_on_way += turn_memory_bytes(&write->turn);
    record_log_append(store->log, record, on_write_done, write);
}

/** Appends a reserve or a settled charge, which is taken over from the request. */
static void append_charge(store_t *store, frame_connection_t *connection, message_t *request,
                          GBytes *record) {
    write_t *write = new_write(store, connection, request);
    write->charge = request->charge;
    request->charge = (budget_charge_t){0};
    append(store, g_bytes_ref(record), write);
}

static void reserve(store_t *store, frame_connection_t *connection, message_t *request,
                    GBytes *record) {
    const budget_charge_t *charge = &request->charge;
    message_t response;
    message_init(&response, RESPONSE_RESERVE);
    response.number = request->number;
    response.generation = store->group->generation;
    bool complete = store_complete(store);
    bool taken = complete && store_takes_reserve(store, charge);
    response.verdict = taken ? VERDICT_YES : complete ? VERDICT_NO : VERDICT_UNSURE;
    response.room = store_turn_may_begin(store);
    store->reserves_refused += complete && !taken;
    if (taken || !complete)
        room_holds_begin(&store->holds, charge->call, now(store));
    if (taken) {
        response.summary = budget_table_reserve(&store->budgets, charge->program, charge->call,
                                                charge->most, store_time(store));
        response.place = program_places_find(&store->places, charge->program);
        append_charge(store, connection, request, record);
    }
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
}

static void add_charge(void *user, const budget_charge_t *charge) {
    message_t *response = user;
    budget_charge_t copy = budget_charge_copy(charge);
    g_array_append_val(response->charges, copy);
}

static void read_charges(store_t *store, frame_connection_t *connection, message_t *request) {
    message_t response;
    message_init(&response, RESPONSE_CHARGES);
    response.number = request->number;
    response.generation = store->group->generation;
    budget_table_each(&store->budgets, request->charge.program, add_charge, &response);
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
}

/** The call has ended, and holds no room for its turn any more. */
static void end_hold(store_t *store, const budget_charge_t *charge) {
    if (charge->spent == 0)
        room_holds_cancel(&store->holds, charge->call);
    else
        room_holds_end(&store->holds, charge->call, 0);
}

static void settle(store_t *store, frame_connection_t *connection, message_t *request,
                   GBytes *record) {
    const budget_charge_t *charge = &request->charge;
    end_hold(store, charge);
    /* Of a reserve that was refused here: nothing was made, and nothing is held. */
    if (charge->spent == 0 && !store_takes_reserve(store, charge))
        return;
    budget_table_settle(&store->budgets, charge->program, charge->call, charge->spent,
                        store_time(store));
    request->charge.settled = true;
    append_charge(store, connection, request, record);
}

/** A turn that is here already is taken again: the answer may have been lost. */
static bool takes_turn(store_t *store, const message_t *request) {
    const turn_t *turn = &g_array_index(request->turns, turn_t, 0);
    return turn_table_find(&store->turns, turn->id) != NULL || store_takes_begun_turn(store);
}

static void put_turn(store_t *store, frame_connection_t *connection, message_t *request,
                     GBytes *record) {
    bool taken = request->turns->len == 1 && takes_turn(store, request);
    if (!taken) {
        answer(connection, RESPONSE_DURABLE, request->number, request->generation, VERDICT_NO);
        return;
    }
    const turn_t *turn = &g_array_index(request->turns, turn_t, 0);
    write_t *write = new_write(store, connection, request);
    turn_copy(&write->turn, turn);
    room_holds_end(&store->holds, turn->id, turn_memory_bytes(turn));
    append(store, g_bytes_ref(record), write);
}

static void read_chain(store_t *store, frame_connection_t *connection, message_t *request) {
    message_t response;
    message_init(&response, RESPONSE_CHAIN);
    response.number = request->number;
    response.generation = store->group->generation;
    const turn_t *turn = turn_table_find(&store->turns, request->turn_id);
    if (turn == NULL)
        response.verdict = store_complete(store) ? VERDICT_NO : VERDICT_UNSURE;
    for (unsigned i = 0; turn != NULL && i < CHAIN_TURNS_MAXIMUM; i++) {
        message_add_turn(&response, turn);
        turn = *turn->parent == '\0' ? NULL : turn_table_find(&store->turns, turn->parent);
    }
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
}

static void read_turns(store_t *store, frame_connection_t *connection, message_t *request) {
    message_t response;
    message_init(&response, RESPONSE_TURNS);
    response.number = request->number;
    response.generation = store->group->generation;
    for (guint i = 0; i < request->ids->len; i++) {
        const turn_t *turn = turn_table_find(&store->turns, g_ptr_array_index(request->ids, i));
        if (turn == NULL)
            continue;
        /* The copy is kept as long as this one. */
        message_add_turn(&response, turn);
        turn_t *copy = &g_array_index(response.turns, turn_t, response.turns->len - 1);
        copy->retention_ms = turn_table_time_left(&store->turns, turn->id, store_time(store));
    }
    frame_connection_send(connection, message_encode(&response));
    message_clear(&response);
}

static void take_group(store_t *store, const message_t *message) {
    gsize length;
    const void *data = g_bytes_get_data(message->group, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group == NULL)
        return;
    store_adopt_group(store, group);
    store_group_free(group);
}

static void tell_status(store_t *store, frame_connection_t *connection, const message_t *request) {
    /* A generation that is not on disk could be forgotten: the asker must not build on it. */
    uint64_t complete_in = store->group_durable ? store->complete_in : 0;
    answer(connection, RESPONSE_STATUS, request->number, complete_in, VERDICT_YES);
}

/* Tenants' limits. */

static void answer_allowance(const store_t *store, frame_connection_t *connection,
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

static void allow(store_t *store, frame_connection_t *connection, const message_t *request) {
    quota_answer_t allowed =
        quota_table_take(&store->quotas, request->tenant, &request->limit,
                         store->group->members->len, request->wait_ms, now(store));
    answer_allowance(store, connection, request, allowed.granted ? VERDICT_YES : VERDICT_NO,
                     allowed.wait_ms);
}

/** True if one more line on admissions may be written in this second. */
static bool may_log_admission(store_t *store) {
    uint64_t second = now(store) / ADMISSIONS_LOGGED_EACH_MS;
    if (second != store->admissions_logged_at)
        store->admissions_logged = 0;
    store->admissions_logged_at = second;
    return store->admissions_logged++ < ADMISSIONS_LOGGED;
}

static void log_admission(store_t *store, const message_t *request,
                          const program_admission_t *admission, const program_share_t *share) {
    if ((admission->admitted && !admission->readmitted) || !may_log_admission(store))
        return;
    const char *program = request->charge.program;
    if (admission->admitted)
        event_log(STORE_PROGRAM_READMITTED, request->tenant, program, share->tokens,
                  share->tokens_per_ms * MS_PER_S, admission->owed, admission->expected,
                  admission->under_way);
    else
        event_log(STORE_PROGRAM_REFUSED, request->tenant, program, share->tokens,
                  share->tokens_per_ms * MS_PER_S, admission->owed, admission->expected,
                  admission->under_way, admission->wait_ms);
}

static void allow_program(store_t *store, frame_connection_t *connection,
                          const message_t *request) {
    const char *program = request->charge.program;
    program_call_t call = {
        .program = XXH64(program, strlen(program), 0),
        .kind = request->kind,
        .begun = request->begun || program_places_find(&store->places, program) != 0,
        .late = request->late,
    };
    program_share_t share = {0};
    program_admission_t admission =
        admission_table_admit(&store->admissions, &store->quotas, request->tenant, &request->limit,
                              store->group->members->len, &call, now(store), &share);
    log_admission(store, request, &admission, &share);
    if (admission.admitted)
        allow(store, connection, request);
    else
        answer_allowance(store, connection, request, VERDICT_UNSURE, admission.wait_ms);
}

static void charge(store_t *store, const message_t *message) {
    if (store_is_member(store))
        quota_table_charge(&store->quotas, message->tenant, &message->limit,
                           store->group->members->len, now(store));
}

/** Requests that only a member may answer, in the sender's generation. */
static void handle_member_request(store_t *store, frame_connection_t *connection,
                                  message_t *request, GBytes *record) {
    uint64_t generation = store->group->generation;
    if (request->generation != generation || !store_is_member(store)) {
        answer(connection, RESPONSE_OLD_GENERATION, request->number, generation, VERDICT_UNSURE);
        return;
    }
    switch (request->type) {
    case REQUEST_RESERVE:
        reserve(store, connection, request, record);
        break;
    case REQUEST_CHARGES:
        read_charges(store, connection, request);
        break;
    case REQUEST_PUT_TURN:
        put_turn(store, connection, request, record);
        break;
    case REQUEST_ALLOWANCE:
        allow(store, connection, request);
        break;
    case REQUEST_PROGRAM_ALLOWANCE:
        allow_program(store, connection, request);
        break;
    default:
        read_chain(store, connection, request);
        break;
    }
}

/* The gateways, which share what they have under way. */

typedef struct {
    const store_t *store;
    GHashTable *encoded; /**< Of gateway_list_t to its encoded message, a GBytes. */
} gateway_lists_t;

static GBytes *encode_list(const gateway_list_t *list) {
    message_t message;
    message_init(&message, MESSAGE_GATEWAYS);
    for (guint i = 0; i < list->known->len; i++)
        g_ptr_array_add(message.ids, g_strdup(g_ptr_array_index(list->known, i)));
    for (guint i = 0; i < list->far->len; i++)
        g_ptr_array_add(message.ids, g_strdup(g_ptr_array_index(list->far, i)));
    for (guint i = 0; i < list->sources->len; i++)
        g_ptr_array_add(message.sources, g_strdup(g_ptr_array_index(list->sources, i)));
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    return bytes;
}

static void tell_gateway(void *user, const uint64_t *serial, const gateway_list_t *list) {
    const gateway_lists_t *lists = user;
    GBytes *encoded = g_hash_table_lookup(lists->encoded, list);
    if (encoded == NULL) {
        encoded = encode_list(list);
        g_hash_table_insert(lists->encoded, (gpointer)list, encoded);
    }
    frame_connection_send(g_hash_table_lookup(lists->store->connections, serial),
                          g_bytes_ref(encoded));
}

static void on_tell_gateways(uv_timer_t *timer) {
    store_t *store = timer->data;
    gateway_lists_t lists = {
        store, g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_bytes_unref)};
    gateway_directory_tell(&store->gateways, tell_gateway, &lists);
    g_hash_table_destroy(lists.encoded);
}

static void gateways_changed(store_t *store) {
    uint64_t pause_ms =
        TELL_GATEWAYS_MS + gateway_directory_count(&store->gateways) / TELL_GATEWAYS_A_MS;
    if (!uv_is_active((const uv_handle_t *)&store->tell_gateways))
        uv_timer_start(&store->tell_gateways, on_tell_gateways,
                       MIN(pause_ms, (uint64_t)TELL_GATEWAYS_MOST_MS), 0);
}

static void take_gateway(store_t *store, frame_connection_t *connection, const message_t *message) {
    if (message->ids->len != 2)
        return;
    gateway_directory_add(&store->gateways, frame_connection_serial(connection),
                          g_ptr_array_index(message->ids, 0), g_ptr_array_index(message->ids, 1));
    store_directory_gateway_seen(store->directory, g_ptr_array_index(message->ids, 0));
    gateways_changed(store);
}

void store_requests_start(store_t *store) {
    gateway_directory_init(&store->gateways);
    uv_timer_init(store->loop, &store->tell_gateways);
    store->tell_gateways.data = store;
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
        take_group(store, &request);
        break;
    case REQUEST_RESERVE:
    case REQUEST_CHARGES:
    case REQUEST_PUT_TURN:
    case REQUEST_CHAIN:
    case REQUEST_ALLOWANCE:
    case REQUEST_PROGRAM_ALLOWANCE:
        handle_member_request(store, connection, &request, record);
        break;
    case REQUEST_SETTLE:
        settle(store, connection, &request, record);
        break;
    case MESSAGE_CHARGE:
        charge(store, &request);
        break;
    case MESSAGE_PLACE:
        program_places_note(&store->places, request.charge.program, request.place, now(store));
        break;
    case MESSAGE_DIRECTORY:
        store_directory_take(store->directory, &request);
        break;
    case MESSAGE_DIRECTORY_KNOWN:
        store_directory_offered(store->directory, connection, request.revision);
        break;
    case REQUEST_DIRECTORY:
        store_directory_send(store->directory, connection);
        break;
    case MESSAGE_GATEWAY:
        take_gateway(store, connection, &request);
        break;
    case REQUEST_STATUS:
        tell_status(store, connection, &request);
        break;
    case REQUEST_INDEX:
        store_send_index(store, connection, &request);
        break;
    case REQUEST_TURNS:
        read_turns(store, connection, &request);
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
    g_hash_table_remove(store->connections, serial);
    if (gateway_directory_remove(&store->gateways, serial))
        gateways_changed(store);
}

const frame_handler_t store_request_handler = {on_open, on_frame, on_closed};

size_t store_buffer_bytes(const store_t *store) {
    size_t bytes = 0;
    GHashTableIter iterator;
    gpointer connection;
    g_hash_table_iter_init(&iterator, store->connections);
    while (g_hash_table_iter_next(&iterator, NULL, &connection))
        bytes += frame_connection_buffer_bytes(connection);
    return bytes;
}

static void merge_copy(store_t *store, const budget_charge_t *charge, write_t *write) {
    write->charge = budget_charge_copy(charge);
    budget_table_merge(&store->budgets, charge, store_time(store));
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
