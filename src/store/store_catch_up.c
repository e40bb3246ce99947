/*
 * Design. A member that is not complete copies what it lacks from a read quorum of the members
 * that were (core/quorum/store_group.h says which): their charges, and the turns it does not
 * have. It sends a digest of what it has on disk, and gets the index of what differs, page by page.
 * One page is asked for at a time, of all sources, and the next once the charges of the last are on
 * disk: each charge comes once, and takes little memory on its way. A turn that several of them
 * hold is asked for at one of them (core/quorum/copy_claims.h). A copy counts once all of its index
 * is on this node's disk.
 *
 * A node whose disk came back empty waits before it copies: a gateway gives a write up after a
 * time that is shorter than this wait, so a write that counted this node's lost copy has either
 * reached a quorum, and the others hold it, or never will.
 *
 * Failures. A copy whose peer is lost, or answers too late, begins anew with another index; so do
 * all that are not over if a record could not be written here.
 */
#include "store/store.h"

#include "common/event.h"
#include "core/digest/record_digest.h"
#include "core/quorum/copy_claims.h"
#include "store/store_peer.h"

enum {
    POLL_MS = 200,
    EMPTY_DISK_WAIT_MS = 2000, /**< More than GATEWAY_WRITE_MS of gateway/store_client.h. */
    TURNS_A_REQUEST = 200,
    STEP_MS = 3000, /**< A step of a copy that takes longer is begun again. */
    /**
     * A source that has not sent a page for so long keeps the others waiting no more: it may be
     * frozen. A page takes some 20 ms of a source with a third of a core.
     */
    PAGE_PATIENCE_MS = 300,
    FAILED_PAUSE_MS = 1000, /**< After a record could not be written: a full disk stays so. */
    FIRST_PAGE = 1,
};

typedef enum {
    COPY_STATUS, /**< Waits for the peer to be reached, and to say that it is complete. */
    COPY_INDEX,  /**< A page of the index was asked for. */
    COPY_PAGE,   /**< The page has come; its charges are on their way to the disk. */
    COPY_TURNS,  /**< Turns were asked for. */
    COPY_WAITS,  /**< Nothing is left to ask for; all of it is not on disk yet. */
    COPY_DONE,
} copy_step_t;

/** Copying from one other member. */
typedef struct {
    store_catch_up_state_t *catch_up;
    unsigned number; /**< Of this source among the claims. */
    store_peer_t *peer;
    copy_step_t step;
    uint64_t step_since;
    uint64_t begun_at;  /**< When its peer was first asked what differs; 0: it was not. */
    uint32_t page;      /**< Of the index, to ask for next; 0: none is left. */
    guint charges;      /**< Named by the index. */
    GHashTable *asked;  /**< Ids of the turns that it was last asked for. */
    unsigned unwritten; /**< Charges on their way to the disk. */
} copy_t;

struct store_catch_up {
    store_t *store;
    uv_timer_t timer;
    bool running;
    uint64_t generation; /**< The copies are for this generation. */
    uint64_t round;      /**< Counts the times that all copies began anew. */
    GPtrArray *copies;
    copy_claims_t *claims; /**< Which copy asks for which turn; NULL without copies. */
    unsigned unwritten;    /**< Records of this round on their way to the disk. */
    bool write_failed;     /**< One of them could not be put there. */
    uint64_t pause_until;  /**< Nothing is begun before. */
    bool taking;           /**< An answer is being taken; what is next is looked at behind it. */
    bool finishing;
};

static void drop_copy(gpointer data) {
    copy_t *copy = data;
    store_peer_free(copy->peer);
    g_hash_table_destroy(copy->asked);
    g_free(copy);
}

/** Drops all copies; what is on its way to the disk counts for nothing in the next round. */
static void drop_copies(store_catch_up_state_t *catch_up) {
    catch_up->round++;
    catch_up->unwritten = 0;
    catch_up->write_failed = false;
    g_ptr_array_set_size(catch_up->copies, 0);
    if (catch_up->claims != NULL)
        copy_claims_free(catch_up->claims);
    catch_up->claims = NULL;
}

