/*
 * Design. The group is stored under one key of the key-value service and changes only by
 * compare-and-swap on the revision of that key. Each storage node registers its address under a key
 * of its own. A new group is proposed by
 *
 * - a founder (a node whose disk has been in use since the first start of the system), once, with
 *   as many other founders as a group needs (core/quorum/store_group_choice.h). If all nodes ended
 *   before they had written that they are founders, they become founders later: no group was ever
 *   listed, and all registered nodes respond, of which none knows a group or is a founder. A node
 *   that does not respond may be a member;
 * - a spare, to replace a failed member or to restore the target size of the group;
 * - a member that an operator retires: the group without this member, or with a spare in its place.
 *   It reports "completed" once all members of the new group are complete. It remains a member
 *   as long as the group without it could not tolerate the loss of a disk.
 *
 * A registration that another writer has overwritten or removed is written again: nodes that start
 * later would not know this one.
 *
 * Spares are ranked. The first polls the members continuously; the poll interval of the others
 * grows with their rank, which limits traffic and concurrent proposals. If the first spare fails,
 * the next one takes its place.
 *
 * Failures. A change needs a read quorum of members that respond: what a member said before it fell
 * silent does not count. The outcome of a proposal whose response was lost is seen through the
 * watch. A member
 * that was replaced and recovers becomes a spare. While the key-value service is unavailable the
 * group does not change; calls do not depend on the service.
 *
 * Another writer may overwrite the group with a value that is none. The next change then needs the
 * revision of that value, and is safe only if no later group stood there in between: two groups of
 * one generation would each acknowledge what the other denies. A watch tells every value that was
 * written, in order. A node that has watched without a gap since the last group that it read
 * therefore knows each group up to the odd value; it takes that value's revision over and writes
 * the latest group there again, so that nodes that start or list find one. A node that finds the
 * odd value in a listing may have missed a group and waits for one that has not. Members' answers
 * would not do instead: a gateway that was paused can still bring the group that they have not
 * heard of.
 */
#include "store/store.h"

#include "common/event.h"
#include "core/quorum/store_group_choice.h"
#include "store/store_peer.h"

#include <string.h>

enum {
    WATCH_WAIT_MS = 25000,
    CHECK_INTERVAL_MS = 300,
    FOUNDING_DELAY_MS = 2000,       /**< After the start; lets all founders register first. */
    FOUNDING_ALONE_DELAY_MS = 5000, /**< The same with fewer than FOUNDERS_EXPECTED founders. */
    FOUNDERS_EXPECTED = 3,
    /** After the start; by then a founder, if there is one, has founded a group alone. */
    FOUNDING_AGAIN_DELAY_MS = 7000,
    MEMBER_RESPONSE_TIMEOUT_MS = 1200, /**< A member unresponsive for longer may be replaced. */
    WRITE_INTERVAL_MIN_MS = 1000,
    FOUNDING_RANK_DELAY_MS = 150,    /**< Added to the delay of a founder for each rank. */
    STANDBY_RANK_INTERVAL_MS = 1500, /**< Added to the poll interval of a spare for each rank. */
    STANDBY_INTERVAL_MAX_MS = 9000,
    RESTORING_RANK_DELAY_MS = 500, /**< Before each next node writes the group again. */
};

typedef struct {
    store_member_t member;
    bool founding;
} registration_t;

struct store_membership {
    store_t *store;
    uv_timer_t timer;
    key_value_watch_t *own_watch;
    key_value_watch_t *retire_watch;
    bool listed;               /**< The initial listing of the keys is complete. */
    uint64_t group_revision;   /**< Of the group's key; 0: no key. */
    bool group_followed;       /**< All values up to the latest one of that key were seen. */
    bool group_overwritten;    /**< The latest value of that key is no group. */
    uint64_t overwritten_at;   /**< Since when, ms. */
    GHashTable *registrations; /**< Node name to registration_t. */
    bool registered;
    bool writing; /**< A write to the key-value service is pending. */
    uint64_t written_at;
    bool retiring;
    bool retire_running_reported;  /**< The "running" status is stored in the service. */
    bool retire_complete_reported; /**< The "completed" status is stored in the service. */
    bool *reporting;               /**< Flag to set when the pending write succeeds; NULL: none. */
    GHashTable *peers; /**< Node name to store_peer_t; empty on a member that is not retiring. */
    GHashTable *retiring_nodes; /**< Names of all nodes that an operator retires. */
    bool polling_members;       /**< This spare is polling the members. */
    uint64_t next_poll_at;      /**< Earliest time of its next poll, ms. */
};

