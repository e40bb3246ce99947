#include "gateway/quota_client.h"

#include "core/admission/program_home.h"
#include "core/quota/quota_choice.h"

#include <string.h>
#include <xxhash.h>

enum {
    ANSWER_MS = 100,   /**< A member that has not answered by then is passed over, */
    SILENT_MS = 1000,  /**< for so long. The usual way there and back takes 1 to 4 ms. */
    PATIENCE_MS = 100, /**< A call waits so long for a token that it is sure to get. */
    /** One of a program under way, since all that it has had would be lost; members promise no
     * more than quota_split_promise_ms. */
    BEGUN_PATIENCE_MS = 1000,
    PATIENCE_PART = 4, /**< But no longer than this part of the call's time. */
    /** A member that has never answered a program's call is not asked again for so long, twice as
     * long each time: an earlier version drops such a request, but one may also be late. */
    OLD_MS = 1000,
    OLD_MOST_MS = 60000,
    SPREAD_MS = 100, /**< Callers that are over the limit come back over at least so long. */
    SPREAD_MOST_MS = 1000,
    TENANTS_MAXIMUM = 10000, /**< What is known of them is forgotten beyond. */
    GRANTS_KEPT_MOST = 64,   /**< Unused grants of one tenant. */
};

/** What is known of one tenant. */
typedef struct {
    uint64_t generation; /**< Of the group that the arrays are for. */
    unsigned count;
    uint64_t *ranks;       /**< By member: the tenant's ranking of them. */
    uint64_t *empty_until; /**< By member. */
    GArray *unused;        /**< Of uint64_t: ends of grants that no call needed. */
} tenant_state_t;

struct quota_client {
    uv_loop_t *loop;
    store_client_t *stores;
    quota_bounds_t bounds;
    GHashTable *tenants; /**< Name to tenant_state_t. */
    GHashTable *asks;    /**< Number of the request under way to its quota_ask_t. */
    GHashTable *silent;  /**< Name of a member to the time until which it is passed over. */
    GHashTable *knowing; /**< Names of members that have answered a program's call. */
    GHashTable *old;     /**< Name of a member to the time until which it isn't asked for one, */
    GHashTable *old_ms;  /**< and to how long that was, in ms. */
    uint64_t requests;
};

struct quota_ask {
    quota_client_t *client;
    uv_timer_t timer;
    uint64_t number; /**< Of the request under way. */
    uint64_t asked_at;
    bool patient;     /**< It has asked for a token that comes later. */
    uint64_t granted; /**< Such a token is waited for; the end of its grant. */
    unsigned member;
    char *tenant;
    quota_limit_t limit;
    uint64_t generation;
    bool *asked;   /**< By member: in vain. */
    char *program; /**< NULL: a plain call, or one that its home has let go on. */
    uint64_t kind;
    bool begun;
    bool late;
    bool at_home; /**< The request under way names the program. */
    uint32_t patience_ms;
    quota_done_t done;
    void *owner;
};

/* Tenants. */

static void clear_members(tenant_state_t *state) {
    g_free(state->ranks);
    g_free(state->empty_until);
}

static void free_tenant(gpointer data) {
    tenant_state_t *state = data;
    clear_members(state);
    g_array_free(state->unused, TRUE);
    g_free(state);
}

static uint64_t rank_of(const char *tenant, const char *member) {
    return XXH64(member, strlen(member), XXH64(tenant, strlen(tenant), 0));
}

static tenant_state_t *find_tenant(quota_client_t *client, const char *name) {
    tenant_state_t *state = g_hash_table_lookup(client->tenants, name);
    if (state == NULL) {
        if (g_hash_table_size(client->tenants) >= TENANTS_MAXIMUM)
            g_hash_table_remove_all(client->tenants);
        state = g_new0(tenant_state_t, 1);
        state->unused = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_hash_table_insert(client->tenants, g_strdup(name), state);
    }
    uint64_t generation = store_client_generation(client->stores);
    if (state->generation == generation)
        return state;
    clear_members(state);
    state->generation = generation;
    state->count = store_client_members(client->stores);
    state->ranks = g_new0(uint64_t, state->count + 1);
    state->empty_until = g_new0(uint64_t, state->count + 1);
    for (unsigned i = 0; i < state->count; i++)
        state->ranks[i] = rank_of(name, store_client_member_name(client->stores, i));
    return state;
}

