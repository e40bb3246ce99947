#include "gateway/quota_client.h"

#include "core/admission/program_home.h"
#include "core/quota/quota_choice.h"

#include <string.h>
#include <xxhash.h>

enum {
    /** A round trip usually takes 1 to 4 ms. */
    RESPONSE_TIMEOUT_MS = 100,
    UNRESPONSIVE_SKIP_MS = 1000, /**< A member that timed out is skipped for this time. */
    TOKEN_WAIT_MS = 100,         /**< Longest wait of a call for a promised token. */
    /**
     * Longest wait for a promised token if the program has started, since a refusal would waste its
     * work. Members may promise less far ahead, see quota_split_max_advance_ms.
     */
    STARTED_TOKEN_WAIT_MS = 1000,
    TOKEN_WAIT_DIVISOR = 4, /**< With a program, longest token wait: the call's time left / this. */
    /**
     * Exponential backoff of program requests to a member that has never answered one: it may run
     * an earlier version, which drops them, or its response may have been late.
     */
    LEGACY_BACKOFF_MIN_MS = 1000,
    LEGACY_BACKOFF_MAX_MS = 60000,
    JITTER_MIN_MS = 100, /**< Bounds of the jitter of retry-after. */
    JITTER_MAX_MS = 1000,
    TENANTS_MAX = 10000,    /**< Beyond this, the states of all tenants are discarded. */
    UNUSED_GRANTS_MAX = 64, /**< Per tenant. */
};

typedef struct {
    uint64_t generation; /**< Of the group that the arrays describe. */
    unsigned count;
    uint64_t *ranks;       /**< By member: rendezvous hash with the tenant; lowest first. */
    uint64_t *empty_until; /**< By member: out of tokens until then. */
    GArray *unused;        /**< Of uint64_t: expiry times of unused grants. */
} tenant_state_t;

struct quota_client {
    uv_loop_t *loop;
    store_client_t *stores;
    quota_bounds_t bounds;
    GHashTable *tenants; /**< Name to tenant_state_t. */
    GHashTable *pending; /**< Number of the outstanding message to its quota_request_t. */
    GHashTable *unresponsive_until; /**< Member name to the end of its skip time. */
    GHashTable *program_aware;      /**< Names of members that have answered a program request. */
    GHashTable *legacy_until;       /**< Member name to the end of its backoff. */
    GHashTable *legacy_backoff_ms;  /**< Member name to the length of its latest backoff. */
    uint64_t requests;
};

struct quota_request {
    quota_client_t *client;
    uv_timer_t timer;
    uint64_t number; /**< Request number of the outstanding message. */
    uint64_t requested_at;
    bool waiting_for_token;  /**< The outstanding message asks for a promised token. */
    uint64_t promised_until; /**< When the grant of a promised token expires; 0: no promise. */
    unsigned member;
    char *tenant;
    quota_limit_t limit;
    uint64_t generation;
    bool *tried;   /**< By member: refused or timed out, so not asked again. */
    char *program; /**< NULL: no program, or its home need not be asked any more. */
    uint64_t kind;
    bool begun;
    bool late;
    bool at_home; /**< The outstanding message was sent to the home. */
    uint32_t token_wait_ms;
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
        if (g_hash_table_size(client->tenants) >= TENANTS_MAX)
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
    state->count = store_client_member_count(client->stores);
    state->ranks = g_new0(uint64_t, state->count + 1);
    state->empty_until = g_new0(uint64_t, state->count + 1);
    for (unsigned i = 0; i < state->count; i++)
        state->ranks[i] = rank_of(name, store_client_member_name(client->stores, i));
    return state;
}

/** Removes an unused grant that has not expired and returns its expiry; 0: none. */
static uint64_t take_unused_grant(const tenant_state_t *state, uint64_t now) {
    while (state->unused->len > 0) {
        uint64_t until = g_array_index(state->unused, uint64_t, state->unused->len - 1);
        g_array_set_size(state->unused, state->unused->len - 1);
        if (until >= now)
            return until;
    }
    return 0;
}

/* Requests. */

/** True if the member's entry in @p times is a time in the future. */
static bool is_deadline_pending(const quota_client_t *client, GHashTable *times, unsigned member) {
    const char *name = store_client_member_name(client->stores, member);
    const uint64_t *until = g_hash_table_lookup(times, name);
    return until != NULL && uv_now(client->loop) < *until;
}

