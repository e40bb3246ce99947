/*
 * Design. A member that is not complete copies missing turns and charges from a read quorum of the
 * members that were complete (see core/quorum/store_group.h). It sends a digest of the records on
 * its disk and receives the index of the differences page by page. Only one page is outstanding at
 * a time, over all sources, and the next one is requested once the charges of the previous page are
 * on disk, so that each charge is transferred once and memory use is bounded. A turn held by
 * several sources is fetched from one of them (core/quorum/fetch_plan.h). The copy from a source
 * is finished once every record in its index is on this node's disk.
 *
 * A node that starts with an empty disk first waits for longer than the write timeout of gateways.
 * By then each pending write that counted the copy lost with this disk has either succeeded, so
 * that enough other members hold the record, or failed.
 *
 * A complete member that may have missed records copies in the same way what it lacks, while it
 * goes on serving (core/quorum/reconciliation.h says when). It then requests the next turns only
 * once the previous ones are on disk, so that copies delay calls' writes by one batch at most, and
 * stops while there is no space.
 *
 * A node that has just become a member copies from the members of the previous generation, one that
 * has left included, so that the loss of another member's disk does not leave both waiting.
 *
 * Failures. A copy whose source disconnects or times out restarts with a new index. If a record
 * cannot be written to the local disk, all unfinished copies restart; those of a complete member
 * end, and a later reconciliation goes on.
 */
#include "store/store.h"

#include "common/event.h"
#include "core/digest/record_digest.h"
#include "core/quorum/fetch_plan.h"
#include "store/store_peer.h"

enum {
    POLL_INTERVAL_MS = 200,
    EMPTY_DISK_WAIT_MS =
        2000, /**< Must exceed GATEWAY_OPERATION_TIMEOUT_MS of gateway/store_client.h. */
    TURNS_PER_REQUEST = 200,
    STEP_TIMEOUT_MS = 3000, /**< A copy restarts if one of its steps takes longer. */
    PAGE_TIMEOUT_MS = 300,  /**< A source that takes longer no longer delays pages of others. */
    /** After a failed write: a full disk stays full for a while. */
    WRITE_FAILURE_BACKOFF_MS = 1000,
    FIRST_PAGE = 1,
    /** A member that has left may hold turns that others have forgotten; it is asked last. */
    LEFT_SOURCE_DELAY_MS = 1000,
    /** A reconciliation that compared enough no longer waits for members out of reach. */
    RECONCILE_PATIENCE_MS = 2000,
    RECONCILE_FAILURE_PAUSE_MS = 3000, /**< No reconciliation starts sooner after a failed write. */
};

typedef enum {
    COPY_STATUS,  /**< Waiting for the source to report that it is complete. */
    COPY_INDEX,   /**< A page of the index was requested. */
    COPY_PAGE,    /**< The page was received; its charges are being written. */
    COPY_TURNS,   /**< Turns were requested. */
    COPY_WAITING, /**< Waiting for writes, or for turns requested from other sources. */
    COPY_DONE,
} copy_step_t;

/** Copy from one source, which is another member. */
typedef struct {
    store_catch_up_state_t *catch_up;
    unsigned number; /**< Index of the source. */
    store_peer_t *peer;
    copy_step_t step;
    uint64_t step_since;
    uint64_t started_at;     /**< Time of the first index request; 0: none. */
    uint32_t page;           /**< Next page of the index to request; 0: none. */
    guint charges;           /**< Received with the index. */
    GPtrArray *requested;    /**< Ids of the last request, in its order. */
    unsigned pending_writes; /**< Charges being written. */
} copy_t;

/** What the copies are for. */
typedef enum {
    PURPOSE_NONE,
    PURPOSE_COMPLETE,  /**< To become complete in the group's generation. */
    PURPOSE_RECONCILE, /**< To find what this complete member missed. */
} purpose_t;

struct store_catch_up {
    store_t *store;
    uv_timer_t timer;
    bool running;
    purpose_t purpose;
    uint64_t turns_before; /**< Counters of the store when a reconciliation started. */
    uint64_t charges_before;
    uint64_t generation;   /**< Target generation of the copies. */
    const GArray *sources; /**< Of the plan that the copies follow. */
    uint64_t started_at;   /**< When the copies were started. */
    uint64_t round;        /**< Incremented when all copies are discarded. */
    GPtrArray *copies;
    fetch_plan_t *fetch_plan; /**< Assigns turns to sources; NULL if there are no copies. */
    unsigned pending_writes;  /**< Records of this round being written. */
    bool write_failed;        /**< A write of this round failed. */
    uint64_t pause_until;     /**< No copy starts earlier. */
    bool processing_message;  /**< Defers checks until the current response is processed. */
    bool finishing;
};

