/*
 * Design. An operation is a request to all members of the group and the count of what each of them
 * said. It begins anew when the group changes, since answers of an earlier generation count for
 * nothing; it is given up after GATEWAY_WRITE_MS.
 */
#include "gateway/store_client_state.h"

#include "common/event.h"

#include <string.h>

enum {
    UNSURE_AGAIN_MS = 150, /**< A member that was unsure is asked again after this. */
    CHAIN_WIDEN_MS = 120,  /**< Without an answer from the nearest member, all are asked. */
    BACKLOG_MAXIMUM = 2000,
};

static void end_operation(store_operation_t *operation);

void store_operation_send(store_operation_t *operation, const member_t *member) {
    if (!member->link->open)
        return;
    operation->request.generation = operation->generation;
    store_link_send(member->link, message_encode(&operation->request));
}

bool store_operation_wants(const store_operation_t *operation, unsigned index) {
    if (operation->request.type == REQUEST_CHAIN)
        return (operation->widened || index == 0) && operation->verdicts[index] != SAID_NO;
    return operation->durables[index] != SAID_YES;
}

static void free_answers(store_operation_t *operation) {
    if (operation->verdicts == NULL)
        return;
    g_free(operation->verdicts);
    g_free(operation->durables);
    g_free(operation->charges_read);
    g_free(operation->rooms);
    g_free(operation->summaries);
    budget_table_clear(&operation->joined);
}

void store_operation_restart(store_operation_t *operation) {
    store_client_t *client = operation->client;
    unsigned count = client->members->len;
    operation->generation = client->group->generation;
    free_answers(operation);
    /* One more, so that there is something to point to without any member. */
    operation->verdicts = (said_t *)g_new0(said_t, count + 1);
    operation->durables = (said_t *)g_new0(said_t, count + 1);
    operation->charges_read = (said_t *)g_new0(said_t, count + 1);
    operation->rooms = (said_t *)g_new0(said_t, count + 1);
    operation->summaries = g_new0(budget_summary_t, count + 1);
    operation->reading_charges = false;
    budget_table_init(&operation->joined);
    for (unsigned i = 0; i < count; i++)
        if (store_operation_wants(operation, i))
            store_operation_send(operation, g_ptr_array_index(client->members, i));
}

/* Counting. */

static unsigned count(const store_operation_t *operation, const said_t *said, said_t wanted) {
    unsigned found = 0;
    for (guint i = 0; i < operation->client->members->len; i++)
        found += said[i] == wanted;
    return found;
}

static void report_verdict(store_operation_t *operation, verdict_t verdict, const GArray *turns) {
    const store_operation_handler_t *handler = operation->handler;
    void *owner = operation->owner;
    if (verdict == VERDICT_YES && operation->request.type == REQUEST_RESERVE)
        operation->granted = true;
    else
        end_operation(operation);
    handler->on_verdict(owner, verdict, turns);
}

static void report_durable(store_operation_t *operation, bool durable) {
    const store_operation_handler_t *handler = operation->handler;
    void *owner = operation->owner;
    end_operation(operation);
    handler->on_durable(owner, durable);
}

