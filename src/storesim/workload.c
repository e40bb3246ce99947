/*
 * Design. Each gateway keeps a few conversations and programs going through the real
 * store_client.c. The oracle knows which turns were acknowledged, what they hold, and how many
 * tokens of each program callers may have got: those of every reserve that was reported durable,
 * until it is settled. Gateways die with reserves open; those stay counted in full.
 */
#include "storesim/world.h"

#include <string.h>

enum {
    STEP_LEAST_MS = 5,
    STEP_MOST_MS = 60,
    PROGRAMS = 12,
    BUDGET = 1000,
    CONTENT_WIDTH = 100, /**< Bytes of an input or output, about. */
    MOST_LEAST = 50,
    MOST_MOST = 400,
    WRITE_TIMEOUT_MS = 4000, /**< A caller's time for a turn or a reserve to be durable. */
    READ_AGAIN_MS = 400,
    READ_TRIES = 15,
    PARENTS_LATEST = 40,     /**< Turns go on from one of so many, if turns are forgotten: */
    PARENT_LEFT_MS = 3000,   /**< one that is kept for so long yet. */
    CONVERSATIONS = 16,      /**< Of workload_continue_conversations. */
    EXPIRY_MARGIN_MS = 1000, /**< A turn was kept before it was acknowledged. */
    CONNECT_CHECK_MS = 50,
    RELAY_PATIENCE_MS = 2500, /**< From the cut until another gateway helps. */
    CUT_PATIENCE_MS = 1100,   /**< Less than the kernel takes to give a connection up. */
    GATEWAYS_MAXIMUM = 16,
    CONNECT_PATIENCE_MS = 600, /**< Less than a second opening packet of the kernel would take. */
};

/** What the oracle knows of a turn. */
typedef struct known_turn {
    char *id;
    char *parent;
    struct known_turn *goes_on_from; /**< The parent; NULL: none. */
    unsigned conversation;
    bool acknowledged;
    uint64_t expires_at; /**< Until then it must be found; later as turns go on from it. */
} known_turn_t;

typedef struct {
    uint64_t handed; /**< Tokens that callers may have got. */
} known_program_t;

static GPtrArray *turns; /**< Of known_turn_t. */
static GHashTable *turns_by_id;
static GPtrArray *acknowledged; /**< Of known_turn_t. */
static known_program_t programs[PROGRAMS];
static workload_result_t result;
static known_turn_t *last_turns[CONVERSATIONS]; /**< NULL: the conversation has not begun. */
static bool continues_conversations;
static uint64_t last_id;
static uint64_t write_until;
static uint32_t retention_ms;
static world_t *world;

static GBytes *content(const char *kind, const char *id) {
    char *text = g_strdup_printf("%s of %-*s", kind, CONTENT_WIDTH, id);
    return g_bytes_new_take(text, strlen(text));
}

/* Turns. */

/** A turn is kept for its retention time, and as long as one that goes on from it. */
static void keep_chain(known_turn_t *turn) {
    for (; turn != NULL; turn = turn->goes_on_from)
        turn->expires_at = MAX(turn->expires_at, virtual_now() + retention_ms);
}

static bool must_be_found(const known_turn_t *turn) {
    return virtual_now() + EXPIRY_MARGIN_MS < turn->expires_at;
}

static void on_turn_durable(void *owner, bool durable) {
    known_turn_t *turn = owner;
    if (!durable) {
        result.turns_given_up++;
        return;
    }
    turn->acknowledged = true;
    keep_chain(turn);
    last_turns[turn->conversation] = turn;
    g_ptr_array_add(acknowledged, turn);
    result.turns_acknowledged++;
}

static const store_operation_handler_t put_handler = {NULL, on_turn_durable};

/** Any that was acknowledged, or if turns are forgotten one of the latest; NULL: there is none. */
static known_turn_t *random_acknowledged(void) {
    if (acknowledged->len == 0)
        return NULL;
    bool forgotten = retention_ms < WORKLOAD_RETENTION_MS;
    guint first =
        forgotten && acknowledged->len > PARENTS_LATEST ? acknowledged->len - PARENTS_LATEST : 0;
    known_turn_t *turn =
        g_ptr_array_index(acknowledged, virtual_random(first, acknowledged->len - 1));
    return virtual_now() + PARENT_LEFT_MS < turn->expires_at ? turn : NULL;
}

static known_turn_t *choose_parent(unsigned conversation) {
    if (!continues_conversations)
        return virtual_chance(30) ? NULL : random_acknowledged();
    known_turn_t *last = last_turns[conversation];
    return last != NULL && virtual_now() + PARENT_LEFT_MS < last->expires_at ? last : NULL;
}

