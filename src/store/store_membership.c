/*
 * Design. The group stands in one key of the key-value service and changes only by a write under
 * the condition that the key has not changed. Every storage node also has a key that says where
 * it is. Three nodes propose a group:
 *
 * - a founder, once, when the system starts for the first time, with as many of the others as a
 *   group needs (core/quorum/store_group_choice.h);
 * - a node that stands by, in place of a member that it finds gone, or to bring the group
 *   back to the size it was founded with;
 * - a member that an operator asks to be emptied: the group without it, or with a node that is
 *   no member in its place. It says "completed" once the others are complete without it; as long
 *   as they would be too few to lose a disk, it stays.
 *
 * Nodes that stand by have ranks, and the first looks at the members all the time. The others look
 * the more seldom the higher their rank, so that many of them neither ask much nor all propose at
 * once; a lost first one is made good by the next.
 *
 * Failures. A proposal whose answer is lost shows in the watch. A member that was taken for gone
 * and comes back is no member any more and becomes a spare. While the key-value service is down
 * the group stays as it is; nothing on the path of a call needs the service.
 */
#include "store/store.h"

#include "common/event.h"
#include "core/quorum/store_group_choice.h"
#include "store/store_peer.h"

#include <string.h>

enum {
    WATCH_WAIT_MS = 25000,
    CHECK_MS = 300,
    FOUND_AFTER_MS = 2000, /**< After the start, so that all founders have registered. */
    FOUND_ALONE_AFTER_MS = 5000,
    FOUNDERS_USUAL = 3,
    GONE_AFTER_MS = 1200, /**< A member silent for so long may be replaced. */
    WRITE_AGAIN_MS = 1000,
    FOUND_EACH_MS = 150,    /**< A founder proposes so much later for each one before it. */
    STANDBY_EACH_MS = 1500, /**< Between two looks at the members, for each rank. */
    STANDBY_MOST_MS = 9000,
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
    bool listed;               /**< The keys have been listed at least once. */
    uint64_t group_revision;   /**< Of the group's key; 0: there is none. */
    GHashTable *registrations; /**< Node name to registration_t. */
    bool registered;
    bool writing; /**< A write is on its way. */
    uint64_t written_at;
    bool retiring;
    bool retire_running_told;   /**< The service has that this node is being emptied, */
    bool retire_complete_told;  /**< and that it is empty. */
    bool *telling;              /**< Which of the two is on its way; NULL: neither. */
    GHashTable *peers;          /**< Node name to store_peer_t, while they are needed. */
    GHashTable *retiring_nodes; /**< Names of all nodes that are to be emptied. */
    bool looking;               /**< A node that stands by waits for what the members answer. */
    uint64_t look_after;        /**< It looks at them again then, ms. */
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
    /* A write that was refused, or whose answer was lost, is made again: the operator waits for it.
     */
    if (membership->telling != NULL && outcome == KEY_VALUE_WRITTEN)
        *membership->telling = true;
    membership->telling = NULL;
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

/** True if another write may begin now. */
static bool may_write(const store_membership_t *membership) {
    return membership->listed && !membership->writing &&
           now(membership) >= membership->written_at + WRITE_AGAIN_MS;
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
    char *name = g_strconcat(registration_prefix, store->settings->name, NULL);
    write_key(membership, key_value_own_key(name), codec_finish(&codec), true, 0);
    g_free(name);
}

/** Proposes @p group; takes it over. */
static void propose(store_membership_t *membership, store_group_t *group, const char *reason) {
    event_log(STORE_GROUP_PROPOSED, group->generation, group->members->len, reason);
    write_key(membership, key_value_own_key(group_name), store_group_encode(group), false,
              membership->group_revision);
    store_group_free(group);
}

/* Reading. */

static void take_registration(store_membership_t *membership, const char *name,
                              const key_value_item_t *item) {
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
    const store_t *store = membership->store;
    if (!codec_complete(&codec) || strcmp(registration->member.name, name) != 0) {
        free_registration(registration);
        return;
    }
    if (strcmp(name, store->settings->name) == 0)
        membership->registered =
            strcmp(registration->member.address, store->settings->peer_text) == 0 &&
            registration->founding == store->founding;
    g_hash_table_replace(membership->registrations, registration->member.name, registration);
}

static void on_own_item(void *owner, const key_value_item_t *item) {
    store_membership_t *membership = owner;
    const char *name;
    if (key_value_kind(item->key, &name) != KEY_OWN)
        return;
    if (g_str_has_prefix(name, registration_prefix)) {
        take_registration(membership, name + strlen(registration_prefix), item);
        return;
    }
    if (strcmp(name, group_name) != 0 || item->value == NULL)
        return;
    gsize length;
    const void *data = g_bytes_get_data(item->value, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group == NULL)
        return;
    membership->group_revision = item->revision;
    store_adopt_group(membership->store, group);
    store_group_free(group);
}

static void on_own_listed(void *owner, GHashTable *keys) {
    store_membership_t *membership = owner;
    (void)keys;
    membership->listed = true;
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

/* Peers, while a change of the group is weighed. */

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

/** How many of @p members are complete in the group's generation. */
static unsigned count_complete_of(store_membership_t *membership, const GArray *members) {
    const store_t *store = membership->store;
    unsigned complete = 0;
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (strcmp(member->name, store->settings->name) == 0) {
            complete += store_complete(store);
            continue;
        }
        const store_peer_t *peer = obtain_peer(membership, member);
        complete += peer->answered_at > 0 && peer->complete_in == store->group->generation;
    }
    return complete;
}

/** How many members of the group are complete in its generation. */
static unsigned count_complete(store_membership_t *membership) {
    return count_complete_of(membership, membership->store->group->members);
}

/**
 * True if all members of the next generation can become complete in it. Those that stay and are
 * complete now are so at once; the others copy from so many of them. With fewer they would wait for
 * one another for good: one complete member of two and a node that joins kept nothing any more.
 */
static bool all_can_complete(store_membership_t *membership, const store_group_t *next) {
    unsigned complete = count_complete_of(membership, next->members);
    return complete >= store_group_sources_needed(next->members->len);
}

/** A member that has not answered for a while; NULL if all have. */
static const store_member_t *find_gone_member(store_membership_t *membership) {
    const GArray *members = membership->store->group->members;
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (store_peer_silence(obtain_peer(membership, member)) > GONE_AFTER_MS)
            return member;
    }
    return NULL;
}

