/*
 * Design. A member that is not complete copies what it lacks from a read quorum of the members
 * that were (core/quorum/store_group.h says which): their charges, and the turns it does not
 * have. It sends a digest of what it holds, and gets the index of what differs. A turn that several
 * of them hold is asked for at the first; the others' copies wait for it. A copy counts once all of
 * its index is on this node's disk.
 *
 * A node whose disk came back empty waits before it copies: a gateway gives a write up after a
 * time that is shorter than this wait, so a write that counted this node's lost copy has either
 * reached a quorum, and the others hold it, or never will.
 */
#include "store/store.h"

#include "common/event.h"
#include "core/digest/record_digest.h"
#include "store/store_peer.h"

enum {
    POLL_MS = 200,
    EMPTY_DISK_WAIT_MS = 2000, /**< More than GATEWAY_WRITE_MS of gateway/store_client.h. */
    TURNS_A_REQUEST = 200,
    STEP_MS = 3000, /**< A step of a copy that takes longer is begun again. */
};

typedef enum { COPY_STATUS, COPY_INDEX, COPY_TURNS, COPY_WRITING, COPY_DONE } copy_step_t;

/** Copying from one other member. */
typedef struct {
    store_catch_up_state_t *catch_up;
    store_peer_t *peer;
    copy_step_t step;
    uint64_t step_since;
    uint64_t begun_at;  /**< When its peer was first asked what differs; 0: it was not. */
    GPtrArray *wanted;  /**< Ids of turns still to be asked for. */
    GPtrArray *awaited; /**< Ids of turns that another copy has asked for. */
    unsigned unwritten;
    bool failed;
    gint references;
} copy_t;

struct store_catch_up {
    store_t *store;
    uv_timer_t timer;
    bool running;
    uint64_t generation; /**< The copies are for this generation. */
    GPtrArray *copies;
    GHashTable *claims; /**< Id of a turn to the copy_t that asks its peer for it. */
    bool finishing;
};

static void copy_unref(copy_t *copy) {
    if (--copy->references > 0)
        return;
    g_ptr_array_free(copy->wanted, TRUE);
    g_ptr_array_free(copy->awaited, TRUE);
    g_free(copy);
}

static gboolean claimed_by(gpointer id, gpointer claimer, gpointer data) {
    const copy_t *copy = data;
    copy->catch_up->store->copy_looks++;
    (void)id;
    return claimer == copy;
}

/** Others may ask for what this copy had claimed. */
static void release_claims(copy_t *copy) {
    g_hash_table_foreach_remove(copy->catch_up->claims, claimed_by, copy);
}

static void drop_copy(gpointer data) {
    copy_t *copy = data;
    release_claims(copy);
    store_peer_free(copy->peer);
    copy->peer = NULL;
    copy_unref(copy);
}

static void set_step(copy_t *copy, copy_step_t step) {
    copy->step = step;
    copy->step_since = uv_now(copy->catch_up->store->loop);
    if (step == COPY_STATUS || step == COPY_DONE)
        release_claims(copy);
}

static uint64_t copy_age(const copy_t *copy) {
    return uv_now(copy->catch_up->store->loop) - copy->begun_at;
}

static void log_copy(const copy_t *copy, const char *state, guint charges) {
    event_log(STORE_COPY, copy->peer->name, state, copy->wanted->len, charges, copy_age(copy));
}

static void ask_for_turns(copy_t *copy) {
    if (copy->peer->connection == NULL) {
        set_step(copy, COPY_STATUS);
        return;
    }
    set_step(copy, COPY_TURNS);
    message_t request;
    message_init(&request, REQUEST_TURNS);
    for (unsigned i = 0; i < TURNS_A_REQUEST && copy->wanted->len > 0; i++)
        g_ptr_array_add(request.ids,
                        g_ptr_array_steal_index_fast(copy->wanted, copy->wanted->len - 1));
    store_peer_send(copy->peer, &request);
    message_clear(&request);
}

/** Asks this copy's peer for a turn, or leaves it to the copy that has done so. */
static void claim_turn(copy_t *copy, const char *id) {
    copy_t *claimer = g_hash_table_lookup(copy->catch_up->claims, id);
    if (claimer != NULL && claimer != copy) {
        g_ptr_array_add(copy->awaited, g_strdup(id));
        return;
    }
    g_hash_table_insert(copy->catch_up->claims, g_strdup(id), copy);
    g_ptr_array_add(copy->wanted, g_strdup(id));
}