static const char group_name[] = "group";
static const char registration_prefix[] = "store/";

static uint64_t now(const store_membership_t *membership) {
    return uv_now(membership->store->loop);
}

static void registration_codec(codec_t *codec, registration_t *registration) {
    codec_text(codec, &registration->member.name);
    codec_text(codec, &registration->member.address);
    codec_text(codec, &registration->member.zone);
    codec_bool(codec, &registration->founding);
}

static void free_registration(gpointer data) {
    registration_t *registration = data;
    g_free(registration->member.name);
    g_free(registration->member.address);
    g_free(registration->member.zone);
    g_free(registration);
}

static void free_peer(gpointer data) {
    store_peer_free(data);
}

/* Writing. */

static void on_written(void *owner, key_value_outcome_t outcome) {
    store_membership_t *membership = owner;
    membership->writing = false;
    /* The status is written again unless the service has confirmed the write. */
    if (membership->reporting != NULL && outcome == KEY_VALUE_WRITTEN)
        *membership->reporting = true;
    membership->reporting = NULL;
    event_log(STORE_KEY_WRITTEN, outcome == KEY_VALUE_WRITTEN    ? "written"
                                 : outcome == KEY_VALUE_CONFLICT ? "conflict"
                                                                 : "refused");
}

static void write_key(store_membership_t *membership, char *key, GBytes *value, bool any,
                      uint64_t expected) {
    const process_settings_t *settings = membership->store->settings;
    GString *request = key_value_write_request(settings->key_value_text, key, value, any, expected);
    membership->writing = true;
    membership->written_at = now(membership);
    key_value_write(membership->store->loop, &settings->key_value, request, on_written, membership);
    g_free(key);
    g_bytes_unref(value);
}

static bool may_write(const store_membership_t *membership) {
    return membership->listed && !membership->writing &&
           now(membership) >= membership->written_at + WRITE_INTERVAL_MIN_MS;
}

static char *registration_name(const store_membership_t *membership) {
    return g_strconcat(registration_prefix, membership->store->settings->name, NULL);
}

static void register_node(store_membership_t *membership) {
    const store_t *store = membership->store;
    registration_t registration = {
        .member = {store->settings->name, store->settings->peer_text, store->settings->zone},
        .founding = store->founding,
    };
    codec_t codec;
    codec_start_encoding(&codec);
    registration_codec(&codec, &registration);
    char *name = registration_name(membership);
    write_key(membership, key_value_own_key(name), codec_finish(&codec), true, 0);
    g_free(name);
}

/** Writes @p group to the key-value service if the group's key is unchanged; takes ownership. */
static void start_group_write(store_membership_t *membership, store_group_t *group,
                              const char *reason) {
    event_log(STORE_GROUP_PROPOSED, group->generation, group->members->len, reason);
    write_key(membership, key_value_own_key(group_name), store_group_encode(group), false,
              membership->group_revision);
    store_group_free(group);
}

/* Reading. */

static void apply_registration(store_membership_t *membership, const char *name,
                               const key_value_item_t *item) {
    const store_t *store = membership->store;
    bool own = strcmp(name, store->settings->name) == 0;
    if (own)
        membership->registered = false;
    if (item->value == NULL) {
        g_hash_table_remove(membership->registrations, name);
        return;
    }
    gsize length;
    const void *data = g_bytes_get_data(item->value, &length);
    registration_t *registration = g_new0(registration_t, 1);
    codec_t codec;
    codec_start_decoding(&codec, data, length);
    registration_codec(&codec, registration);
    if (!codec_complete(&codec) || strcmp(registration->member.name, name) != 0) {
        free_registration(registration);
        return;
    }
    if (own)
        membership->registered =
            strcmp(registration->member.address, store->settings->peer_text) == 0 &&
            registration->founding == store->founding;
    g_hash_table_replace(membership->registrations, registration->member.name, registration);
}