/** Asks those that took the reserve for the program's charges. */
static void begin_reading_charges(store_operation_t *operation) {
    store_client_t *client = operation->client;
    operation->reading_charges = true;
    message_t request;
    message_init(&request, REQUEST_CHARGES);
    request.number = operation->number;
    request.generation = operation->generation;
    request.charge.program = g_strdup(operation->request.charge.program);
    GBytes *bytes = message_encode(&request);
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = g_ptr_array_index(client->members, i);
        if (operation->verdicts[i] == SAID_YES && member->link->open)
            store_link_send(member->link, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
    message_clear(&request);
}

bool store_operation_has_room(const store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    return count(operation, operation->rooms, SAID_NO) <= members - store_write_quorum(members);
}

/**
 * True once a write quorum has said that it has room. Those that have said nothing may have none: a
 * member that was behind said that it had room, two had none, and a granted turn was run and lost.
 */
static bool room_is_sure(const store_operation_t *operation) {
    unsigned quorum = store_write_quorum(operation->client->members->len);
    return count(operation, operation->rooms, SAID_YES) >= quorum;
}

static budget_decision_t decide_reserve(store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    unsigned quorum = store_write_quorum(members);
    if (count(operation, operation->charges_read, SAID_YES) >= quorum) {
        uint64_t charged =
            budget_table_charged(&operation->joined, operation->request.charge.program);
        return charged <= operation->budget ? BUDGET_GRANTED : BUDGET_REFUSED;
    }
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(budget_summary_t));
    for (unsigned i = 0; i < members; i++)
        if (operation->verdicts[i] == SAID_YES)
            g_array_append_val(summaries, operation->summaries[i]);
    budget_decision_t decision = budget_decide((const budget_summary_t *)summaries->data,
                                               summaries->len, quorum, operation->budget);
    bool enough = summaries->len >= quorum;
    g_array_free(summaries, TRUE);
    if (decision == BUDGET_UNDECIDED && enough && !operation->reading_charges)
        begin_reading_charges(operation);
    return decision;
}

/** Unsure until both the budget and the room are decided. */
static verdict_t reserve_verdict(store_operation_t *operation) {
    budget_decision_t decision = decide_reserve(operation);
    if (decision == BUDGET_REFUSED)
        return VERDICT_NO;
    bool granted = decision == BUDGET_GRANTED && room_is_sure(operation);
    return granted ? VERDICT_YES : VERDICT_UNSURE;
}

static void evaluate_reserve(store_operation_t *operation) {
    store_client_t *client = operation->client;
    uint64_t number = operation->number;
    if (!operation->granted) {
        verdict_t verdict = reserve_verdict(operation);
        bool undecided = verdict == VERDICT_UNSURE && store_operation_has_room(operation);
        if (undecided)
            return;
        report_verdict(operation, verdict, NULL);
        /* The owner may have ended it. */
        operation = g_hash_table_lookup(client->operations, &number);
    }
    if (operation == NULL || !operation->granted)
        return;
    unsigned quorum = store_write_quorum(client->members->len);
    if (count(operation, operation->durables, SAID_YES) >= quorum)
        report_durable(operation, true);
}

static void log_turn_not_kept(const store_operation_t *operation) {
    unsigned complete = count(operation, operation->durables, SAID_YES);
    unsigned incomplete = count(operation, operation->durables, SAID_UNSURE);
    unsigned refused = count(operation, operation->durables, SAID_NO);
    unsigned silent = count(operation, operation->durables, SAID_NOTHING);
    const turn_t *turn = &g_array_index(operation->request.turns, turn_t, 0);
    event_log(GATEWAY_TURN_NOT_KEPT, turn->id, complete, incomplete, refused, silent);
}

static void evaluate_turn(store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    unsigned quorum = store_write_quorum(members);
    unsigned complete = count(operation, operation->durables, SAID_YES);
    unsigned copies = complete + count(operation, operation->durables, SAID_UNSURE);
    if (store_turn_durable(members, copies, complete))
        report_durable(operation, true);
    else if (count(operation, operation->durables, SAID_NO) > members - quorum) {
        log_turn_not_kept(operation);
        report_durable(operation, false);
    }
}

static void widen_chain(store_operation_t *operation) {
    if (operation->widened)
        return;
    operation->widened = true;
    for (guint i = 1; i < operation->client->members->len; i++)
        store_operation_send(operation, g_ptr_array_index(operation->client->members, i));
}

static void evaluate_chain(store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    if (count(operation, operation->verdicts, SAID_NO) >= store_absence_quorum(members))
        report_verdict(operation, VERDICT_NO, NULL);
    else if (operation->verdicts[0] != SAID_NOTHING)
        widen_chain(operation);
}