/* Proposals. */

static void copy_members_without(store_group_t *next, const GArray *members, const char *name) {
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (name == NULL || strcmp(member->name, name) != 0)
            store_group_add(next->members, member->name, member->address, member->zone);
    }
}

/** Registered nodes, as store_member_t; founders only, or all that are not to be emptied. */
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

static void found_group(store_membership_t *membership) {
    const store_t *store = membership->store;
    uint64_t age = now(membership) - store->started_at;
    if (!store->founding || !store->identity_durable || age < FOUND_AFTER_MS)
        return;
    GArray *founders = list_candidates(membership, true);
    store_group_t *group = store_group_new();
    unsigned rank = store_group_standby_rank(group->members, founders, store->settings->name);
    bool enough = founders->len >= FOUNDERS_USUAL || age >= FOUND_ALONE_AFTER_MS;
    bool due = enough && founders->len > 0 && age >= FOUND_AFTER_MS + rank * FOUND_EACH_MS;
    group->generation = 1;
    store_group_fill(group->members, founders, store_group_size(store->settings->tolerated_losses));
    group->target = group->members->len;
    if (due)
        propose(membership, group, "founding");
    else
        store_group_free(group);
    g_array_free(founders, TRUE);
}

/** Proposes the next group, which is taken over, unless it could not become complete yet. */
static void propose_change(store_membership_t *membership, store_group_t *next,
                           const char *reason) {
    if (all_can_complete(membership, next))
        propose(membership, next, reason);
    else
        store_group_free(next);
}