/**
 * Another writer has put a value that is no group; it is taken for the latest revision only if this
 * node has seen every value before it.
 */
static void apply_odd_group_value(store_membership_t *membership, uint64_t revision) {
    if (revision <= membership->group_revision)
        return;
    bool followed = membership->group_followed && key_value_watch_listed(membership->own_watch);
    if (!membership->group_overwritten || followed != membership->group_followed) {
        event_log(STORE_GROUP_OVERWRITTEN, revision, followed ? "yes" : "no");
        membership->overwritten_at = now(membership);
    }
    membership->group_overwritten = true;
    membership->group_followed = followed;
    if (followed)
        membership->group_revision = revision;
}

static void apply_group_value(store_membership_t *membership, const key_value_item_t *item) {
    if (item->value == NULL) {
        membership->group_overwritten = false; /* Nothing is left to write over. */
        return;
    }
    gsize length;
    const void *data = g_bytes_get_data(item->value, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group == NULL) {
        apply_odd_group_value(membership, item->revision);
        return;
    }
    membership->group_revision = item->revision;
    membership->group_followed = true;
    membership->group_overwritten = false;
    store_record_listed(membership->store, group->generation);
    store_adopt_group(membership->store, group);
    store_group_free(group);
}

static void on_own_item(void *owner, const key_value_item_t *item) {
    store_membership_t *membership = owner;
    const char *name;
    if (key_value_kind(item->key, &name) != KEY_OWN)
        return;
    if (g_str_has_prefix(name, registration_prefix)) {
        apply_registration(membership, name + strlen(registration_prefix), item);
        return;
    }
    if (strcmp(name, group_name) == 0)
        apply_group_value(membership, item);
}

/** What stood there since the last listing is unknown. */
static void apply_missing_group(store_membership_t *membership) {
    membership->group_followed = false;
    membership->group_overwritten = false;
    store_record_listed(membership->store, 0);
}

/** True if the set @p keys holds the key of storage nodes that is called @p name. */
static bool lists(GHashTable *keys, const char *name) {
    char *key = key_value_own_key(name);
    bool listed = g_hash_table_contains(keys, key);
    g_free(key);
    return listed;
}

static void on_own_listed(void *owner, GHashTable *keys) {
    store_membership_t *membership = owner;
    membership->listed = true;
    /* Behind an odd value there may be a group in which this node has acknowledged records. */
    if (!lists(keys, group_name))
        apply_missing_group(membership);
    char *name = registration_name(membership);
    membership->registered = membership->registered && lists(keys, name);
    g_free(name);
    store_membership_check(membership->store);
}

static void on_retire_item(void *owner, const key_value_item_t *item) {
    store_membership_t *membership = owner;
    const char *name;
    if (key_value_kind(item->key, &name) != KEY_RETIRE || item->value == NULL)
        return;
    g_hash_table_add(membership->retiring_nodes, g_strdup(name));
    if (strcmp(name, membership->store->settings->name) != 0 || membership->retiring)
        return;
    event_log(STORE_RETIRING, membership->store->group->generation);
    membership->retiring = true;
    store_membership_check(membership->store);
}

static void on_retire_listed(void *owner, GHashTable *keys) {
    (void)owner;
    (void)keys;
}

static void on_reachable(void *owner, bool reachable) {
    store_membership_t *membership = owner;
    if (reachable)
        event_log(KEY_VALUE_REACHABLE, membership->store->settings->key_value_text);
    else
        event_log(KEY_VALUE_UNREACHABLE, membership->store->settings->key_value_text,
                  error_name(RUDDERWAY_ERROR_KEY_VALUE_UNAVAILABLE));
}

static void on_retire_reachable(void *owner, bool reachable) {
    (void)owner;
    (void)reachable;
}

static const key_value_watch_handler_t own_handler = {on_own_item, on_own_listed, on_reachable};
static const key_value_watch_handler_t retire_handler = {on_retire_item, on_retire_listed,
                                                         on_retire_reachable};

/* Connections to other storage nodes. */

