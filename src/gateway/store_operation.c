/*
 * Quorum operations: each sends a request to the members of the store group and counts their
 * replies. An operation restarts when the group changes, since replies of an earlier generation are
 * not counted.
 *
 * A call that has run must not be lost because disks are slow, so a write waits for its quorum as
 * long as its caller does, provided that a quorum of members is in reach. A quorum that is complete
 * only after GATEWAY_OPERATION_TIMEOUT_MS is not counted, see store_client.h: the request is sent
 * again under a new number, so that replies to earlier requests are ignored, and the members that
 * have the record confirm it at once.
 */
#include "gateway/store_client_state.h"

#include "common/event.h"

#include <string.h>

enum {
    UNSURE_RETRY_INTERVAL_MS = 150,
    CHAIN_FANOUT_DELAY_MS = 120, /**< Wait for the first member before all are asked. */
    BACKLOG_MAX = 2000,          /**< Settlements queued per disconnected member. */
    /** Two attempts to connect to a member, directly and through a relay, may fail meanwhile. */
    OUT_OF_REACH_MS = 600,
};

static void end_operation(store_operation_t *operation);

/** The encoded request; it counts in the account until no member is left to send it to. */
static GBytes *encode_request(store_operation_t *operation) {
    if (operation->payload == NULL) {
        operation->request.generation = operation->generation;
        GBytes *encoded = message_encode(&operation->request);
        operation->payload = memory_account_wrap_bytes(operation->client->account, encoded);
        g_bytes_unref(encoded);
    }
    return operation->payload;
}

void store_operation_send(store_operation_t *operation, const member_t *member) {
    if (!member->link->open)
        return;
    if (operation->turn_size != NULL)
        store_link_send(member->link, g_bytes_ref(operation->turn_size));
    store_link_send(member->link, g_bytes_ref(encode_request(operation)));
}

bool store_operation_awaits(const store_operation_t *operation, unsigned index) {
    if (operation->request.type == REQUEST_CHAIN)
        return (operation->fanned_out || index == 0) && operation->verdicts[index] != REPLY_NO;
    return operation->durable_replies[index] != REPLY_YES;
}

static void free_replies(store_operation_t *operation) {
    if (operation->verdicts == NULL)
        return;
    g_free(operation->verdicts);
    g_free(operation->durable_replies);
    g_free(operation->charge_replies);
    g_free(operation->space_replies);
    g_free(operation->summaries);
    budget_table_clear(&operation->merged_charges);
}

void store_operation_restart(store_operation_t *operation) {
    store_client_t *client = operation->client;
    unsigned count = client->members->len;
    operation->generation = client->group->generation;
    operation->requested_at = uv_now(client->loop);
    g_clear_pointer(&operation->payload, g_bytes_unref);
    free_replies(operation);
    /* One extra element, so that the arrays are not NULL in an empty group. */
    operation->verdicts = (reply_t *)g_new0(reply_t, count + 1);
    operation->durable_replies = (reply_t *)g_new0(reply_t, count + 1);
    operation->charge_replies = (reply_t *)g_new0(reply_t, count + 1);
    operation->space_replies = (reply_t *)g_new0(reply_t, count + 1);
    operation->summaries = g_new0(budget_summary_t, count + 1);
    operation->reading_charges = false;
    budget_table_init(&operation->merged_charges);
    for (unsigned i = 0; i < count; i++)
        if (store_operation_awaits(operation, i))
            store_operation_send(operation, g_ptr_array_index(client->members, i));
}

/* Counting. */