static void set_step(copy_t *copy, copy_step_t step) {
    copy->step = step;
    copy->step_since = uv_now(copy->catch_up->store->loop);
}

static void log_copy(const copy_t *copy, const char *state) {
    uint64_t ms = uv_now(copy->catch_up->store->loop) - copy->begun_at;
    event_log(STORE_COPY, copy->peer->name, state,
              copy_claims_left(copy->catch_up->claims, copy->number), copy->charges, ms);
}

/** From the index on; @p reason is logged. */
static void begin_anew(copy_t *copy, const char *reason) {
    if (copy->begun_at > 0)
        log_copy(copy, reason);
    copy->page = FIRST_PAGE;
    copy->charges = 0;
    set_step(copy, COPY_STATUS);
    copy_claims_reset(copy->catch_up->claims, copy->number);
}

/** The next turns to ask of the copy's peer; none if others are asked for all the rest. */
static void claim_turns(copy_t *copy, message_t *request) {
    const store_catch_up_state_t *catch_up = copy->catch_up;
    g_hash_table_remove_all(copy->asked);
    while (request->ids->len < TURNS_A_REQUEST) {
        const char *id = copy_claims_take(catch_up->claims, copy->number);
        if (id == NULL)
            return;
        if (turn_table_find(&catch_up->store->turns, id) != NULL) {
            copy_claims_arrived(catch_up->claims, id); /* A gateway has written it meanwhile. */
            continue;
        }
        g_hash_table_add(copy->asked, g_strdup(id));
        g_ptr_array_add(request->ids, g_strdup(id));
    }
}

/** Does what is next once the turns asked for have come. */
static void go_on(copy_t *copy) {
    message_t request;
    message_init(&request, REQUEST_TURNS);
    claim_turns(copy, &request);
    unsigned left = copy_claims_left(copy->catch_up->claims, copy->number);
    if (request.ids->len > 0) {
        set_step(copy, COPY_TURNS);
        store_peer_send(copy->peer, &request);
    } else if (left > 0 || copy->unwritten > 0) {
        set_step(copy, COPY_WAITS);
    } else {
        set_step(copy, COPY_DONE);
        log_copy(copy, "ended");
    }
    message_clear(&request);
}

/* Records on their way to the disk. */

typedef struct {
    store_catch_up_state_t *catch_up;
    uint64_t round;
    unsigned source; /**< Number of the copy. */
    char *turn;      /**< Its id; NULL: a charge. */
} copied_record_t;

static void note_written(const copied_record_t *record, bool durable) {
    store_catch_up_state_t *catch_up = record->catch_up;
    copy_t *copy = g_ptr_array_index(catch_up->copies, record->source);
    catch_up->unwritten--;
    copy->unwritten -= record->turn == NULL;
    catch_up->write_failed = catch_up->write_failed || !durable;
    if (durable && record->turn != NULL)
        copy_claims_arrived(catch_up->claims, record->turn);
    bool charges_written = record->turn == NULL && copy->unwritten == 0;
    if ((catch_up->unwritten == 0 || charges_written) && !catch_up->taking)
        store_catch_up_check(catch_up->store);
}

static void on_copied(void *owner, bool durable) {
    copied_record_t *record = owner;
    if (record->round == record->catch_up->round)
        note_written(record, durable);
    g_free(record->turn);
    g_free(record);
}

static void append_copy(copy_t *copy, message_t *record, const char *turn) {
    copied_record_t *copied = g_new0(copied_record_t, 1);
    copied->catch_up = copy->catch_up;
    copied->round = copy->catch_up->round;
    copied->source = copy->number;
    copied->turn = g_strdup(turn);
    copy->catch_up->unwritten++;
    copy->unwritten += turn == NULL;
    store_append_copy(copy->catch_up->store, record, on_copied, copied);
}