static store_peer_t *obtain_peer(store_membership_t *membership, const store_member_t *member) {
    store_peer_t *peer = g_hash_table_lookup(membership->peers, member->name);
    if (peer == NULL) {
        peer = store_peer_new(membership->store, member->name, member->address);
        g_hash_table_insert(membership->peers, peer->name, peer);
    }
    return peer;
}

static void poll_members(store_membership_t *membership, const GArray *members) {
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (strcmp(member->name, membership->store->settings->name) != 0)
            store_peer_poll(obtain_peer(membership, member));
    }
}

/** Counts the nodes of @p members that respond and are complete in the current generation. */
static unsigned count_complete_of(store_membership_t *membership, const GArray *members) {
    const store_t *store = membership->store;
    unsigned complete = 0;
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (strcmp(member->name, store->settings->name) == 0) {
            complete += store_has_all_turns(store);
            continue;
        }
        const store_peer_t *peer = obtain_peer(membership, member);
        complete += peer->answered_at > 0 &&
                    peer->complete_generation == store->group->generation &&
                    store_peer_unanswered_ms(peer) <= MEMBER_RESPONSE_TIMEOUT_MS;
    }
    return complete;
}

static unsigned count_complete(store_membership_t *membership) {
    return count_complete_of(membership, membership->store->group->members);
}

/**
 * True if all members of the next generation can become complete in it: enough of them are complete
 * now to serve as sources for the others. With fewer, incomplete members would wait for one another
 * forever: with one complete member of two and a node that joins, nothing is stored any more.
 */
static bool all_can_complete(store_membership_t *membership, const store_group_t *next) {
    unsigned complete = count_complete_of(membership, next->members);
    return complete >= store_group_sources_needed(next->members->len);
}

/** Returns an unresponsive member; NULL if there is none. */
static const store_member_t *find_failed_member(store_membership_t *membership) {
    const GArray *members = membership->store->group->members;
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (store_peer_unanswered_ms(obtain_peer(membership, member)) > MEMBER_RESPONSE_TIMEOUT_MS)
            return member;
    }
    return NULL;
}

/* Proposals. */

/** Members first, by name, and then all others at once: one write is enough. */
static unsigned restoring_rank(const store_t *store) {
    const GArray *members = store->group->members;
    guint rank = 0;
    while (rank < members->len &&
           strcmp(g_array_index(members, store_member_t, rank).name, store->settings->name) != 0)
        rank++;
    return rank;
}

/** Writes the latest group in place of a value that is none, if that is this node's turn. */
static void restore_group(store_membership_t *membership) {
    const store_t *store = membership->store;
    uint64_t due_at = membership->overwritten_at + restoring_rank(store) * RESTORING_RANK_DELAY_MS;
    if (now(membership) >= due_at)
        start_group_write(membership, store_group_copy(store->group), "restoring");
}

static void copy_members_without(store_group_t *next, const GArray *members, const char *name) {
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (name == NULL || strcmp(member->name, name) != 0)
            store_group_add(next->members, member->name, member->address, member->zone);
    }
}

/** Lists the founders, or all registered nodes that are not retiring, as store_member_t. */
static GArray *list_candidates(const store_membership_t *membership, bool founders) {
    GArray *candidates = store_members_new();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, membership->registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const registration_t *registration = value;
        const store_member_t *member = &registration->member;
        bool retiring = g_hash_table_contains(membership->retiring_nodes, member->name);
        if (founders ? registration->founding : !retiring)
            store_group_add(candidates, member->name, member->address, member->zone);
    }
    return candidates;
}

/** True if all of @p nodes respond; a node tells its group before it answers the first poll. */
static bool all_respond(store_membership_t *membership, const GArray *nodes) {
    poll_members(membership, nodes);
    for (guint i = 0; i < nodes->len; i++) {
        const store_member_t *node = &g_array_index(nodes, store_member_t, i);
        if (strcmp(node->name, membership->store->settings->name) == 0)
            continue;
        const store_peer_t *peer = obtain_peer(membership, node);
        if (peer->answered_at == 0 || store_peer_unanswered_ms(peer) > MEMBER_RESPONSE_TIMEOUT_MS)
            return false;
    }
    return true;
}

/** Lists all registered nodes as store_member_t. */
static GArray *list_registered(const store_membership_t *membership) {
    GArray *nodes = store_members_new();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, membership->registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const store_member_t *member = &((const registration_t *)value)->member;
        store_group_add(nodes, member->name, member->address, member->zone);
    }
    return nodes;
}