static unsigned count_replies(const store_operation_t *operation, const reply_t *replies,
                              reply_t wanted) {
    unsigned found = 0;
    for (guint i = 0; i < operation->client->members->len; i++)
        found += replies[i] == wanted;
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

static void log_late_quorum(const store_operation_t *operation) {
    uint64_t now = uv_now(operation->client->loop);
    bool turn = operation->request.type == REQUEST_PUT_TURN;
    const char *record = turn ? g_array_index(operation->request.turns, turn_t, 0).id
                              : operation->request.charge.call;
    event_log(GATEWAY_WRITE_LATE, record, turn ? "turn" : "reserve", now - operation->started_at,
              count_replies(operation, operation->durable_replies, REPLY_YES),
              count_replies(operation, operation->durable_replies, REPLY_UNSURE));
}

/** Sends the request again under a new number; replies to earlier requests are ignored. */
static void ask_again(store_operation_t *operation) {
    store_client_t *client = operation->client;
    log_late_quorum(operation);
    g_hash_table_remove(client->operations, &operation->number);
    operation->number = ++client->last_number;
    operation->request.number = operation->number;
    operation->confirming = true;
    g_hash_table_insert(client->operations, &operation->number, operation);
    store_operation_restart(operation);
}

/** True if a quorum that is complete now may be counted, since its replies are recent enough. */
static bool quorum_is_recent(const store_operation_t *operation) {
    uint64_t now = uv_now(operation->client->loop);
    return now < operation->requested_at + GATEWAY_OPERATION_TIMEOUT_MS;
}

/** Requests the program's charges from the members that accepted the reserve. */
static void request_charges(store_operation_t *operation) {
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
        if (operation->verdicts[i] == REPLY_YES && member->link->open)
            store_link_send(member->link, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
    message_clear(&request);
}

bool store_operation_has_space(const store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    return count_replies(operation, operation->space_replies, REPLY_NO) <=
           members - store_write_quorum(members);
}

/**
 * True once a write quorum has confirmed free space. A missing reply does not count, so that a
 * granted turn does not run and then fail to be stored: a member that was behind reported space,
 * the two that had not replied had none, and the turn was lost.
 */
static bool space_is_confirmed(const store_operation_t *operation) {
    unsigned quorum = store_write_quorum(operation->client->members->len);
    return count_replies(operation, operation->space_replies, REPLY_YES) >= quorum;
}

static budget_decision_t decide_reserve(store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    unsigned quorum = store_write_quorum(members);
    if (count_replies(operation, operation->charge_replies, REPLY_YES) >= quorum) {
        uint64_t charged =
            budget_table_charged(&operation->merged_charges, operation->request.charge.program);
        return charged <= operation->budget ? BUDGET_GRANTED : BUDGET_REFUSED;
    }
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(budget_summary_t));
    for (unsigned i = 0; i < members; i++)
        if (operation->verdicts[i] == REPLY_YES)
            g_array_append_val(summaries, operation->summaries[i]);
    budget_decision_t decision = budget_decide((const budget_summary_t *)summaries->data,
                                               summaries->len, quorum, operation->budget);
    bool enough = summaries->len >= quorum;
    g_array_free(summaries, TRUE);
    if (decision == BUDGET_UNDECIDED && enough && !operation->reading_charges)
        request_charges(operation);
    return decision;
}

/** Refused if the budget refuses; granted once it grants and free space is confirmed. */
static verdict_t reserve_verdict(store_operation_t *operation) {
    budget_decision_t decision = decide_reserve(operation);
    if (decision == BUDGET_REFUSED)
        return VERDICT_NO;
    bool granted = decision == BUDGET_GRANTED && space_is_confirmed(operation);
    return granted ? VERDICT_YES : VERDICT_UNSURE;
}

/**
 * Reports a granted reserve as durable once a quorum has it on disk. While it was not on disk, a
 * member may have lost it and granted its tokens to another call: if it took long, the budget is
 * decided again.
 */
static void evaluate_granted_reserve(store_operation_t *operation) {
    unsigned quorum = store_write_quorum(operation->client->members->len);
    if (count_replies(operation, operation->durable_replies, REPLY_YES) < quorum)
        return;
    if (!quorum_is_recent(operation)) {
        ask_again(operation);
        return;
    }
    budget_decision_t decision = operation->confirming ? decide_reserve(operation) : BUDGET_GRANTED;
    if (decision != BUDGET_UNDECIDED)
        report_durable(operation, decision == BUDGET_GRANTED);
}

static void evaluate_reserve(store_operation_t *operation) {
    store_client_t *client = operation->client;
    uint64_t number = operation->number;
    if (!operation->granted) {
        verdict_t verdict = reserve_verdict(operation);
        bool undecided = verdict == VERDICT_UNSURE && store_operation_has_space(operation);
        if (undecided)
            return;
        report_verdict(operation, verdict, NULL);
        /* The callback may have cancelled the operation. */
        operation = g_hash_table_lookup(client->operations, &number);
    }
    if (operation != NULL && operation->granted)
        evaluate_granted_reserve(operation);
}

static void log_turn_not_stored(const store_operation_t *operation) {
    unsigned complete = count_replies(operation, operation->durable_replies, REPLY_YES);
    unsigned incomplete = count_replies(operation, operation->durable_replies, REPLY_UNSURE);
    unsigned refused = count_replies(operation, operation->durable_replies, REPLY_NO);
    unsigned unanswered = count_replies(operation, operation->durable_replies, REPLY_NONE);
    const turn_t *turn = &g_array_index(operation->request.turns, turn_t, 0);
    event_log(GATEWAY_TURN_NOT_STORED, turn->id, complete, incomplete, refused, unanswered,
              uv_now(operation->client->loop) - operation->started_at);
}

static store_turn_copies_t count_copies(const store_operation_t *operation) {
    const store_client_t *client = operation->client;
    store_turn_copies_t turn = {0};
    for (guint i = 0; i < client->members->len; i++) {
        reply_t reply = operation->durable_replies[i];
        const member_t *member = g_ptr_array_index(client->members, i);
        if (reply != REPLY_YES && reply != REPLY_UNSURE)
            continue;
        turn.copies++;
        turn.complete += reply == REPLY_YES;
        turn.previous += store_group_find(client->group->previous, member->link->name) != NULL;
    }
    return turn;
}

static void evaluate_turn(store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    unsigned quorum = store_write_quorum(members);
    store_turn_copies_t copies = count_copies(operation);
    if (store_turn_durable(operation->client->group, &copies)) {
        if (quorum_is_recent(operation))
            report_durable(operation, true);
        else
            ask_again(operation);
    } else if (count_replies(operation, operation->durable_replies, REPLY_NO) > members - quorum) {
        log_turn_not_stored(operation);
        report_durable(operation, false);
    }
}

static void fan_out_chain(store_operation_t *operation) {
    if (operation->fanned_out)
        return;
    operation->fanned_out = true;
    for (guint i = 1; i < operation->client->members->len; i++)
        store_operation_send(operation, g_ptr_array_index(operation->client->members, i));
}

static void evaluate_chain(store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    if (count_replies(operation, operation->verdicts, REPLY_NO) >= store_absence_quorum(members))
        report_verdict(operation, VERDICT_NO, NULL);
    else if (operation->verdicts[0] != REPLY_NONE)
        fan_out_chain(operation);
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

static void merge_charges(store_operation_t *operation, unsigned index, const message_t *message) {
    if (operation->verdicts[index] != REPLY_YES)
        return;
    for (guint i = 0; i < message->charges->len; i++)
        budget_table_merge(&operation->merged_charges,
                           &g_array_index(message->charges, budget_charge_t, i), 0);
    operation->charge_replies[index] = REPLY_YES;
}

bool store_operation_disks_lag(const store_operation_t *operation) {
    for (guint i = 0; i < operation->client->members->len; i++)
        if (operation->space_replies[i] == REPLY_NO &&
            store_lag_outlasts(g_ptr_array_index(operation->client->members, i),
                               operation->expires_at))
            return true;
    return false;
}

/**
 * Records whether a member has space for the reserve and, if the turn will be stored, for the turn,
 * and a disk that can confirm it in time.
 * VERDICT_NO means no space for the reserve. A member that is not complete in the current
 * generation accepts no reserve (VERDICT_UNSURE) but stores turns: it counts if it has space for
 * one; if not, nothing is recorded.
 */
static void record_space(store_operation_t *operation, unsigned index, const message_t *message) {
    const member_t *member = g_ptr_array_index(operation->client->members, index);
    if (message->verdict == VERDICT_UNSURE && !message->room)
        return;
    bool taken = message->verdict != VERDICT_NO;
    bool has_space = taken && (message->room || !operation->stores_turn) &&
                     !store_lag_outlasts(member, operation->expires_at);
    operation->space_replies[index] = has_space ? REPLY_YES : REPLY_NO;
}

bool store_operation_take_answer(const member_t *member, const message_t *message) {
    store_client_t *client = member->client;
    store_operation_t *operation = g_hash_table_lookup(client->operations, &message->number);
    if (operation == NULL)
        return false;
    /* Replies of an earlier generation are ignored. */
    if (message->type != RESPONSE_OLD_GENERATION && message->generation != operation->generation)
        return true;
    unsigned index = store_client_member_index(client, member);
    static const reply_t reply_by_verdict[VERDICT_COUNT] = {REPLY_YES, REPLY_NO, REPLY_UNSURE};
    reply_t reply = reply_by_verdict[message->verdict];
    switch (message->type) {
    case RESPONSE_CHAIN:
        if (reply == REPLY_YES) {
            report_verdict(operation, VERDICT_YES, message->turns);
            return true;
        }
        operation->verdicts[index] = reply;
        break;
    case RESPONSE_RESERVE:
        operation->verdicts[index] = reply;
        record_space(operation, index, message);
        operation->summaries[index] = message->summary;
        if (message->place != 0)
            operation->last_engine = message->place;
        break;
    case RESPONSE_CHARGES:
        merge_charges(operation, index, message);
        break;
    case RESPONSE_DURABLE:
        operation->durable_replies[index] = reply;
        break;
    case RESPONSE_OLD_GENERATION:
        operation->verdicts[index] = REPLY_UNSURE;
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
    g_clear_pointer(&operation->payload, g_bytes_unref);
    g_clear_pointer(&operation->turn_size, g_bytes_unref);
    free_replies(operation);
    g_free(operation);
}

static void end_operation(store_operation_t *operation) {
    g_hash_table_remove(operation->client->operations, &operation->number);
    if (!uv_is_closing((uv_handle_t *)&operation->timer))
        uv_close((uv_handle_t *)&operation->timer, free_operation);
}

void store_operation_cancel(store_operation_t *operation) {
    if (operation->request.type == REQUEST_PUT_TURN)
        log_turn_not_stored(operation);
    end_operation(operation);
}

void store_operation_expire(store_operation_t *operation) {
    bool turn = operation->request.type == REQUEST_PUT_TURN;
    bool verdict_due = !turn && !operation->granted;
    if (turn)
        log_turn_not_stored(operation);
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
    /* A callback may cancel other operations of the same call. */
    for (guint i = 0; i < numbers->len; i++) {
        store_operation_t *operation =
            g_hash_table_lookup(client->operations, &g_array_index(numbers, uint64_t, i));
        if (operation != NULL)
            report_verdict(operation, VERDICT_UNSURE, NULL);
    }
    g_array_free(numbers, TRUE);
}

/**
 * True if the operation waits for members: a write for the disks of a quorum that responds. If none
 * does, its caller had better try another gateway. A turn has run, and would run again there: it
 * also waits for members that restart, which no gateway reaches meanwhile.
 */
static bool waits_for_members(const store_operation_t *operation) {
    bool turn = operation->request.type == REQUEST_PUT_TURN;
    return ((turn || operation->granted) && store_client_connected(operation->client)) ||
           (turn && store_client_restarting(operation->client));
}

/** True if the operation ends now, without a verdict or without being durable. */
static bool is_expired(store_operation_t *operation) {
    uint64_t now = uv_now(operation->client->loop);
    if (waits_for_members(operation))
        operation->in_reach_at = now;
    if (operation->in_reach_at > 0 && now < operation->in_reach_at + OUT_OF_REACH_MS)
        return now >= operation->expires_at;
    return now >= operation->started_at + GATEWAY_OPERATION_TIMEOUT_MS;
}

static void on_operation_timer(uv_timer_t *timer) {
    store_operation_t *operation = timer->data;
    store_client_t *client = operation->client;
    if (is_expired(operation)) {
        store_operation_expire(operation);
        return;
    }
    if (operation->request.type == REQUEST_CHAIN)
        fan_out_chain(operation);
    for (guint i = 0; i < client->members->len; i++) {
        bool unsure =
            operation->verdicts[i] == REPLY_UNSURE || operation->durable_replies[i] == REPLY_UNSURE;
        if (!unsure || !store_operation_awaits(operation, i))
            continue;
        operation->verdicts[i] = REPLY_NONE;
        store_operation_send(operation, g_ptr_array_index(client->members, i));
    }
}

static store_operation_t *start_operation(store_client_t *client, message_type_t type,
                                          const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = g_new0(store_operation_t, 1);
    operation->client = client;
    operation->number = ++client->last_number;
    operation->started_at = uv_now(client->loop);
    operation->handler = handler;
    operation->owner = owner;
    message_init(&operation->request, type);
    operation->request.number = operation->number;
    g_hash_table_insert(client->operations, &operation->number, operation);
    store_health_on_operation_start(client);
    uv_timer_init(client->loop, &operation->timer);
    operation->timer.data = operation;
    uint64_t first = type == REQUEST_CHAIN ? CHAIN_FANOUT_DELAY_MS : UNSURE_RETRY_INTERVAL_MS;
    uv_timer_start(&operation->timer, on_operation_timer, first, UNSURE_RETRY_INTERVAL_MS);
    return operation;
}

/** NULL if the turn of the call is not large. */
static GBytes *encode_turn_size(const store_reserve_t *reserve) {
    if (!reserve->stores_turn || reserve->input_bytes <= LARGE_TURN_BYTES)
        return NULL;
    message_t message;
    message_init(&message, MESSAGE_TURN_SIZE);
    message.charge.call = g_strdup(reserve->call);
    message.size = reserve->input_bytes;
    GBytes *encoded = message_encode(&message);
    message_clear(&message);
    return encoded;
}

store_operation_t *store_client_reserve(store_client_t *client, const store_reserve_t *reserve,
                                        const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = start_operation(client, REQUEST_RESERVE, handler, owner);
    operation->request.charge.program = g_strdup(reserve->program);
    operation->request.charge.call = g_strdup(reserve->call);
    operation->request.charge.most = reserve->max_tokens;
    operation->budget = reserve->budget;
    operation->stores_turn = reserve->stores_turn;
    operation->turn_size = encode_turn_size(reserve);
    operation->expires_at = operation->started_at + reserve->timeout_ms;
    store_operation_restart(operation);
    return operation;
}

uint64_t store_operation_last_engine(const store_operation_t *operation) {
    return operation->last_engine;
}

bool store_operation_program_started(const store_operation_t *operation) {
    for (guint i = 0; i < operation->client->members->len; i++)
        if (operation->summaries[i].charged > operation->request.charge.most)
            return true;
    return false;
}

uint32_t store_client_turn_retention(uint32_t retention_ms, uint64_t timeout_ms,
                                     uint64_t successor_ms) {
    uint64_t answer_ms = timeout_ms + GATEWAY_OPERATION_TIMEOUT_MS;
    uint64_t kept_ms = retention_ms + answer_ms + successor_ms + GATEWAY_OPERATION_TIMEOUT_MS;
    return (uint32_t)MIN(kept_ms, (uint64_t)UINT32_MAX);
}

store_operation_t *store_client_put_turn(store_client_t *client, const turn_t *turn,
                                         uint64_t timeout_ms,
                                         const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = start_operation(client, REQUEST_PUT_TURN, handler, owner);
    message_add_turn(&operation->request, turn);
    operation->expires_at = operation->started_at + timeout_ms;
    store_operation_restart(operation);
    return operation;
}

store_operation_t *store_client_read_chain(store_client_t *client, const char *turn_id,
                                           const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = start_operation(client, REQUEST_CHAIN, handler, owner);
    operation->request.turn_id = g_strdup(turn_id);
    store_operation_restart(operation);
    return operation;
}

void store_client_settle(store_client_t *client, const char *program, const char *call,
                         uint64_t max_tokens, uint64_t spent) {
    message_t request;
    message_init(&request, REQUEST_SETTLE);
    request.charge = (budget_charge_t){
        .program = g_strdup(program),
        .call = g_strdup(call),
        .most = max_tokens,
        .spent = spent,
        .settled = true,
    };
    GBytes *bytes = message_encode(&request);
    for (guint i = 0; i < client->members->len; i++) {
        member_t *member = g_ptr_array_index(client->members, i);
        if (member->link->open)
            store_link_send(member->link, g_bytes_ref(bytes));
        else if (member->backlog->len < BACKLOG_MAX)
            g_ptr_array_add(member->backlog, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
    message_clear(&request);
}