static void write_turn(store_client_t *client) {
    known_turn_t *known = g_new0(known_turn_t, 1);
    if (continues_conversations)
        known->conversation = (unsigned)virtual_random(0, CONVERSATIONS - 1);
    known_turn_t *parent = choose_parent(known->conversation);
    known->goes_on_from = parent;
    known->id = g_strdup_printf("turn-%" G_GUINT64_FORMAT, (guint64)++last_id);
    known->parent = g_strdup(parent == NULL ? "" : parent->id);
    g_ptr_array_add(turns, known);
    g_hash_table_insert(turns_by_id, known->id, known);
    turn_t turn = {
        .id = known->id,
        .parent = known->parent,
        .input = content("input", known->id),
        .output = content("output", known->id),
        .retention_ms = retention_ms,
    };
    store_client_put_turn(client, &turn, WRITE_TIMEOUT_MS, &put_handler, known);
    g_bytes_unref(turn.input);
    g_bytes_unref(turn.output);
}

static bool same_content(GBytes *bytes, const char *kind, const char *id) {
    GBytes *expected = content(kind, id);
    bool same = g_bytes_equal(bytes, expected);
    g_bytes_unref(expected);
    return same;
}

static void check_chain(const char *id, const GArray *chain) {
    for (guint i = 0; i < chain->len; i++) {
        const turn_t *turn = &g_array_index(chain, turn_t, i);
        const known_turn_t *known = g_hash_table_lookup(turns_by_id, turn->id);
        if (known == NULL) {
            result.turns_invented++;
            return;
        }
        bool right = strcmp(turn->id, id) == 0 && strcmp(turn->parent, known->parent) == 0 &&
                     same_content(turn->input, "input", id) &&
                     same_content(turn->output, "output", id);
        if (!right) {
            result.turns_wrong++;
            return;
        }
        id = known->parent;
    }
}

typedef struct {
    const known_turn_t *turn; /**< NULL: one that nobody wrote. */
    char *id;
    bool is_ancestor;    /**< The id is of an ancestor, which another answer lacked. */
    unsigned tries_left; /**< Of a reading that must succeed in the end; 0: need not. */
} read_t;

static void begin_read(read_t *read);

static void read_again(void *data) {
    begin_read(data);
}

static void try_again(read_t *read, char *id) {
    g_free(read->id);
    read->id = id;
    virtual_after(READ_AGAIN_MS, NULL, read_again, read);
}

/** The turn before the first one of @p chain; NULL: none, the chain is whole. */
static const char *missing_ancestor(const GArray *chain) {
    const char *parent = g_array_index(chain, turn_t, chain->len - 1).parent;
    return *parent == '\0' ? NULL : parent;
}

static void on_chain(void *owner, verdict_t verdict, const GArray *chain) {
    read_t *read = owner;
    result.reads++;
    if (verdict == VERDICT_YES && read->turn == NULL)
        result.turns_invented++;
    else if (verdict == VERDICT_YES) {
        check_chain(read->id, chain);
        const char *missing = missing_ancestor(chain);
        /* The answer of a member that lacks an ancestor, which others may have. */
        if (missing != NULL && read->tries_left > 0) {
            read->is_ancestor = true;
            try_again(read, g_strdup(missing));
            return;
        }
    } else if (read->is_ancestor && read->tries_left > 1) {
        read->tries_left--;
        try_again(read, g_strdup(read->id));
        return;
    } else if (read->is_ancestor)
        result.turns_not_read += must_be_found(read->turn);
    else if (verdict == VERDICT_NO && read->turn != NULL)
        result.turns_lost += must_be_found(read->turn);
    else if (verdict == VERDICT_UNSURE && read->tries_left > 1) {
        read->tries_left--;
        virtual_after(READ_AGAIN_MS, NULL, read_again, read);
        return;
    } else if (verdict == VERDICT_UNSURE && read->tries_left == 1)
        result.turns_not_read++;
    g_free(read->id);
    g_free(read);
}

static const store_operation_handler_t read_handler = {on_chain, NULL};

static store_client_t *random_client(void) {
    const world_gateway_t *gateway =
        g_ptr_array_index(world->gateways, virtual_random(0, world->gateways->len - 1));
    return gateway->client;
}

static void begin_read(read_t *read) {
    store_client_t *client = random_client();
    if (client != NULL)
        store_client_read_chain(client, read->id, &read_handler, read);
}

static void read_turn(store_client_t *client) {
    read_t *read = g_new0(read_t, 1);
    read->turn = virtual_chance(10) ? NULL : random_acknowledged();
    read->id = read->turn == NULL ? g_strdup("never-written") : g_strdup(read->turn->id);
    store_client_read_chain(client, read->id, &read_handler, read);
}