static void take_charges(copy_t *copy, message_t *response) {
    for (guint i = 0; i < response->charges->len; i++) {
        budget_charge_t *charge = &g_array_index(response->charges, budget_charge_t, i);
        if (budget_table_covers(&copy->catch_up->store->budgets, charge))
            continue;
        message_t record;
        message_init(&record, RECORD_CHARGE);
        record.charge = *charge;
        append_copy(copy, &record, NULL);
        record.charge = (budget_charge_t){0};
        message_clear(&record);
    }
}

static void take_index(copy_t *copy, message_t *response) {
    const store_t *store = copy->catch_up->store;
    take_charges(copy, response);
    copy->charges += response->charges->len;
    copy->page = response->page;
    for (guint i = 0; i < response->ids->len; i++) {
        const char *id = g_ptr_array_index(response->ids, i);
        if (turn_table_find(&store->turns, id) == NULL)
            copy_claims_add(copy->catch_up->claims, copy->number, id);
    }
    set_step(copy, COPY_PAGE);
}

/** What the peer was asked for and did not send is not there any more. */
static void note_lacking(copy_t *copy) {
    GHashTableIter iterator;
    gpointer id;
    g_hash_table_iter_init(&iterator, copy->asked);
    while (g_hash_table_iter_next(&iterator, &id, NULL))
        copy_claims_lacks(copy->catch_up->claims, copy->number, id);
}

static void take_turns(copy_t *copy, message_t *response) {
    copy->catch_up->store->turns_copied += response->turns->len;
    for (guint i = 0; i < response->turns->len; i++) {
        const turn_t *turn = &g_array_index(response->turns, turn_t, i);
        g_hash_table_remove(copy->asked, turn->id);
        message_t record;
        message_init(&record, REQUEST_PUT_TURN);
        message_add_turn(&record, turn);
        append_copy(copy, &record, turn->id);
        message_clear(&record);
    }
    note_lacking(copy);
    go_on(copy);
}

static void on_message(void *owner, message_t *message) {
    copy_t *copy = owner;
    store_catch_up_state_t *catch_up = copy->catch_up;
    catch_up->taking = true;
    if (message->type == RESPONSE_INDEX && copy->step == COPY_INDEX)
        take_index(copy, message);
    else if (message->type == RESPONSE_TURNS && copy->step == COPY_TURNS)
        take_turns(copy, message);
    catch_up->taking = false;
    store_catch_up_check(catch_up->store);
}

static void on_lost(void *owner) {
    copy_t *copy = owner;
    if (copy->step != COPY_DONE)
        begin_anew(copy, "lost");
}

static void add_copy(store_catch_up_state_t *catch_up, const store_member_t *member) {
    copy_t *copy = g_new0(copy_t, 1);
    copy->catch_up = catch_up;
    copy->number = catch_up->copies->len;
    copy->page = FIRST_PAGE;
    copy->asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    copy->peer = store_peer_new(catch_up->store, member->name, member->address);
    copy->peer->on_message = on_message;
    copy->peer->on_lost = on_lost;
    copy->peer->owner = copy;
    set_step(copy, COPY_STATUS);
    g_ptr_array_add(catch_up->copies, copy);
    store_peer_poll(copy->peer);
}

/** True if a page of the copy is under way, or was a moment ago. */
static bool holds_index(const copy_t *copy, uint64_t now) {
    bool asked = copy->step == COPY_INDEX && now - copy->step_since < PAGE_PATIENCE_MS;
    return asked || copy->step == COPY_PAGE || copy->unwritten > 0;
}

/** True if no page is under way, of whatever source. */
static bool index_is_free(const store_catch_up_state_t *catch_up, uint64_t now) {
    for (guint i = 0; i < catch_up->copies->len; i++)
        if (holds_index(g_ptr_array_index(catch_up->copies, i), now))
            return false;
    return true;
}