static bool is_unresponsive(const quota_client_t *client, unsigned member) {
    return is_deadline_pending(client, client->unresponsive_until, member);
}

static void record_until(const quota_client_t *client, GHashTable *times, unsigned member,
                         uint32_t ms) {
    uint64_t *until = g_new(uint64_t, 1);
    *until = uv_now(client->loop) + ms;
    g_hash_table_replace(times, g_strdup(store_client_member_name(client->stores, member)), until);
}

static void mark_legacy(const quota_client_t *client, unsigned member) {
    const char *name = store_client_member_name(client->stores, member);
    const uint32_t *last_ms = g_hash_table_lookup(client->legacy_backoff_ms, name);
    uint32_t ms =
        last_ms == NULL ? LEGACY_BACKOFF_MIN_MS : MIN(2 * *last_ms, LEGACY_BACKOFF_MAX_MS);
    g_hash_table_replace(client->legacy_backoff_ms, g_strdup(name), g_memdup2(&ms, sizeof ms));
    record_until(client, client->legacy_until, member, ms);
}

/**
 * Handles a response timeout. A member that has never answered a program request may run an earlier
 * version: it is treated as legacy and stays eligible for this call's plain request.
 */
static void record_no_response(quota_request_t *request) {
    const quota_client_t *client = request->client;
    const char *name = store_client_member_name(client->stores, request->member);
    bool legacy = request->at_home && !g_hash_table_contains(client->program_aware, name);
    if (legacy)
        mark_legacy(client, request->member);
    else
        record_until(client, client->unresponsive_until, request->member, UNRESPONSIVE_SKIP_MS);
    request->tried[request->member] = !legacy;
}

static void send_request(quota_client_t *client, unsigned member, message_t *message,
                         const char *tenant, const quota_limit_t *limit) {
    message->tenant = g_strdup(tenant);
    message->limit = *limit;
    client->requests++;
    store_client_send_member(client->stores, member, message);
}

/** The candidate members for one tenant; free with g_free(). */
static quota_member_t *list_members(quota_client_t *client, const tenant_state_t *state,
                                    const bool *tried) {
    quota_member_t *members = g_new0(quota_member_t, state->count + 1);
    for (unsigned i = 0; i < state->count; i++)
        members[i] = (quota_member_t){
            .reachable = store_client_member_open(client->stores, i) && !is_unresponsive(client, i),
            .asked = tried != NULL && tried[i],
            .rank = state->ranks[i],
            .empty_until = state->empty_until[i],
        };
    return members;
}

static quota_decision_t decide(quota_client_t *client, const char *tenant,
                               const quota_limit_t *limit, const bool *tried) {
    const tenant_state_t *state = find_tenant(client, tenant);
    quota_member_t *members = list_members(client, state, tried);
    unsigned shares = quota_split_count(&client->bounds, limit, state->count);
    quota_decision_t decision =
        quota_choose(members, state->count, shares, uv_now(client->loop), g_random_int());
    g_free(members);
    return decision;
}

static void on_timer(uv_timer_t *timer);

/** Retry-after of a refused call: the time until the next token, plus jitter. */
static uint32_t retry_after_ms(uint32_t wait_ms) {
    uint32_t jitter = CLAMP(wait_ms, JITTER_MIN_MS, JITTER_MAX_MS);
    return wait_ms + (uint32_t)g_random_int_range(0, (gint32)jitter);
}

/** Sends @p message to the selected member and starts the response timeout. */
static void send_to_member(quota_request_t *request, message_t *message) {
    quota_client_t *client = request->client;
    request->requested_at = uv_now(client->loop);
    request->number = store_client_next_number(client->stores);
    message->number = request->number;
    g_hash_table_insert(client->pending, &request->number, request);
    send_request(client, request->member, message, request->tenant, &request->limit);
    uv_timer_start(&request->timer, on_timer, RESPONSE_TIMEOUT_MS, 0);
}

/** Sends the request to the program's home; false if there is none or it was tried or is legacy. */
static bool request_from_home(quota_request_t *request) {
    quota_client_t *client = request->client;
    const tenant_state_t *state = find_tenant(client, request->tenant);
    quota_member_t *members = list_members(client, state, NULL);
    unsigned shares = quota_split_count(&client->bounds, &request->limit, state->count);
    unsigned home =
        program_home_choose(members, state->count, program_home_count(&request->limit, shares),
                            XXH64(request->program, strlen(request->program), 0));
    g_free(members);
    if (home >= state->count || request->tried[home] ||
        is_deadline_pending(client, client->legacy_until, home))
        return false;
    message_t message;
    message_init(&message, REQUEST_PROGRAM_ALLOWANCE);
    message.charge.program = g_strdup(request->program);
    message.kind = request->kind;
    message.begun = request->begun;
    message.late = request->late;
    request->member = home;
    request->at_home = true;
    send_to_member(request, &message);
    return true;
}