/* Budgets. */

typedef struct {
    store_client_t *client;
    virtual_process_t *process;
    unsigned program;
    char *call;
    uint64_t most;
} reserve_t;

static char *program_name(unsigned program) {
    return g_strdup_printf("program-%u", program);
}

static void settle(reserve_t *reserve, uint64_t spent) {
    char *name = program_name(reserve->program);
    store_client_settle(reserve->client, name, reserve->call, reserve->most, spent);
    g_free(name);
}

static void finish_reserve(void *data) {
    reserve_t *reserve = data;
    uint64_t spent = virtual_chance(30) ? reserve->most : virtual_random(0, reserve->most / 3);
    /* The caller got this much and no more; the rest is free again once settled. */
    programs[reserve->program].handed -= reserve->most - spent;
    settle(reserve, spent);
    g_free(reserve->call);
    g_free(reserve);
}

static void on_reserve_verdict(void *owner, verdict_t verdict, const GArray *chain) {
    reserve_t *reserve = owner;
    (void)chain;
    if (verdict == VERDICT_YES) {
        result.reserves_granted++;
        return;
    }
    result.reserves_refused++;
    settle(reserve, 0);
    g_free(reserve->call);
    g_free(reserve);
}

static void on_reserve_durable(void *owner, bool durable) {
    reserve_t *reserve = owner;
    if (!durable) {
        settle(reserve, 0);
        g_free(reserve->call);
        g_free(reserve);
        return;
    }
    known_program_t *program = &programs[reserve->program];
    program->handed += reserve->most;
    if (program->handed > BUDGET)
        result.budgets_exceeded++;
    virtual_after(virtual_random(20, 400), reserve->process, finish_reserve, reserve);
}

static const store_operation_handler_t reserve_handler = {on_reserve_verdict, on_reserve_durable};

static void begin_reserve(const world_gateway_t *gateway) {
    reserve_t *reserve = g_new0(reserve_t, 1);
    reserve->client = gateway->client;
    reserve->process = gateway->process;
    reserve->program = (unsigned)virtual_random(0, PROGRAMS - 1);
    reserve->call = g_strdup_printf("call-%" G_GUINT64_FORMAT, (guint64)++last_id);
    reserve->most = virtual_random(MOST_LEAST, MOST_MOST);
    char *name = program_name(reserve->program);
    const store_reserve_t request = {
        .program = name,
        .call = reserve->call,
        .max_tokens = reserve->most,
        .budget = BUDGET,
        .timeout_ms = WRITE_TIMEOUT_MS,
    };
    store_client_reserve(gateway->client, &request, &reserve_handler, reserve);
    g_free(name);
}

/* Driving. */

static void step(void *data) {
    const world_gateway_t *gateway = data;
    if (virtual_now() >= write_until)
        return;
    virtual_after(virtual_random(STEP_LEAST_MS, STEP_MOST_MS), NULL, step, data);
    bool awake = gateway->process->paused_until <= virtual_now();
    if (gateway->client == NULL || !awake)
        return;
    unsigned choice = (unsigned)virtual_random(1, 100);
    if (choice <= 45)
        write_turn(gateway->client);
    else if (choice <= 70)
        read_turn(gateway->client);
    else
        begin_reserve(gateway);
}

/* How soon gateways reach the storage nodes once all are up. */

static uint64_t all_up_since;

static bool all_up(void) {
    for (guint i = 0; i < world->gateways->len; i++)
        if (((const world_gateway_t *)g_ptr_array_index(world->gateways, i))->client == NULL)
            return false;
    for (guint i = 0; i < world->stores->len; i++)
        if (((const world_store_t *)g_ptr_array_index(world->stores, i))->store == NULL)
            return false;
    return true;
}

static void check_connects(void *data) {
    virtual_after(CONNECT_CHECK_MS, NULL, check_connects, data);
    if (!all_up()) {
        all_up_since = 0;
        return;
    }
    if (all_up_since == 0)
        all_up_since = virtual_now();
    uint64_t since = virtual_now() - all_up_since;
    if (since < CONNECT_PATIENCE_MS || since >= CONNECT_PATIENCE_MS + CONNECT_CHECK_MS)
        return;
    for (guint i = 0; i < world->gateways->len; i++) {
        const world_gateway_t *gateway = g_ptr_array_index(world->gateways, i);
        result.connects_late += !store_client_connected(gateway->client);
    }
}

void workload_judge_connects(void) {
    all_up_since = 0;
    virtual_after(CONNECT_CHECK_MS, NULL, check_connects, NULL);
}

/* How soon a gateway notices that it is cut off. */

static uint64_t cut_since[GATEWAYS_MAXIMUM];
static uint64_t reach_before[GATEWAYS_MAXIMUM]; /**< One bit for each store. */