/** Takes awaited turns off the list that are here; claims those that nobody asks for any more. */
static void look_at_awaited(copy_t *copy) {
    GPtrArray *awaited = copy->awaited;
    copy->awaited = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < awaited->len; i++) {
        const char *id = g_ptr_array_index(awaited, i);
        copy->catch_up->store->copy_looks++;
        if (turn_table_find(&copy->catch_up->store->turns, id) == NULL)
            claim_turn(copy, id);
    }
    g_ptr_array_free(awaited, TRUE);
}

/** Does what is next once the turns asked for have come. */
static void go_on(copy_t *copy) {
    if (copy->wanted->len == 0 && copy->unwritten == 0) {
        /* What the peer no longer had will not come: another copy may ask for it. */
        release_claims(copy);
        look_at_awaited(copy);
    }
    if (copy->wanted->len > 0) {
        ask_for_turns(copy);
    } else if (copy->unwritten > 0 || (copy->awaited->len > 0 && !copy->failed)) {
        set_step(copy, COPY_WRITING);
    } else {
        log_copy(copy, copy->failed ? "failed" : "ended", 0);
        set_step(copy, copy->failed ? COPY_STATUS : COPY_DONE);
        copy->failed = false;
    }
}

static void on_copied(void *owner, bool durable) {
    copy_t *copy = owner;
    copy->unwritten--;
    copy->failed = copy->failed || !durable;
    if (copy->peer != NULL && copy->step == COPY_WRITING && copy->unwritten == 0) {
        go_on(copy);
        store_catch_up_check(copy->catch_up->store);
    }
    copy_unref(copy);
}

static void append_copy(copy_t *copy, message_t *record) {
    copy->references++;
    copy->unwritten++;
    store_append_copy(copy->catch_up->store, record, on_copied, copy);
}

static void take_charges(copy_t *copy, message_t *response) {
    for (guint i = 0; i < response->charges->len; i++) {
        budget_charge_t *charge = &g_array_index(response->charges, budget_charge_t, i);
        if (budget_table_covers(&copy->catch_up->store->budgets, charge))
            continue;
        message_t record;
        message_init(&record, RECORD_CHARGE);
        record.charge = *charge;
        append_copy(copy, &record);
        record.charge = (budget_charge_t){0};
        message_clear(&record);
    }
}

static void take_index(copy_t *copy, message_t *response) {
    store_t *store = copy->catch_up->store;
    take_charges(copy, response);
    g_ptr_array_set_size(copy->wanted, 0);
    g_ptr_array_set_size(copy->awaited, 0);
    for (guint i = 0; i < response->ids->len; i++) {
        const char *id = g_ptr_array_index(response->ids, i);
        store->copy_looks++;
        if (turn_table_find(&store->turns, id) == NULL)
            claim_turn(copy, id);
    }
    log_copy(copy, "begun", response->charges->len);
    go_on(copy);
}

static void take_turns(copy_t *copy, message_t *response) {
    copy->catch_up->store->turns_copied += response->turns->len;
    for (guint i = 0; i < response->turns->len; i++) {
        message_t record;
        message_init(&record, REQUEST_PUT_TURN);
        message_add_turn(&record, &g_array_index(response->turns, turn_t, i));
        append_copy(copy, &record);
        message_clear(&record);
    }
    go_on(copy);
}

static void on_message(void *owner, message_t *message) {
    copy_t *copy = owner;
    store_catch_up_state_t *catch_up = copy->catch_up;
    if (message->type == RESPONSE_INDEX && copy->step == COPY_INDEX)
        take_index(copy, message);
    else if (message->type == RESPONSE_TURNS && copy->step == COPY_TURNS)
        take_turns(copy, message);
    store_catch_up_check(catch_up->store);
}

static void on_lost(void *owner) {
    copy_t *copy = owner;
    if (copy->step != COPY_DONE && copy->step != COPY_WRITING)
        set_step(copy, COPY_STATUS);
}

static void add_copy(store_catch_up_state_t *catch_up, const store_member_t *member) {
    copy_t *copy = g_new0(copy_t, 1);
    copy->catch_up = catch_up;
    copy->references = 1;
    copy->wanted = g_ptr_array_new_with_free_func(g_free);
    copy->awaited = g_ptr_array_new_with_free_func(g_free);
    copy->peer = store_peer_new(catch_up->store, member->name, member->address);
    copy->peer->on_message = on_message;
    copy->peer->on_lost = on_lost;
    copy->peer->owner = copy;
    set_step(copy, COPY_STATUS);
    g_ptr_array_add(catch_up->copies, copy);
    store_peer_poll(copy->peer);
}