/**
 * Ends the request to the program's home: any member may be asked next. A program that the home did
 * not admit and that has not started gets the shorter token wait.
 */
static void finish_home_check(quota_request_t *request, bool admitted) {
    g_clear_pointer(&request->program, g_free);
    request->at_home = false;
    if (!admitted && !request->begun)
        request->token_wait_ms = TOKEN_WAIT_MS;
}

/** Sends the request to the next member, or returns the final outcome. */
static quota_result_t try_next_member(quota_request_t *request) {
    quota_client_t *client = request->client;
    if (request->generation != store_client_generation(client->stores)) {
        request->generation = store_client_generation(client->stores);
        g_free(request->tried);
        request->tried = g_new0(bool, store_client_member_count(client->stores) + 1);
    }
    if (request->program != NULL && request_from_home(request))
        return (quota_result_t){.outcome = QUOTA_PENDING};
    if (request->program != NULL)
        finish_home_check(request, false);
    quota_decision_t decision = decide(client, request->tenant, &request->limit, request->tried);
    if (decision.step == QUOTA_UNREACHABLE)
        return (quota_result_t){.outcome = QUOTA_UNAVAILABLE};
    bool wait_for_token = decision.step == QUOTA_REFUSE && !request->waiting_for_token &&
                          decision.wait_ms <= request->token_wait_ms;
    if (decision.step == QUOTA_REFUSE && !wait_for_token)
        return (quota_result_t){.outcome = QUOTA_EXCEEDED,
                                .wait_ms = retry_after_ms(decision.wait_ms)};
    request->waiting_for_token = wait_for_token;
    request->member = decision.member;
    message_t message;
    message_init(&message, REQUEST_ALLOWANCE);
    message.wait_ms = wait_for_token ? request->token_wait_ms : 0;
    send_to_member(request, &message);
    return (quota_result_t){.outcome = QUOTA_PENDING};
}

static void free_request(uv_handle_t *handle) {
    quota_request_t *request = handle->data;
    g_free(request->tenant);
    g_free(request->program);
    g_free(request->tried);
    g_free(request);
}

void quota_request_cancel(quota_request_t *request) {
    g_hash_table_remove(request->client->pending, &request->number);
    uv_close((uv_handle_t *)&request->timer, free_request);
}

static void finish(quota_request_t *request, const quota_result_t *result) {
    quota_done_t done = request->done;
    void *owner = request->owner;
    quota_request_cancel(request);
    done(owner, result);
}

static void request_next(quota_request_t *request) {
    g_hash_table_remove(request->client->pending, &request->number);
    quota_result_t result = try_next_member(request);
    if (result.outcome != QUOTA_PENDING)
        finish(request, &result);
}

static void on_not_granted(quota_request_t *request) {
    if (request->generation == store_client_generation(request->client->stores))
        request->tried[request->member] = true;
    request_next(request);
}

static void on_timer(uv_timer_t *timer) {
    quota_request_t *request = timer->data;
    if (request->promised_until > 0) {
        quota_result_t result = {.outcome = QUOTA_GRANTED, .until = request->promised_until};
        finish(request, &result);
        return;
    }
    if (request->generation == store_client_generation(request->client->stores))
        record_no_response(request);
    request_next(request);
}

static void set_call(quota_request_t *request, const quota_call_t *call) {
    bool of_program = call->program != NULL;
    uint32_t token_wait_ms = MIN(call->time_left_ms / TOKEN_WAIT_DIVISOR, STARTED_TOKEN_WAIT_MS);
    request->token_wait_ms = of_program ? MAX(token_wait_ms, TOKEN_WAIT_MS) : TOKEN_WAIT_MS;
    request->begun = of_program && call->begun;
    request->late = call->late;
    request->program = g_strdup(call->program);
    request->kind = XXH64(call->route, strlen(call->route), 0);
}