/** Takes an unused grant that has not ended; 0 if there is none. */
static uint64_t take_unused(const tenant_state_t *state, uint64_t now) {
    while (state->unused->len > 0) {
        uint64_t until = g_array_index(state->unused, uint64_t, state->unused->len - 1);
        g_array_set_size(state->unused, state->unused->len - 1);
        if (until >= now)
            return until;
    }
    return 0;
}

/* Asking. */

/** True if @p times has a time for the member that is still to come. */
static bool is_before(const quota_client_t *client, GHashTable *times, unsigned member) {
    const char *name = store_client_member_name(client->stores, member);
    const uint64_t *until = g_hash_table_lookup(times, name);
    return until != NULL && uv_now(client->loop) < *until;
}

static bool is_silent(const quota_client_t *client, unsigned member) {
    return is_before(client, client->silent, member);
}

static void note_until(const quota_client_t *client, GHashTable *times, unsigned member,
                       uint32_t ms) {
    uint64_t *until = g_new(uint64_t, 1);
    *until = uv_now(client->loop) + ms;
    g_hash_table_replace(times, g_strdup(store_client_member_name(client->stores, member)), until);
}

static void note_old(const quota_client_t *client, unsigned member) {
    const char *name = store_client_member_name(client->stores, member);
    const uint32_t *last_ms = g_hash_table_lookup(client->old_ms, name);
    uint32_t ms = last_ms == NULL ? OLD_MS : MIN(2 * *last_ms, OLD_MOST_MS);
    g_hash_table_replace(client->old_ms, g_strdup(name), g_memdup2(&ms, sizeof ms));
    note_until(client, client->old, member, ms);
}

/**
 * A member has not answered in time. One that has never answered a program's call may be of an
 * earlier version, and is asked in the old way next, by this call too.
 */
static void note_unanswered(quota_ask_t *ask) {
    const quota_client_t *client = ask->client;
    const char *name = store_client_member_name(client->stores, ask->member);
    bool old = ask->at_home && !g_hash_table_contains(client->knowing, name);
    if (old)
        note_old(client, ask->member);
    else
        note_until(client, client->silent, ask->member, SILENT_MS);
    ask->asked[ask->member] = !old;
}

static void send_request(quota_client_t *client, unsigned member, message_t *message,
                         const char *tenant, const quota_limit_t *limit) {
    message->tenant = g_strdup(tenant);
    message->limit = *limit;
    client->requests++;
    store_client_send_member(client->stores, member, message);
}

/** What is known of the members, for one tenant; to be freed. */
static quota_member_t *list_members(quota_client_t *client, const tenant_state_t *state,
                                    const bool *asked) {
    quota_member_t *members = g_new0(quota_member_t, state->count + 1);
    for (unsigned i = 0; i < state->count; i++)
        members[i] = (quota_member_t){
            .reachable = store_client_member_open(client->stores, i) && !is_silent(client, i),
            .asked = asked != NULL && asked[i],
            .rank = state->ranks[i],
            .empty_until = state->empty_until[i],
        };
    return members;
}

static quota_decision_t decide(quota_client_t *client, const char *tenant,
                               const quota_limit_t *limit, const bool *asked) {
    const tenant_state_t *state = find_tenant(client, tenant);
    quota_member_t *members = list_members(client, state, asked);
    unsigned shares = quota_split_count(&client->bounds, limit, state->count);
    quota_decision_t decision =
        quota_choose(members, state->count, shares, uv_now(client->loop), g_random_int());
    g_free(members);
    return decision;
}

static void on_timer(uv_timer_t *timer);

/** When callers that were refused come back: when there is a token again, spread. */
static uint32_t come_back_ms(uint32_t wait_ms) {
    uint32_t spread = CLAMP(wait_ms, SPREAD_MS, SPREAD_MOST_MS);
    return wait_ms + (uint32_t)g_random_int_range(0, (gint32)spread);
}

/** Sends the ask's request to its member, and waits for the answer. */
static void ask_member(quota_ask_t *ask, message_t *message) {
    quota_client_t *client = ask->client;
    ask->asked_at = uv_now(client->loop);
    ask->number = store_client_next_number(client->stores);
    message->number = ask->number;
    g_hash_table_insert(client->asks, &ask->number, ask);
    send_request(client, ask->member, message, ask->tenant, &ask->limit);
    uv_timer_start(&ask->timer, on_timer, ANSWER_MS, 0);
}