/**
 * Makes this node a founder though it was started before, if no group can have been founded: all
 * founders have ended before they had written that they are.
 */
static void become_founder(store_membership_t *membership) {
    store_t *store = membership->store;
    bool key_unseen = membership->group_revision == 0 && !membership->group_overwritten;
    bool due = key_unseen && store->identity_durable && !store->state_write_pending &&
               now(membership) - store->started_at >= FOUNDING_AGAIN_DELAY_MS;
    if (!due)
        return;
    GArray *founders = list_candidates(membership, true);
    GArray *nodes = list_registered(membership);
    bool enough =
        founders->len == 0 && nodes->len >= store_group_minimum(store->settings->tolerated_losses);
    if (enough && all_respond(membership, nodes)) {
        event_log(STORE_FOUNDER_AGAIN, nodes->len);
        store->founding = true;
        store->identity_durable = false;
        store_write_state(store);
        membership->registered = false;
    }
    g_array_free(founders, TRUE);
    g_array_free(nodes, TRUE);
}

static void found_group(store_membership_t *membership) {
    const store_t *store = membership->store;
    uint64_t age = now(membership) - store->started_at;
    if (!store->founding)
        become_founder(membership);
    if (!store->founding || !store->identity_durable || age < FOUNDING_DELAY_MS)
        return;
    GArray *founders = list_candidates(membership, true);
    store_group_t *group = store_group_new();
    unsigned rank = store_group_standby_rank(group->members, founders, store->settings->name);
    bool enough = founders->len >= FOUNDERS_EXPECTED || age >= FOUNDING_ALONE_DELAY_MS;
    bool due =
        enough && founders->len > 0 && age >= FOUNDING_DELAY_MS + rank * FOUNDING_RANK_DELAY_MS;
    group->generation = 1;
    store_group_fill(group->members, founders, store_group_size(store->settings->tolerated_losses));
    group->target =
        MAX(group->members->len, store_group_minimum(store->settings->tolerated_losses));
    if (due)
        start_group_write(membership, group, "founding");
    else
        store_group_free(group);
    g_array_free(founders, TRUE);
}

/** Proposes @p next if all its members can become complete; takes ownership of it. */
static void propose_change(store_membership_t *membership, store_group_t *next,
                           const char *reason) {
    if (all_can_complete(membership, next))
        start_group_write(membership, next, reason);
    else
        store_group_free(next);
}

/** Time between two polls of the members by this spare. */
static uint64_t standby_poll_interval_ms(const store_membership_t *membership) {
    const store_t *store = membership->store;
    GArray *candidates = list_candidates(membership, false);
    unsigned rank =
        store_group_standby_rank(store->group->members, candidates, store->settings->name);
    g_array_free(candidates, TRUE);
    return MIN((uint64_t)rank * STANDBY_RANK_INTERVAL_MS, STANDBY_INTERVAL_MAX_MS);
}

/** True if all members have answered their polls. */
static bool all_answered(store_membership_t *membership) {
    const GArray *members = membership->store->group->members;
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (store_peer_unanswered_ms(obtain_peer(membership, member)) > 0)
            return false;
    }
    return true;
}

/** Joins the group as a spare if a member has failed or the group is below its target size. */
static void join_group(store_membership_t *membership) {
    const store_t *store = membership->store;
    const GArray *members = store->group->members;
    bool full = members->len >= store->group->target;
    if (full && now(membership) < membership->next_poll_at)
        return;
    uint64_t interval = standby_poll_interval_ms(membership);
    if (full && interval > 0 && membership->polling_members && all_answered(membership)) {
        membership->polling_members = false;
        membership->next_poll_at = now(membership) + interval;
        return;
    }
    membership->polling_members = true;
    poll_members(membership, members);
    if (count_complete(membership) < store_read_quorum(members->len))
        return;
    const store_member_t *failed = find_failed_member(membership);
    if (failed == NULL && full)
        return;
    store_group_t *next = store_group_next(store->group);
    copy_members_without(next, members, failed == NULL ? NULL : failed->name);
    store_group_add(next->members, store->settings->name, store->settings->peer_text,
                    store->settings->zone);
    propose_change(membership, next, failed == NULL ? "joining" : "replacing");
}