quota_result_t quota_client_acquire(quota_client_t *client, const tenant_t *tenant,
                                    uint64_t version, const quota_call_t *call, quota_done_t done,
                                    void *owner, quota_request_t **request) {
    /* An unused grant would let a new program bypass its home. */
    bool may_use = call->program == NULL || call->begun;
    uint64_t unused =
        may_use ? take_unused_grant(find_tenant(client, tenant->name), uv_now(client->loop)) : 0;
    if (unused > 0)
        return (quota_result_t){.outcome = QUOTA_GRANTED, .until = unused};
    quota_request_t *created = g_new0(quota_request_t, 1);
    created->client = client;
    created->tenant = g_strdup(tenant->name);
    created->limit = (quota_limit_t){version, tenant->rate, tenant->burst};
    created->done = done;
    created->owner = owner;
    set_call(created, call);
    created->generation = store_client_generation(client->stores);
    created->tried = g_new0(bool, store_client_member_count(client->stores) + 1);
    uv_timer_init(client->loop, &created->timer);
    created->timer.data = created;
    quota_result_t result = try_next_member(created);
    if (result.outcome == QUOTA_PENDING)
        *request = created;
    else
        quota_request_cancel(created);
    return result;
}

void quota_client_return_grant(quota_client_t *client, const tenant_t *tenant, uint64_t until) {
    tenant_state_t *state = find_tenant(client, tenant->name);
    if (until >= uv_now(client->loop) && state->unused->len < UNUSED_GRANTS_MAX)
        g_array_append_val(state->unused, until);
}

void quota_client_charge(quota_client_t *client, const tenant_t *tenant, uint64_t version) {
    if (take_unused_grant(find_tenant(client, tenant->name), uv_now(client->loop)) > 0)
        return;
    quota_limit_t limit = {version, tenant->rate, tenant->burst};
    quota_decision_t decision = decide(client, tenant->name, &limit, NULL);
    /* A member is charged even if all are out of tokens, since the back end is used regardless. */
    if (decision.step == QUOTA_UNREACHABLE)
        return;
    message_t message;
    message_init(&message, MESSAGE_CHARGE);
    send_request(client, decision.member, &message, tenant->name, &limit);
}

/** Handles a response of the program's home; true if the home refused the program. */
static bool handle_home_response(quota_request_t *request, unsigned member,
                                 const message_t *message) {
    quota_client_t *client = request->client;
    if (!request->at_home || message->type != RESPONSE_ALLOWANCE)
        return false;
    g_hash_table_add(client->program_aware,
                     g_strdup(store_client_member_name(client->stores, member)));
    finish_home_check(request, true);
    if (message->verdict != VERDICT_UNSURE)
        return false;
    quota_result_t result = {.outcome = QUOTA_EXCEEDED,
                             .wait_ms = retry_after_ms(message->wait_ms),
                             .program_refused = true};
    finish(request, &result);
    return true;
}

void quota_client_handle_response(quota_client_t *client, unsigned member,
                                  const message_t *message) {
    quota_request_t *request = g_hash_table_lookup(client->pending, &message->number);
    if (request == NULL)
        return;
    bool allowance = message->type == RESPONSE_ALLOWANCE;
    bool current = request->generation == store_client_generation(client->stores) &&
                   message->generation == request->generation;
    if (handle_home_response(request, member, message))
        return;
    if (allowance && message->verdict == VERDICT_YES) {
        uint64_t until = request->requested_at + message->wait_ms +
                         quota_split_grant_lifetime_ms(&client->bounds);
        if (message->wait_ms > 0) {
            request->promised_until = until;
            uv_timer_start(&request->timer, on_timer, message->wait_ms, 0);
            return;
        }
        quota_result_t result = {.outcome = QUOTA_GRANTED, .until = until};
        finish(request, &result);
        return;
    }
    if (allowance && current)
        find_tenant(client, request->tenant)->empty_until[member] =
            uv_now(client->loop) + message->wait_ms;
    on_not_granted(request);
}

uint64_t quota_client_request_count(const quota_client_t *client) {
    return client->requests;
}

quota_client_t *quota_client_new(uv_loop_t *loop, store_client_t *stores,
                                 const quota_bounds_t *bounds) {
    quota_client_t *client = g_new0(quota_client_t, 1);
    client->loop = loop;
    client->stores = stores;
    client->bounds = *bounds;
    client->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_tenant);
    client->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
    client->unresponsive_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    client->program_aware = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    client->legacy_backoff_ms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    client->legacy_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return client;
}