/** Asks the program's home; false if there is none, or one of an earlier version. */
static bool ask_home(quota_ask_t *ask) {
    quota_client_t *client = ask->client;
    const tenant_state_t *state = find_tenant(client, ask->tenant);
    quota_member_t *members = list_members(client, state, NULL);
    unsigned shares = quota_split_count(&client->bounds, &ask->limit, state->count);
    unsigned home =
        program_home_choose(members, state->count, program_home_count(&ask->limit, shares),
                            XXH64(ask->program, strlen(ask->program), 0));
    g_free(members);
    if (home >= state->count || ask->asked[home] || is_before(client, client->old, home))
        return false;
    message_t message;
    message_init(&message, REQUEST_PROGRAM_ALLOWANCE);
    message.charge.program = g_strdup(ask->program);
    message.kind = ask->kind;
    message.begun = ask->begun;
    message.late = ask->late;
    ask->member = home;
    ask->at_home = true;
    ask_member(ask, &message);
    return true;
}

/** The call may ask any member from now on, and waits for so long. */
static void leave_home(quota_ask_t *ask, bool admitted) {
    g_clear_pointer(&ask->program, g_free);
    ask->at_home = false;
    if (!admitted && !ask->begun)
        ask->patience_ms = PATIENCE_MS;
}

/** Asks the next member, or tells what has come of it. */
static quota_result_t step(quota_ask_t *ask) {
    quota_client_t *client = ask->client;
    if (ask->generation != store_client_generation(client->stores)) {
        ask->generation = store_client_generation(client->stores);
        g_free(ask->asked);
        ask->asked = g_new0(bool, store_client_members(client->stores) + 1);
    }
    if (ask->program != NULL && ask_home(ask))
        return (quota_result_t){.outcome = QUOTA_WAITING};
    if (ask->program != NULL)
        leave_home(ask, false);
    quota_decision_t decision = decide(client, ask->tenant, &ask->limit, ask->asked);
    if (decision.step == QUOTA_UNREACHABLE)
        return (quota_result_t){.outcome = QUOTA_UNSURE};
    bool patient =
        decision.step == QUOTA_REFUSE && !ask->patient && decision.wait_ms <= ask->patience_ms;
    if (decision.step == QUOTA_REFUSE && !patient)
        return (quota_result_t){.outcome = QUOTA_OVER, .wait_ms = come_back_ms(decision.wait_ms)};
    ask->patient = patient;
    ask->member = decision.member;
    message_t message;
    message_init(&message, REQUEST_ALLOWANCE);
    message.wait_ms = patient ? ask->patience_ms : 0;
    ask_member(ask, &message);
    return (quota_result_t){.outcome = QUOTA_WAITING};
}

static void free_ask(uv_handle_t *handle) {
    quota_ask_t *ask = handle->data;
    g_free(ask->tenant);
    g_free(ask->program);
    g_free(ask->asked);
    g_free(ask);
}

void quota_ask_cancel(quota_ask_t *ask) {
    g_hash_table_remove(ask->client->asks, &ask->number);
    uv_close((uv_handle_t *)&ask->timer, free_ask);
}

static void finish(quota_ask_t *ask, const quota_result_t *result) {
    quota_done_t done = ask->done;
    void *owner = ask->owner;
    quota_ask_cancel(ask);
    done(owner, result);
}

static void ask_next(quota_ask_t *ask) {
    g_hash_table_remove(ask->client->asks, &ask->number);
    quota_result_t result = step(ask);
    if (result.outcome != QUOTA_WAITING)
        finish(ask, &result);
}

/** The member that was asked grants nothing. */
static void go_on(quota_ask_t *ask) {
    if (ask->generation == store_client_generation(ask->client->stores))
        ask->asked[ask->member] = true;
    ask_next(ask);
}

static void on_timer(uv_timer_t *timer) {
    quota_ask_t *ask = timer->data;
    if (ask->granted > 0) {
        quota_result_t result = {.outcome = QUOTA_GRANTED, .until = ask->granted};
        finish(ask, &result);
        return;
    }
    if (ask->generation == store_client_generation(ask->client->stores))
        note_unanswered(ask);
    ask_next(ask);
}

static void take_call(quota_ask_t *ask, const quota_call_t *call) {
    bool of_program = call->program != NULL;
    uint32_t patience_ms = MIN(call->time_left_ms / PATIENCE_PART, BEGUN_PATIENCE_MS);
    ask->patience_ms = of_program ? MAX(patience_ms, PATIENCE_MS) : PATIENCE_MS;
    ask->begun = of_program && call->begun;
    ask->late = call->late;
    ask->program = g_strdup(call->program);
    ask->kind = XXH64(call->route, strlen(call->route), 0);
}