static void free_copy(gpointer data) {
    copy_t *copy = data;
    store_peer_free(copy->peer);
    g_ptr_array_free(copy->requested, TRUE);
    g_free(copy);
}

/** Discards all copies. Pending writes of the old round are ignored when they finish. */
static void clear_copies(store_catch_up_state_t *catch_up) {
    catch_up->round++;
    catch_up->pending_writes = 0;
    catch_up->write_failed = false;
    g_ptr_array_set_size(catch_up->copies, 0);
    if (catch_up->fetch_plan != NULL)
        fetch_plan_free(catch_up->fetch_plan);
    catch_up->fetch_plan = NULL;
}

static void set_step(copy_t *copy, copy_step_t step) {
    copy->step = step;
    copy->step_since = uv_now(copy->catch_up->store->loop);
}

static void log_copy(const copy_t *copy, const char *state) {
    uint64_t ms = uv_now(copy->catch_up->store->loop) - copy->started_at;
    event_log(STORE_COPY, copy->peer->name, state,
              fetch_plan_missing(copy->catch_up->fetch_plan, copy->number), copy->charges, ms);
}

/** Restarts the copy from its first index page and logs @p reason. */
static void restart_copy(copy_t *copy, const char *reason) {
    if (copy->started_at > 0)
        log_copy(copy, reason);
    copy->page = FIRST_PAGE;
    copy->charges = 0;
    set_step(copy, COPY_STATUS);
    fetch_plan_reset(copy->catch_up->fetch_plan, copy->number);
}

/** Adds the next turns assigned to this source to @p request, which may remain empty. */
static void select_turns(copy_t *copy, message_t *request) {
    const store_catch_up_state_t *catch_up = copy->catch_up;
    g_ptr_array_set_size(copy->requested, 0);
    while (request->ids->len < TURNS_PER_REQUEST) {
        const char *id = fetch_plan_next(catch_up->fetch_plan, copy->number);
        if (id == NULL)
            return;
        if (turn_table_find(&catch_up->store->turns, id) != NULL) {
            fetch_plan_arrived(catch_up->fetch_plan, id); /* Written by a gateway meanwhile. */
            continue;
        }
        g_ptr_array_add(copy->requested, g_strdup(id));
        g_ptr_array_add(request->ids, g_strdup(id));
    }
}

/** Requests the next turns, waits for pending records, or finishes the copy. */
static void continue_copy(copy_t *copy) {
    message_t request;
    message_init(&request, REQUEST_TURNS);
    request.number = TURNS_REQUEST_PIECES;
    select_turns(copy, &request);
    unsigned left = fetch_plan_missing(copy->catch_up->fetch_plan, copy->number);
    if (request.ids->len > 0) {
        set_step(copy, COPY_TURNS);
        store_peer_send(copy->peer, &request);
    } else if (left > 0 || copy->pending_writes > 0) {
        set_step(copy, COPY_WAITING);
    } else {
        set_step(copy, COPY_DONE);
        log_copy(copy, "ended");
    }
    message_clear(&request);
}

/* Writing of copied records. */

typedef struct {
    store_catch_up_state_t *catch_up;
    uint64_t round;
    unsigned source; /**< Index of the source. */
    char *turn;      /**< Id of the turn; NULL for a charge. */
} copied_record_t;

static void handle_write_result(const copied_record_t *record, bool durable) {
    store_catch_up_state_t *catch_up = record->catch_up;
    copy_t *copy = g_ptr_array_index(catch_up->copies, record->source);
    catch_up->pending_writes--;
    copy->pending_writes -= record->turn == NULL;
    catch_up->write_failed = catch_up->write_failed || !durable;
    if (durable && record->turn != NULL)
        fetch_plan_arrived(catch_up->fetch_plan, record->turn);
    bool charges_written = record->turn == NULL && copy->pending_writes == 0;
    if ((catch_up->pending_writes == 0 || charges_written) && !catch_up->processing_message)
        store_catch_up_check(catch_up->store);
}