/** How long this node, which stands by, waits between two looks at the members. */
static uint64_t standby_pause_ms(const store_membership_t *membership) {
    const store_t *store = membership->store;
    GArray *candidates = list_candidates(membership, false);
    unsigned rank =
        store_group_standby_rank(store->group->members, candidates, store->settings->name);
    g_array_free(candidates, TRUE);
    return MIN((uint64_t)rank * STANDBY_EACH_MS, STANDBY_MOST_MS);
}

/** True if every member has answered what it was asked last. */
static bool all_answered(store_membership_t *membership) {
    const GArray *members = membership->store->group->members;
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (store_peer_silence(obtain_peer(membership, member)) > 0)
            return false;
    }
    return true;
}

/** A node that stands by looks whether the group needs it. */
static void join_group(store_membership_t *membership) {
    const store_t *store = membership->store;
    const GArray *members = store->group->members;
    bool full = members->len >= store->group->target;
    if (full && now(membership) < membership->look_after)
        return;
    uint64_t pause = standby_pause_ms(membership);
    if (full && pause > 0 && membership->looking && all_answered(membership)) {
        membership->looking = false;
        membership->look_after = now(membership) + pause;
        return;
    }
    membership->looking = true;
    poll_members(membership, members);
    if (count_complete(membership) < store_read_quorum(members->len))
        return;
    const store_member_t *gone = find_gone_member(membership);
    if (gone == NULL && full)
        return;
    store_group_t *next = store_group_next(store->group);
    copy_members_without(next, members, gone == NULL ? NULL : gone->name);
    store_group_add(next->members, store->settings->name, store->settings->peer_text,
                    store->settings->zone);
    propose_change(membership, next, gone == NULL ? "joining" : "replacing");
}

/** A registered node that answers, is no member and is not to be emptied. */
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
        if (peer->answered_at > 0 && store_peer_silence(peer) <= GONE_AFTER_MS)
            spare = member;
    }
    return spare;
}

static void leave_group(store_membership_t *membership) {
    const store_t *store = membership->store;
    const GArray *members = store->group->members;
    poll_members(membership, members);
    const store_member_t *spare = find_spare(membership);
    /* The others must stand the loss of a disk right after this node is gone. */
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

static void tell_retirement(store_membership_t *membership, bool complete) {
    const char *name = membership->store->settings->name;
    membership->telling =
        complete ? &membership->retire_complete_told : &membership->retire_running_told;
    write_key(membership, key_value_retire_status_key(name), key_value_retire_status(complete),
              true, 0);
}

static void go_on_retiring(store_membership_t *membership) {
    const store_t *store = membership->store;
    if (!membership->retire_running_told) {
        tell_retirement(membership, false);
        return;
    }
    if (store_is_member(store)) {
        leave_group(membership);
        return;
    }
    if (membership->retire_complete_told || !store->group_durable)
        return;
    poll_members(membership, store->group->members);
    if (count_complete(membership) < store->group->members->len)
        return;
    event_log(STORE_RETIRED, store->group->generation);
    tell_retirement(membership, true);
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
    else if (membership->retiring)
        go_on_retiring(membership);
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
    uv_timer_start(&membership->timer, on_timer, CHECK_MS, CHECK_MS);
    membership->own_watch =
        key_value_watch_open(store->loop, &settings->key_value, settings->key_value_text,
                             key_value_prefix(KEY_OWN), WATCH_WAIT_MS, &own_handler, membership);
    membership->retire_watch = key_value_watch_open(
        store->loop, &settings->key_value, settings->key_value_text, key_value_prefix(KEY_RETIRE),
        WATCH_WAIT_MS, &retire_handler, membership);
    return membership;
}