/** Returns a responsive spare that is not retiring; NULL if there is none. */
static const store_member_t *find_spare(store_membership_t *membership) {
    const store_t *store = membership->store;
    const store_member_t *spare = NULL;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, membership->registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const store_member_t *member = &((const registration_t *)value)->member;
        if (g_hash_table_contains(membership->retiring_nodes, member->name) ||
            store_group_find(store->group->members, member->name) != NULL)
            continue;
        store_peer_t *peer = obtain_peer(membership, member);
        store_peer_poll(peer);
        if (peer->answered_at > 0 && store_peer_unanswered_ms(peer) <= MEMBER_RESPONSE_TIMEOUT_MS)
            spare = member;
    }
    return spare;
}

static void leave_group(store_membership_t *membership) {
    const store_t *store = membership->store;
    const GArray *members = store->group->members;
    poll_members(membership, members);
    const store_member_t *spare = find_spare(membership);
    /* The remaining members must tolerate the loss of a disk as soon as this node leaves. */
    guint remaining = members->len - 1 + (spare != NULL);
    if (remaining <= store->settings->tolerated_losses ||
        count_complete(membership) < store_read_quorum(members->len))
        return;
    store_group_t *next = store_group_next(store->group);
    copy_members_without(next, members, store->settings->name);
    if (spare != NULL)
        store_group_add(next->members, spare->name, spare->address, spare->zone);
    propose_change(membership, next, "retiring");
}

static void report_retirement(store_membership_t *membership, bool complete) {
    const char *name = membership->store->settings->name;
    membership->reporting =
        complete ? &membership->retire_complete_reported : &membership->retire_running_reported;
    write_key(membership, key_value_retire_status_key(name), key_value_retire_status(complete),
              true, 0);
}

static void continue_retiring(store_membership_t *membership) {
    const store_t *store = membership->store;
    if (!membership->retire_running_reported) {
        report_retirement(membership, false);
        return;
    }
    if (store_is_member(store)) {
        leave_group(membership);
        return;
    }
    if (membership->retire_complete_reported || !store->group_durable)
        return;
    poll_members(membership, store->group->members);
    if (count_complete(membership) < store->group->members->len)
        return;
    /* The others hold everything: nothing of this node may stay behind in the service. */
    turn_spill_discard(store->spill);
    if (!turn_spill_complete(store->spill) || !turn_spill_empty(store->spill))
        return;
    event_log(STORE_RETIRED, store->group->generation);
    report_retirement(membership, true);
}

void store_membership_check(store_t *store) {
    store_membership_t *membership = store->membership;
    if (membership == NULL || !may_write(membership))
        return;
    if (!membership->registered) {
        if (store->identity_durable)
            register_node(membership);
        return;
    }
    if (store->group->generation == 0)
        found_group(membership);
    else if (membership->group_overwritten && membership->group_followed)
        restore_group(membership);
    else if (membership->retiring)
        continue_retiring(membership);
    else if (!store_is_member(store))
        join_group(membership);
    else
        g_hash_table_remove_all(membership->peers);
}

static void on_timer(uv_timer_t *timer) {
    const store_membership_t *membership = timer->data;
    store_membership_check(membership->store);
}

store_membership_t *store_membership_new(store_t *store) {
    const process_settings_t *settings = store->settings;
    store_membership_t *membership = g_new0(store_membership_t, 1);
    membership->store = store;
    membership->registrations =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_registration);
    membership->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    membership->retiring_nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    uv_timer_init(store->loop, &membership->timer);
    membership->timer.data = membership;
    uv_timer_start(&membership->timer, on_timer, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS);
    membership->own_watch =
        key_value_watch_open(store->loop, &settings->key_value, settings->key_value_text,
                             key_value_prefix(KEY_OWN), WATCH_WAIT_MS, &own_handler, membership);
    membership->retire_watch = key_value_watch_open(
        store->loop, &settings->key_value, settings->key_value_text, key_value_prefix(KEY_RETIRE),
        WATCH_WAIT_MS, &retire_handler, membership);
    return membership;
}