static void on_copied(void *owner, bool durable) {
    copied_record_t *record = owner;
    if (record->round == record->catch_up->round)
        handle_write_result(record, durable);
    g_free(record->turn);
    g_free(record);
}

static void append_record(copy_t *copy, message_t *record, const char *turn) {
    copied_record_t *copied = g_new0(copied_record_t, 1);
    copied->catch_up = copy->catch_up;
    copied->round = copy->catch_up->round;
    copied->source = copy->number;
    copied->turn = g_strdup(turn);
    copy->catch_up->pending_writes++;
    copy->pending_writes += turn == NULL;
    store_append_copy(copy->catch_up->store, record, on_copied, copied);
}

static void append_charges(copy_t *copy, message_t *response) {
    for (guint i = 0; i < response->charges->len; i++) {
        budget_charge_t *charge = &g_array_index(response->charges, budget_charge_t, i);
        if (budget_table_covers(&copy->catch_up->store->budgets, charge))
            continue;
        message_t record;
        message_init(&record, RECORD_CHARGE);
        record.charge = *charge;
        append_record(copy, &record, NULL);
        copy->catch_up->store->charges_copied++;
        record.charge = (budget_charge_t){0};
        message_clear(&record);
    }
}

static void handle_index(copy_t *copy, message_t *response) {
    const store_t *store = copy->catch_up->store;
    append_charges(copy, response);
    copy->charges += response->charges->len;
    copy->page = response->page;
    for (guint i = 0; i < response->ids->len; i++) {
        const char *id = g_ptr_array_index(response->ids, i);
        if (turn_table_find(&store->turns, id) == NULL)
            fetch_plan_add(copy->catch_up->fetch_plan, copy->number, id);
    }
    set_step(copy, COPY_PAGE);
}

/** How many of the requested ids, from the first on, the response covers. */
static guint covered_ids(const copy_t *copy, const message_t *response) {
    bool in_pieces = response->number > TURNS_REQUEST_PIECES;
    uint64_t covered = in_pieces ? response->number - TURNS_REQUEST_PIECES : copy->requested->len;
    return (guint)MIN(covered, (uint64_t)copy->requested->len);
}

/**
 * Handles requested turns that are missing from the response: the source no longer holds those that
 * it covers, and is asked again for the others.
 */
static void release_missing(copy_t *copy, const message_t *response) {
    fetch_plan_t *plan = copy->catch_up->fetch_plan;
    GHashTable *received = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < response->turns->len; i++)
        g_hash_table_add(received, g_array_index(response->turns, turn_t, i).id);
    guint covered = covered_ids(copy, response);
    for (guint i = 0; i < copy->requested->len; i++) {
        const char *id = g_ptr_array_index(copy->requested, i);
        if (i >= covered)
            fetch_plan_postpone(plan, copy->number, id);
        else if (!g_hash_table_contains(received, id))
            fetch_plan_not_found(plan, copy->number, id);
    }
    g_hash_table_destroy(received);
}

static void handle_turns(copy_t *copy, message_t *response) {
    copy->catch_up->store->turns_copied += response->turns->len;
    for (guint i = 0; i < response->turns->len; i++) {
        const turn_t *turn = &g_array_index(response->turns, turn_t, i);
        message_t record;
        message_init(&record, REQUEST_PUT_TURN);
        message_add_turn(&record, turn);
        append_record(copy, &record, turn->id);
        message_clear(&record);
    }
    release_missing(copy, response);
    if (copy->catch_up->purpose == PURPOSE_RECONCILE)
        set_step(copy, COPY_WAITING);
    else
        continue_copy(copy);
}

static void on_message(void *owner, message_t *message) {
    copy_t *copy = owner;
    store_catch_up_state_t *catch_up = copy->catch_up;
    catch_up->processing_message = true;
    if (message->type == RESPONSE_INDEX && copy->step == COPY_INDEX)
        handle_index(copy, message);
    else if (message->type == RESPONSE_TURNS && copy->step == COPY_TURNS)
        handle_turns(copy, message);
    catch_up->processing_message = false;
    store_catch_up_check(catch_up->store);
}

static void on_lost(void *owner) {
    copy_t *copy = owner;
    if (copy->step != COPY_DONE)
        restart_copy(copy, "lost");
}