quota_result_t quota_client_ask(quota_client_t *client, const tenant_t *tenant, uint64_t version,
                                const quota_call_t *call, quota_done_t done, void *owner,
                                quota_ask_t **ask) {
    /* A new program would pass by its home. */
    bool may_use = call->program == NULL || call->begun;
    uint64_t unused =
        may_use ? take_unused(find_tenant(client, tenant->name), uv_now(client->loop)) : 0;
    if (unused > 0)
        return (quota_result_t){.outcome = QUOTA_GRANTED, .until = unused};
    quota_ask_t *created = g_new0(quota_ask_t, 1);
    created->client = client;
    created->tenant = g_strdup(tenant->name);
    created->limit = (quota_limit_t){version, tenant->rate, tenant->burst};
    created->done = done;
    created->owner = owner;
    take_call(created, call);
    created->generation = store_client_generation(client->stores);
    created->asked = g_new0(bool, store_client_members(client->stores) + 1);
    uv_timer_init(client->loop, &created->timer);
    created->timer.data = created;
    quota_result_t result = step(created);
    if (result.outcome == QUOTA_WAITING)
        *ask = created;
    else
        quota_ask_cancel(created);
    return result;
}

void quota_client_give_back(quota_client_t *client, const tenant_t *tenant, uint64_t until) {
    tenant_state_t *state = find_tenant(client, tenant->name);
    if (until >= uv_now(client->loop) && state->unused->len < GRANTS_KEPT_MOST)
        g_array_append_val(state->unused, until);
}

void quota_client_charge(quota_client_t *client, const tenant_t *tenant, uint64_t version) {
    if (take_unused(find_tenant(client, tenant->name), uv_now(client->loop)) > 0)
        return;
    quota_limit_t limit = {version, tenant->rate, tenant->burst};
    quota_decision_t decision = decide(client, tenant->name, &limit, NULL);
    /* Also where all are out of tokens: what was used must be paid for. */
    if (decision.step == QUOTA_UNREACHABLE)
        return;
    message_t message;
    message_init(&message, MESSAGE_CHARGE);
    send_request(client, decision.member, &message, tenant->name, &limit);
}

/** An answer of the program's home; true if the call is refused by it. */
static bool take_home_answer(quota_ask_t *ask, unsigned member, const message_t *message) {
    quota_client_t *client = ask->client;
    if (!ask->at_home || message->type != RESPONSE_ALLOWANCE)
        return false;
    g_hash_table_add(client->knowing, g_strdup(store_client_member_name(client->stores, member)));
    leave_home(ask, true);
    if (message->verdict != VERDICT_UNSURE)
        return false;
    quota_result_t result = {
        .outcome = QUOTA_OVER, .wait_ms = come_back_ms(message->wait_ms), .not_begun = true};
    finish(ask, &result);
    return true;
}

void quota_client_take_answer(quota_client_t *client, unsigned member, const message_t *message) {
    quota_ask_t *ask = g_hash_table_lookup(client->asks, &message->number);
    if (ask == NULL)
        return;
    bool allowance = message->type == RESPONSE_ALLOWANCE;
    bool current = ask->generation == store_client_generation(client->stores) &&
                   message->generation == ask->generation;
    if (take_home_answer(ask, member, message))
        return;
    if (allowance && message->verdict == VERDICT_YES) {
        uint64_t until = ask->asked_at + message->wait_ms + quota_split_grant_ms(&client->bounds);
        if (message->wait_ms > 0) {
            ask->granted = until;
            uv_timer_start(&ask->timer, on_timer, message->wait_ms, 0);
            return;
        }
        quota_result_t result = {.outcome = QUOTA_GRANTED, .until = until};
        finish(ask, &result);
        return;
    }
    if (allowance && current)
        find_tenant(client, ask->tenant)->empty_until[member] =
            uv_now(client->loop) + message->wait_ms;
    go_on(ask);
}

uint64_t quota_client_requests(const quota_client_t *client) {
    return client->requests;
}

quota_client_t *quota_client_new(uv_loop_t *loop, store_client_t *stores,
                                 const quota_bounds_t *bounds) {
    quota_client_t *client = g_new0(quota_client_t, 1);
    client->loop = loop;
    client->stores = stores;
    client->bounds = *bounds;
    client->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_tenant);
    client->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
    client->silent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    client->knowing = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    client->old_ms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    client->old = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return client;
}