static uint64_t stores_in_reach(const world_gateway_t *gateway) {
    uint64_t reach = 0;
    for (guint i = 0; i < world->stores->len; i++) {
        const world_store_t *store = g_ptr_array_index(world->stores, i);
        if (store->store != NULL &&
            !g_hash_table_contains(gateway->process->cut_from, store->process))
            reach |= (uint64_t)1 << i;
    }
    return reach;
}

static void check_cut(unsigned number) {
    const world_gateway_t *gateway = g_ptr_array_index(world->gateways, number);
    const store_group_t *group = world_group(world);
    bool awake = gateway->client != NULL && gateway->process->paused_until <= virtual_now();
    uint64_t reach = stores_in_reach(gateway);
    /* One cut that ends as another begins lets a quorum be heard of, one after the other. */
    bool more = (reach & ~reach_before[number]) != 0;
    reach_before[number] = reach;
    bool cut = group != NULL && awake && !more &&
               (unsigned)__builtin_popcountll(reach) < store_write_quorum(group->members->len);
    if (!cut)
        cut_since[number] = 0;
    else if (cut_since[number] == 0)
        cut_since[number] = virtual_now();
    else if (virtual_now() >= cut_since[number] + CUT_PATIENCE_MS)
        result.cuts_unnoticed += store_client_connected(gateway->client);
}

static void check_cuts(void *data) {
    virtual_after(CONNECT_CHECK_MS, NULL, check_cuts, data);
    for (guint i = 0; i < world->gateways->len && virtual_now() < write_until; i++)
        check_cut(i);
}

void workload_judge_cuts(void) {
    memset(cut_since, 0, sizeof cut_since);
    memset(reach_before, 0, sizeof reach_before);
    virtual_after(CONNECT_CHECK_MS, NULL, check_cuts, NULL);
}

/* How soon another gateway helps. */

static uint64_t helpless_since[GATEWAYS_MAXIMUM]; /**< Cut, while the others could help. */

static bool others_connected(unsigned number) {
    for (guint i = 0; i < world->gateways->len; i++) {
        const world_gateway_t *other = g_ptr_array_index(world->gateways, i);
        bool awake = other->client != NULL && other->process->paused_until <= virtual_now();
        if (i != number && !(awake && store_client_connected_directly(other->client)))
            return false;
    }
    return true;
}

static void check_relay(unsigned number) {
    const world_gateway_t *gateway = g_ptr_array_index(world->gateways, number);
    const store_group_t *group = world_group(world);
    bool cut = group != NULL && gateway->client != NULL &&
               (unsigned)__builtin_popcountll(stores_in_reach(gateway)) <
                   store_write_quorum(group->members->len);
    if (!cut || !others_connected(number) || store_client_connected(gateway->client))
        helpless_since[number] = 0;
    else if (helpless_since[number] == 0)
        helpless_since[number] = virtual_now();
    else if (virtual_now() >= helpless_since[number] + RELAY_PATIENCE_MS)
        result.cuts_unserved++;
}

static void check_relays(void *data) {
    virtual_after(CONNECT_CHECK_MS, NULL, check_relays, data);
    for (guint i = 0; i < world->gateways->len && virtual_now() < write_until; i++)
        check_relay(i);
}

void workload_judge_relays(void) {
    memset(helpless_since, 0, sizeof helpless_since);
    virtual_after(CONNECT_CHECK_MS, NULL, check_relays, NULL);
}

void workload_start(world_t *in_world, uint64_t until, uint32_t keep_turns_ms) {
    world = in_world;
    write_until = until;
    retention_ms = keep_turns_ms;
    turns = g_ptr_array_new();
    turns_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    acknowledged = g_ptr_array_new();
    memset(programs, 0, sizeof programs);
    memset(last_turns, 0, sizeof last_turns);
    continues_conversations = false;
    memset(&result, 0, sizeof result);
    for (guint i = 0; i < world->gateways->len; i++)
        virtual_after(virtual_random(0, STEP_MOST_MS), NULL, step,
                      g_ptr_array_index(world->gateways, i));
}

void workload_continue_conversations(void) {
    continues_conversations = true;
}

void workload_check_all(void) {
    for (guint i = 0; i < acknowledged->len; i++) {
        const known_turn_t *turn = g_ptr_array_index(acknowledged, i);
        if (!must_be_found(turn))
            continue;
        read_t *read = g_new0(read_t, 1);
        read->turn = turn;
        read->id = g_strdup(turn->id);
        read->tries_left = READ_TRIES;
        virtual_after(i / 4, NULL, read_again, read);
    }
}

const workload_result_t *workload_result(void) {
    return &result;
}