static void add_copy(store_catch_up_state_t *catch_up, const store_member_t *member) {
    copy_t *copy = g_new0(copy_t, 1);
    copy->catch_up = catch_up;
    copy->number = catch_up->copies->len;
    copy->page = FIRST_PAGE;
    copy->requested = g_ptr_array_new_with_free_func(g_free);
    copy->peer = store_peer_new(catch_up->store, member->name, member->address);
    copy->peer->on_message = on_message;
    copy->peer->on_lost = on_lost;
    copy->peer->owner = copy;
    set_step(copy, COPY_STATUS);
    g_ptr_array_add(catch_up->copies, copy);
    store_peer_poll(copy->peer);
}

/**
 * True if a page was requested within PAGE_TIMEOUT_MS or its charges are being written. A source
 * with a third of a core takes some 20 ms for a page; one that takes longer than the timeout may be
 * frozen.
 */
static bool has_page_pending(const copy_t *copy, uint64_t now) {
    bool awaiting_page = copy->step == COPY_INDEX && now - copy->step_since < PAGE_TIMEOUT_MS;
    return awaiting_page || copy->step == COPY_PAGE || copy->pending_writes > 0;
}

static bool no_page_pending(const store_catch_up_state_t *catch_up, uint64_t now) {
    for (guint i = 0; i < catch_up->copies->len; i++)
        if (has_page_pending(g_ptr_array_index(catch_up->copies, i), now))
            return false;
    return true;
}