static void evaluate(store_operation_t *operation) {
    if (operation->client->members->len == 0)
        return;
    if (operation->request.type == REQUEST_RESERVE)
        evaluate_reserve(operation);
    else if (operation->request.type == REQUEST_PUT_TURN)
        evaluate_turn(operation);
    else
        evaluate_chain(operation);
}

static void take_charges(store_operation_t *operation, unsigned index, const message_t *message) {
    if (operation->verdicts[index] != SAID_YES)
        return;
    for (guint i = 0; i < message->charges->len; i++)
        budget_table_merge(&operation->joined, &g_array_index(message->charges, budget_charge_t, i),
                           0);
    operation->charges_read[index] = SAID_YES;
}

/**
 * A member that refuses a reserve has no room for it, and one that takes it may have none for a
 * turn. One that is not complete takes no reserve, but keeps turns: its copy counts if it has room.
 */
static void note_room(store_operation_t *operation, unsigned index, const message_t *message) {
    if (message->verdict == VERDICT_UNSURE && !message->room)
        return;
    bool taken = message->verdict != VERDICT_NO;
    bool room = taken && (message->room || !operation->keeps);
    operation->rooms[index] = room ? SAID_YES : SAID_NO;
}

bool store_operation_take_answer(const member_t *member, const message_t *message) {
    store_client_t *client = member->client;
    store_operation_t *operation = g_hash_table_lookup(client->operations, &message->number);
    if (operation == NULL)
        return false;
    /* An answer given in an earlier generation counts for nothing in this one. */
    if (message->type != RESPONSE_OLD_GENERATION && message->generation != operation->generation)
        return true;
    unsigned index = store_client_member_index(client, member);
    static const said_t said_by_verdict[VERDICT_COUNT] = {SAID_YES, SAID_NO, SAID_UNSURE};
    said_t said = said_by_verdict[message->verdict];
    switch (message->type) {
    case RESPONSE_CHAIN:
        if (said == SAID_YES) {
            report_verdict(operation, VERDICT_YES, message->turns);
            return true;
        }
        operation->verdicts[index] = said;
        break;
    case RESPONSE_RESERVE:
        operation->verdicts[index] = said;
        note_room(operation, index, message);
        operation->summaries[index] = message->summary;
        if (message->place != 0)
            operation->place = message->place;
        break;
    case RESPONSE_CHARGES:
        take_charges(operation, index, message);
        break;
    case RESPONSE_DURABLE:
        operation->durables[index] = said;
        break;
    case RESPONSE_OLD_GENERATION:
        operation->verdicts[index] = SAID_UNSURE;
        break;
    default:
        return true;
    }
    evaluate(operation);
    return true;
}

/* Operations. */

static void free_operation(uv_handle_t *handle) {
    store_operation_t *operation = handle->data;
    message_clear(&operation->request);
    free_answers(operation);
    g_free(operation);
}

static void end_operation(store_operation_t *operation) {
    g_hash_table_remove(operation->client->operations, &operation->number);
    if (!uv_is_closing((uv_handle_t *)&operation->timer))
        uv_close((uv_handle_t *)&operation->timer, free_operation);
}

void store_operation_cancel(store_operation_t *operation) {
    end_operation(operation);
}

static void give_up(store_operation_t *operation) {
    bool turn = operation->request.type == REQUEST_PUT_TURN;
    bool verdict_due = !turn && !operation->granted;
    if (turn)
        log_turn_not_kept(operation);
    if (verdict_due)
        report_verdict(operation, VERDICT_UNSURE, NULL);
    else
        report_durable(operation, false);
}

void store_operation_end_undecided(store_client_t *client) {
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, client->operations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const store_operation_t *operation = value;
        if (operation->request.type != REQUEST_PUT_TURN && !operation->granted)
            g_array_append_val(numbers, operation->number);
    }
    /* The end of one may end others, of the same call. */
    for (guint i = 0; i < numbers->len; i++) {
        store_operation_t *operation =
            g_hash_table_lookup(client->operations, &g_array_index(numbers, uint64_t, i));
        if (operation != NULL)
            report_verdict(operation, VERDICT_UNSURE, NULL);
    }
    g_array_free(numbers, TRUE);
}