/** Begins the copy from a member that has said it is complete, or asks again. */
static void drive_copy(copy_t *copy, uint64_t source_complete_in) {
    const store_peer_t *peer = copy->peer;
    uint64_t age = uv_now(copy->catch_up->store->loop) - copy->step_since;
    bool stuck = (copy->step == COPY_INDEX || copy->step == COPY_TURNS) && age > STEP_MS;
    if (stuck) {
        log_copy(copy, "stuck", 0);
        set_step(copy, COPY_STATUS);
    }
    if (copy->step != COPY_STATUS)
        return;
    bool usable = peer->connection != NULL && peer->answered_at > 0 &&
                  peer->complete_in >= source_complete_in;
    if (!usable)
        return;
    set_step(copy, COPY_INDEX);
    if (copy->begun_at == 0)
        copy->begun_at = copy->step_since;
    message_t request;
    message_init(&request, REQUEST_INDEX);
    request.generation = copy->catch_up->generation;
    store_t *store = copy->catch_up->store;
    store_forget_expired(store);
    record_digest_t digest;
    record_digest_compute(&digest, &store->turns, &store->budgets);
    request.digest = record_digest_encode(&digest);
    store_peer_send(copy->peer, &request);
    message_clear(&request);
}

static void restart_copies(store_catch_up_state_t *catch_up, const store_catch_up_t *plan) {
    const store_t *store = catch_up->store;
    g_ptr_array_set_size(catch_up->copies, 0);
    catch_up->generation = store->group->generation;
    catch_up->finishing = false;
    for (guint i = 0; i < plan->sources->len; i++) {
        const store_member_t *member = &g_array_index(plan->sources, store_member_t, i);
        if (g_strcmp0(member->name, store->settings->name) != 0)
            add_copy(catch_up, member);
    }
}

static unsigned count_done(const store_catch_up_state_t *catch_up) {
    unsigned done = 0;
    for (guint i = 0; i < catch_up->copies->len; i++)
        done += ((const copy_t *)g_ptr_array_index(catch_up->copies, i))->step == COPY_DONE;
    return done;
}

static void stop(store_catch_up_state_t *catch_up) {
    g_ptr_array_set_size(catch_up->copies, 0);
    catch_up->generation = 0;
    if (catch_up->running)
        uv_timer_stop(&catch_up->timer);
    catch_up->running = false;
}

static void on_timer(uv_timer_t *timer) {
    store_catch_up_state_t *catch_up = timer->data;
    for (guint i = 0; i < catch_up->copies->len; i++) {
        copy_t *copy = g_ptr_array_index(catch_up->copies, i);
        if (copy->step == COPY_STATUS)
            store_peer_poll(copy->peer);
    }
    store_catch_up_check(catch_up->store);
}

void store_catch_up_check(store_t *store) {
    store_catch_up_state_t *catch_up = store->catch_up;
    if (catch_up == NULL)
        return;
    if (!store_is_member(store) || store_complete(store)) {
        stop(catch_up);
        return;
    }
    if (!catch_up->running) {
        catch_up->running = true;
        uv_timer_start(&catch_up->timer, on_timer, POLL_MS, POLL_MS);
        return;
    }
    store_catch_up_t plan =
        store_group_catch_up(store->group, store->settings->name, store->complete_in);
    bool disk_was_empty = plan.sources == store->group->members;
    if (disk_was_empty && uv_now(store->loop) < store->started_at + EMPTY_DISK_WAIT_MS)
        return;
    if (catch_up->generation != store->group->generation)
        restart_copies(catch_up, &plan);
    for (guint i = 0; i < catch_up->copies->len; i++) {
        copy_t *copy = g_ptr_array_index(catch_up->copies, i);
        drive_copy(copy, plan.source_complete_in);
        if (copy->step == COPY_WRITING && copy->unwritten == 0)
            go_on(copy);
    }
    if (count_done(catch_up) < plan.needed || catch_up->finishing || !store->group_durable)
        return;
    catch_up->finishing = true;
    store_set_complete(store, store->group->generation);
}

store_catch_up_state_t *store_catch_up_new(store_t *store) {
    store_catch_up_state_t *catch_up = g_new0(store_catch_up_state_t, 1);
    catch_up->store = store;
    catch_up->copies = g_ptr_array_new_with_free_func(drop_copy);
    catch_up->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    uv_timer_init(store->loop, &catch_up->timer);
    catch_up->timer.data = catch_up;
    return catch_up;
}