static void request_page(copy_t *copy) {
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

/**
 * Once the charges of a page are on disk, requests the next page. After the last page, requests
 * turns.
 */
static void finish_page(copy_t *copy) {
    if (copy->pending_writes > 0 || copy->catch_up->write_failed)
        return;
    if (copy->page > 0) {
        request_page(copy);
        return;
    }
    log_copy(copy, "begun");
    continue_copy(copy);
}

static bool is_usable(const copy_t *copy, uint64_t min_source_generation) {
    const store_peer_t *peer = copy->peer;
    /* After a timeout, requires a newer status so that an unresponsive source is not retried. */
    bool status_received = peer->answered_at > 0 && peer->answered_at >= copy->step_since;
    return peer->connection != NULL && status_received &&
           peer->complete_generation >= min_source_generation;
}

static bool has_left(const copy_t *copy) {
    const store_group_t *group = copy->catch_up->store->group;
    return store_group_find(group->members, copy->peer->name) == NULL;
}

/** True if enough present members can be copied from, so that one that has left is not needed. */
static bool members_suffice(const store_catch_up_state_t *catch_up,
                            const store_catch_up_plan_t *plan) {
    unsigned usable = 0;
    for (guint i = 0; i < catch_up->copies->len; i++) {
        const copy_t *copy = g_ptr_array_index(catch_up->copies, i);
        bool active = copy->step != COPY_STATUS;
        usable += !has_left(copy) && (active || is_usable(copy, plan->min_source_generation));
    }
    bool early = uv_now(catch_up->store->loop) < catch_up->started_at + LEFT_SOURCE_DELAY_MS;
    return usable >= plan->needed || early;
}

/** Restarts a copy that has timed out, and starts one whose source is complete. */
static void advance_copy(copy_t *copy, const store_catch_up_plan_t *plan) {
    store_catch_up_state_t *catch_up = copy->catch_up;
    uint64_t now = uv_now(catch_up->store->loop);
    bool awaiting_response = copy->step == COPY_INDEX || copy->step == COPY_TURNS;
    if (awaiting_response && now - copy->step_since > STEP_TIMEOUT_MS)
        restart_copy(copy, "stuck");
    if (copy->step != COPY_STATUS)
        return;
    bool usable = is_usable(copy, plan->min_source_generation) &&
                  !(plan->left_last && has_left(copy) && members_suffice(catch_up, plan));
    if (!usable || now < catch_up->pause_until || !no_page_pending(catch_up, now))
        return;
    if (copy->started_at == 0)
        copy->started_at = now;
    store_remove_expired(catch_up->store);
    request_page(copy);
}

static void start_copies(store_catch_up_state_t *catch_up, const store_catch_up_plan_t *plan) {
    const store_t *store = catch_up->store;
    clear_copies(catch_up);
    catch_up->generation = store->group->generation;
    catch_up->sources = plan->sources;
    catch_up->started_at = uv_now(store->loop);
    catch_up->finishing = false;
    catch_up->fetch_plan = fetch_plan_new(plan->sources->len);
    for (guint i = 0; i < plan->sources->len; i++) {
        const store_member_t *member = &g_array_index(plan->sources, store_member_t, i);
        bool other = g_strcmp0(member->name, store->settings->name) != 0;
        if (other && catch_up->copies->len < FETCH_SOURCES_MAX)
            add_copy(catch_up, member);
    }
}

/** After a failed write, restarts unfinished copies once no write is pending. */
static void restart_after_failed_write(store_catch_up_state_t *catch_up) {
    if (catch_up->purpose != PURPOSE_COMPLETE || !catch_up->write_failed ||
        catch_up->pending_writes > 0)
        return;
    catch_up->write_failed = false;
    catch_up->pause_until = uv_now(catch_up->store->loop) + WRITE_FAILURE_BACKOFF_MS;
    for (guint i = 0; i < catch_up->copies->len; i++) {
        copy_t *copy = g_ptr_array_index(catch_up->copies, i);
        if (copy->step != COPY_DONE)
            restart_copy(copy, "failed");
    }
}

static unsigned count_done(const store_catch_up_state_t *catch_up) {
    unsigned done = 0;
    for (guint i = 0; i < catch_up->copies->len; i++)
        done += ((const copy_t *)g_ptr_array_index(catch_up->copies, i))->step == COPY_DONE;
    return done;
}

static bool recently_failed_write(const store_t *store) {
    return store->last_write_failure_at > 0 &&
           uv_now(store->loop) < store->last_write_failure_at + RECONCILE_FAILURE_PAUSE_MS;
}

static purpose_t choose_purpose(store_t *store) {
    if (!store_is_member(store))
        return PURPOSE_NONE;
    if (!store_is_complete(store))
        return PURPOSE_COMPLETE;
    if (store->reconciliation.running)
        return PURPOSE_RECONCILE;
    uint64_t now = uv_now(store->loop);
    reconciliation_observe(&store->reconciliation, turn_table_missing_ancestors(&store->turns) > 0,
                           now);
    bool due = reconciliation_is_due(&store->reconciliation, now) &&
               !recently_failed_write(store) && store_can_start_turn(store);
    return due ? PURPOSE_RECONCILE : PURPOSE_NONE;
}

static void start_reconciliation(store_catch_up_state_t *catch_up) {
    store_t *store = catch_up->store;
    reconciliation_start(&store->reconciliation, uv_now(store->loop));
    store->reconciliations++;
    catch_up->turns_before = store->turns_copied;
    catch_up->charges_before = store->charges_copied;
}

static void end_reconciliation(store_catch_up_state_t *catch_up, bool failed) {
    store_t *store = catch_up->store;
    reconciliation_t *reconciliation = &store->reconciliation;
    uint64_t now = uv_now(store->loop);
    reconciliation_end(reconciliation, now);
    event_log(STORE_RECONCILED, reconcile_reason_name(reconciliation->reason),
              store->turns_copied - catch_up->turns_before,
              store->charges_copied - catch_up->charges_before,
              turn_table_missing_ancestors(&store->turns), count_done(catch_up),
              failed ? "yes" : "no", now - reconciliation->started_at);
}

static void stop_catch_up(store_catch_up_state_t *catch_up) {
    if (catch_up->purpose == PURPOSE_RECONCILE && catch_up->store->reconciliation.running)
        end_reconciliation(catch_up, true);
    catch_up->purpose = PURPOSE_NONE;
    if (catch_up->fetch_plan != NULL)
        catch_up->store->copy_ids_examined += fetch_plan_examined(catch_up->fetch_plan);
    clear_copies(catch_up);
    catch_up->generation = 0;
    if (catch_up->running)
        uv_timer_stop(&catch_up->timer);
    catch_up->running = false;
}

/** Ends a reconciliation that has compared enough, or that can't go on. */
static void check_reconciliation(store_catch_up_state_t *catch_up) {
    store_t *store = catch_up->store;
    if (catch_up->purpose != PURPOSE_RECONCILE || catch_up->pending_writes > 0)
        return;
    bool failed = catch_up->write_failed || !store_can_start_turn(store);
    unsigned done = count_done(catch_up);
    bool enough = done >= store_group_reconcile(store->group).needed;
    uint64_t ms = uv_now(store->loop) - store->reconciliation.started_at;
    bool all = done == catch_up->copies->len;
    if (failed || (enough && (all || ms >= RECONCILE_PATIENCE_MS)))
        end_reconciliation(catch_up, failed);
    if (failed)
        reconciliation_request(&store->reconciliation, store->reconciliation.reason);
}

static void on_timer(uv_timer_t *timer) {
    store_catch_up_state_t *catch_up = timer->data;
    check_reconciliation(catch_up);
    for (guint i = 0; i < catch_up->copies->len; i++) {
        copy_t *copy = g_ptr_array_index(catch_up->copies, i);
        if (copy->step == COPY_STATUS)
            store_peer_poll(copy->peer);
    }
    store_catch_up_check(catch_up->store);
}

/** True if the copy may request more turns. */
static bool may_continue(const copy_t *copy) {
    const store_catch_up_state_t *catch_up = copy->catch_up;
    return catch_up->purpose != PURPOSE_RECONCILE ||
           (catch_up->pending_writes == 0 && !catch_up->write_failed);
}

static store_catch_up_plan_t plan_copies(const store_catch_up_state_t *catch_up) {
    const store_t *store = catch_up->store;
    if (catch_up->purpose == PURPOSE_RECONCILE)
        return store_group_reconcile(store->group);
    return store_group_catch_up(store->group, store->settings->name, store->complete_generation,
                                store->joined_generation);
}

static void advance_copies(store_catch_up_state_t *catch_up, const store_catch_up_plan_t *plan) {
    restart_after_failed_write(catch_up);
    for (guint i = 0; i < catch_up->copies->len; i++) {
        copy_t *copy = g_ptr_array_index(catch_up->copies, i);
        advance_copy(copy, plan);
        if (copy->step == COPY_PAGE)
            finish_page(copy);
        if (copy->step == COPY_WAITING && may_continue(copy))
            continue_copy(copy);
    }
}

/** Adopts what the copies are for; false if there is nothing to copy now. */
static bool update_purpose(store_catch_up_state_t *catch_up) {
    purpose_t purpose = choose_purpose(catch_up->store);
    if (purpose == catch_up->purpose)
        return purpose != PURPOSE_NONE;
    stop_catch_up(catch_up);
    catch_up->purpose = purpose;
    if (purpose == PURPOSE_RECONCILE)
        start_reconciliation(catch_up);
    return purpose != PURPOSE_NONE;
}

void store_catch_up_check(store_t *store) {
    store_catch_up_state_t *catch_up = store->catch_up;
    if (catch_up == NULL || !update_purpose(catch_up))
        return;
    if (!catch_up->running) {
        catch_up->running = true;
        uv_timer_start(&catch_up->timer, on_timer, POLL_INTERVAL_MS, POLL_INTERVAL_MS);
        return;
    }
    store_catch_up_plan_t plan = plan_copies(catch_up);
    bool disk_was_empty =
        catch_up->purpose == PURPOSE_COMPLETE && plan.sources == store->group->members;
    if (disk_was_empty && uv_now(store->loop) < store->started_at + EMPTY_DISK_WAIT_MS)
        return;
    if (catch_up->generation != store->group->generation || catch_up->sources != plan.sources)
        start_copies(catch_up, &plan);
    advance_copies(catch_up, &plan);
    bool completes = catch_up->purpose == PURPOSE_COMPLETE && count_done(catch_up) >= plan.needed;
    if (!completes || catch_up->finishing || !store->group_durable)
        return;
    catch_up->finishing = true;
    store_set_complete_generation(store, store->group->generation);
}

void store_request_reconciliation(store_t *store, reconcile_reason_t reason) {
    reconciliation_request(&store->reconciliation, reason);
}

store_catch_up_state_t *store_catch_up_new(store_t *store) {
    store_catch_up_state_t *catch_up = g_new0(store_catch_up_state_t, 1);
    catch_up->store = store;
    catch_up->copies = g_ptr_array_new_with_free_func(free_copy);
    uv_timer_init(store->loop, &catch_up->timer);
    catch_up->timer.data = catch_up;
    return catch_up;
}