static void on_operation_timer(uv_timer_t *timer) {
    store_operation_t *operation = timer->data;
    store_client_t *client = operation->client;
    if (uv_now(client->loop) >= operation->begun_at + GATEWAY_WRITE_MS) {
        give_up(operation);
        return;
    }
    if (operation->request.type == REQUEST_CHAIN)
        widen_chain(operation);
    for (guint i = 0; i < client->members->len; i++) {
        bool unsure =
            operation->verdicts[i] == SAID_UNSURE || operation->durables[i] == SAID_UNSURE;
        if (!unsure || !store_operation_wants(operation, i))
            continue;
        operation->verdicts[i] = SAID_NOTHING;
        store_operation_send(operation, g_ptr_array_index(client->members, i));
    }
}

static store_operation_t *begin_operation(store_client_t *client, message_type_t type,
                                          const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = g_new0(store_operation_t, 1);
    operation->client = client;
    operation->number = ++client->last_number;
    operation->begun_at = uv_now(client->loop);
    operation->handler = handler;
    operation->owner = owner;
    message_init(&operation->request, type);
    operation->request.number = operation->number;
    g_hash_table_insert(client->operations, &operation->number, operation);
    store_silence_note_operation(client);
    uv_timer_init(client->loop, &operation->timer);
    operation->timer.data = operation;
    uint64_t first = type == REQUEST_CHAIN ? CHAIN_WIDEN_MS : UNSURE_AGAIN_MS;
    uv_timer_start(&operation->timer, on_operation_timer, first, UNSURE_AGAIN_MS);
    return operation;
}

store_operation_t *store_client_reserve(store_client_t *client, const char *program,
                                        const char *call, uint64_t most, uint64_t budget,
                                        bool keeps, const store_operation_handler_t *handler,
                                        void *owner) {
    store_operation_t *operation = begin_operation(client, REQUEST_RESERVE, handler, owner);
    operation->request.charge.program = g_strdup(program);
    operation->request.charge.call = g_strdup(call);
    operation->request.charge.most = most;
    operation->budget = budget;
    operation->keeps = keeps;
    store_operation_restart(operation);
    return operation;
}

uint64_t store_operation_place(const store_operation_t *operation) {
    return operation->place;
}

bool store_operation_begun(const store_operation_t *operation) {
    for (guint i = 0; i < operation->client->members->len; i++)
        if (operation->summaries[i].charged > operation->request.charge.most)
            return true;
    return false;
}

store_operation_t *store_client_put_turn(store_client_t *client, const turn_t *turn,
                                         const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = begin_operation(client, REQUEST_PUT_TURN, handler, owner);
    message_add_turn(&operation->request, turn);
    store_operation_restart(operation);
    return operation;
}

store_operation_t *store_client_read_chain(store_client_t *client, const char *turn_id,
                                           const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = begin_operation(client, REQUEST_CHAIN, handler, owner);
    operation->request.turn_id = g_strdup(turn_id);
    store_operation_restart(operation);
    return operation;
}

void store_client_settle(store_client_t *client, const char *program, const char *call,
                         uint64_t most, uint64_t spent) {
    message_t request;
    message_init(&request, REQUEST_SETTLE);
    request.charge = (budget_charge_t){
        .program = g_strdup(program),
        .call = g_strdup(call),
        .most = most,
        .spent = spent,
        .settled = true,
    };
    GBytes *bytes = message_encode(&request);
    for (guint i = 0; i < client->members->len; i++) {
        member_t *member = g_ptr_array_index(client->members, i);
        if (member->link->open)
            store_link_send(member->link, g_bytes_ref(bytes));
        else if (member->backlog->len < BACKLOG_MAXIMUM)
            g_ptr_array_add(member->backlog, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
    message_clear(&request);
}