static void ask_page(copy_t *copy) {
    const store_t *store = copy->catch_up->store;
    set_step(copy, COPY_INDEX);
    message_t request;
    message_init(&request, REQUEST_INDEX);
    request.generation = copy->catch_up->generation;
    request.page = copy->page;
    record_digest_t digest;
    record_digest_compute(&digest, &store->turns, &store->budgets);
    request.digest = record_digest_encode(&digest);
    store_peer_send(copy->peer, &request);
    message_clear(&request);
}

/** Once a page's charges are on disk: the next one, or the turns if that was the last. */
static void end_page(copy_t *copy) {
    if (copy->unwritten > 0 || copy->catch_up->write_failed)
        return;
    if (copy->page > 0) {
        ask_page(copy);
        return;
    }
    log_copy(copy, "begun");
    go_on(copy);
}

/** Begins the copy from a member that has said it is complete, or asks again. */
static void drive_copy(copy_t *copy, uint64_t source_complete_in) {
    store_catch_up_state_t *catch_up = copy->catch_up;
    const store_peer_t *peer = copy->peer;
    uint64_t now = uv_now(catch_up->store->loop);
    bool asked = copy->step == COPY_INDEX || copy->step == COPY_TURNS;
    if (asked && now - copy->step_since > STEP_MS)
        begin_anew(copy, "stuck");
    if (copy->step != COPY_STATUS)
        return;
    /* One that was stuck must have been heard since, or it would be asked again and again. */
    bool heard = peer->answered_at > 0 && peer->answered_at >= copy->step_since;
    bool usable = peer->connection != NULL && heard && peer->complete_in >= source_complete_in;
    if (!usable || now < catch_up->pause_until || !index_is_free(catch_up, now))
        return;
    if (copy->begun_at == 0)
        copy->begun_at = now;
    store_forget_expired(catch_up->store);
    ask_page(copy);
}

static void restart_copies(store_catch_up_state_t *catch_up, const store_catch_up_t *plan) {
    const store_t *store = catch_up->store;
    drop_copies(catch_up);
    catch_up->generation = store->group->generation;
    catch_up->finishing = false;
    catch_up->claims = copy_claims_new(plan->sources->len);
    for (guint i = 0; i < plan->sources->len; i++) {
        const store_member_t *member = &g_array_index(plan->sources, store_member_t, i);
        bool other = g_strcmp0(member->name, store->settings->name) != 0;
        if (other && catch_up->copies->len < COPY_SOURCES_MAXIMUM)
            add_copy(catch_up, member);
    }
}

/** Once nothing is on its way to the disk any more, all that is not over begins anew. */
static void look_at_failed_writes(store_catch_up_state_t *catch_up) {
    if (!catch_up->write_failed || catch_up->unwritten > 0)
        return;
    catch_up->write_failed = false;
    catch_up->pause_until = uv_now(catch_up->store->loop) + FAILED_PAUSE_MS;
    for (guint i = 0; i < catch_up->copies->len; i++) {
        copy_t *copy = g_ptr_array_index(catch_up->copies, i);
        if (copy->step != COPY_DONE)
            begin_anew(copy, "failed");
    }
}

static unsigned count_done(const store_catch_up_state_t *catch_up) {
    unsigned done = 0;
    for (guint i = 0; i < catch_up->copies->len; i++)
        done += ((const copy_t *)g_ptr_array_index(catch_up->copies, i))->step == COPY_DONE;
    return done;
}

static void stop(store_catch_up_state_t *catch_up) {
    if (catch_up->claims != NULL)
        catch_up->store->copy_looks += copy_claims_looks(catch_up->claims);
    drop_copies(catch_up);
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
    look_at_failed_writes(catch_up);
    for (guint i = 0; i < catch_up->copies->len; i++) {
        copy_t *copy = g_ptr_array_index(catch_up->copies, i);
        drive_copy(copy, plan.source_complete_in);
        if (copy->step == COPY_PAGE)
            end_page(copy);
        if (copy->step == COPY_WAITS)
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
    uv_timer_init(store->loop, &catch_up->timer);
    catch_up->timer.data = catch_up;
    return catch_up;
}
