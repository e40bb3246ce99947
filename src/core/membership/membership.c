#include "core/membership/membership.h"

#include <string.h>

const membership_options_t membership_default_options = {
    .period_ms = 200,
    .ping_timeout_ms = 80,
    .suspicion_ms = 800,
    .sync_ms = 5000,
    .sync_members = 24,
    .forget_dead_ms = 3600 * 1000,
    .indirect_count = 3,
    .updates_maximum = 6,
};

typedef struct {
    member_t *member;
    uint32_t sends_left; /**< How often the record still travels on datagrams. */
} record_t;

typedef struct {
    uint64_t sequence;
    instance_id_t target;
    int64_t sent_ms;
    bool indirect_sent;
    char *reply_address; /**< Set when pinging for another node. */
    uint32_t reply_port;
    uint64_t reply_sequence;
} probe_t;

struct membership {
    member_t *self;
    GPtrArray *members;    /**< Of member_t (not owned), self included, by name. */
    GHashTable *records;   /**< instance → record_t. */
    GPtrArray *probes;     /**< Of probe_t, outstanding. */
    GPtrArray *ping_order; /**< Shuffled instances still to ping in this round. */
    membership_seed_t *seeds;
    size_t seed_count;
    size_t next_seed;
    membership_options_t options;
    GRand *random;
    uint64_t next_sequence;
    uint64_t revision;
    int64_t now_ms;
    int64_t ticked_ms; /**< Time of the last tick. */
    int64_t next_ping_ms;
    int64_t next_sync_ms;
};

static void record_free(record_t *record) {
    member_free(record->member);
    g_free(record);
}

static void probe_free(probe_t *probe) {
    g_free(probe->reply_address);
    g_free(probe);
}

static gint compare_names(gconstpointer a, gconstpointer b) {
    const member_t *left = *(const member_t *const *)a;
    const member_t *right = *(const member_t *const *)b;
    int order = strcmp(left->name, right->name);
    if (order != 0)
        return order;
    return left->instance < right->instance ? -1 : left->instance > right->instance;
}

static uint32_t dissemination_count(const membership_t *membership) {
    uint32_t doublings = 1;
    for (guint n = membership->members->len; n > 1; n /= 2)
        doublings++;
    return 3 * doublings;
}

static record_t *insert_record(membership_t *membership, const member_t *member) {
    record_t *record = g_new0(record_t, 1);
    record->member = member_copy(member);
    g_hash_table_insert(membership->records, &record->member->instance, record);
    g_ptr_array_add(membership->members, record->member);
    g_ptr_array_sort(membership->members, compare_names);
    record->sends_left = dissemination_count(membership);
    return record;
}

membership_t *membership_new(const member_t *self, const membership_seed_t *seeds,
                             size_t seed_count, uint64_t random_seed,
                             const membership_options_t *options) {
    membership_t *membership = g_new0(membership_t, 1);
    membership->records =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, (GDestroyNotify)record_free);
    membership->members = g_ptr_array_new();
    membership->probes = g_ptr_array_new_with_free_func((GDestroyNotify)probe_free);
    membership->ping_order = g_ptr_array_new_with_free_func(g_free);
    membership->options = *options;
    membership->random = g_rand_new_with_seed((guint32)(random_seed ^ (random_seed >> 32)));
    membership->self = insert_record(membership, self)->member;
    membership->seeds = g_new0(membership_seed_t, seed_count + 1);
    membership->seed_count = seed_count;
    for (size_t i = 0; i < seed_count; i++) {
        membership->seeds[i].address = g_strdup(seeds[i].address);
        membership->seeds[i].port = seeds[i].port;
    }
    return membership;
}

void membership_free(membership_t *membership) {
    for (size_t i = 0; i < membership->seed_count; i++)
        g_free(membership->seeds[i].address);
    g_free(membership->seeds);
    g_hash_table_unref(membership->records);
    g_ptr_array_unref(membership->members);
    g_ptr_array_unref(membership->probes);
    g_ptr_array_unref(membership->ping_order);
    g_rand_free(membership->random);
    g_free(membership);
}

static record_t *find_record(const membership_t *membership, instance_id_t instance) {
    return g_hash_table_lookup(membership->records, &instance);
}

/* --- Messages out ----------------------------------------------------------------------- */

static void add_news(membership_t *membership, membership_message_t *message) {
    guint start = (guint)g_rand_int(membership->random);
    for (guint i = 0; i < membership->members->len; i++) {
        if (message->members->len > membership->options.updates_maximum)
            return;
        guint position = (start + i) % membership->members->len;
        const member_t *member = g_ptr_array_index(membership->members, position);
        record_t *record = find_record(membership, member->instance);
        if (member == membership->self || record->sends_left == 0)
            continue;
        record->sends_left--;
        g_ptr_array_add(message->members, member_copy(member));
    }
}

static membership_message_t *send_to(membership_t *membership, membership_message_kind_t kind,
                                     const char *address, uint32_t port,
                                     membership_output_t *output) {
    membership_message_t *message = g_new0(membership_message_t, 1);
    message->kind = kind;
    message->address = g_strdup(address);
    message->port = port;
    message->configuration_revision = membership->revision;
    message->members = g_ptr_array_new_with_free_func((GDestroyNotify)member_free);
    g_ptr_array_add(message->members, member_copy(membership->self));
    message->reliable = kind == MEMBERSHIP_REQUEST_SYNC || kind == MEMBERSHIP_RESPONSE_SYNC;
    if (!message->reliable)
        add_news(membership, message);
    g_ptr_array_add(output->messages, message);
    return message;
}

static void send_table(membership_t *membership, membership_message_kind_t kind,
                       const char *address, uint32_t port, membership_output_t *output) {
    membership_message_t *message = send_to(membership, kind, address, port, output);
    for (guint i = 0; i < membership->members->len; i++) {
        const member_t *member = g_ptr_array_index(membership->members, i);
        if (member != membership->self)
            g_ptr_array_add(message->members, member_copy(member));
    }
}

/* --- News in ------------------------------------------------------------------------------ */

static void report_change(record_t *record, membership_t *membership, membership_output_t *output) {
    record->member->changed_ms = membership->now_ms;
    record->sends_left = dissemination_count(membership);
    g_ptr_array_add(output->changed, member_copy(record->member));
}

/** An instance is dead once a later instance of the same name is known. */
static bool is_superseded(const membership_t *membership, const member_t *member) {
    const member_t *known = membership_find_name(membership, member->name);
    return known != NULL && known->instance > member->instance;
}

static void bury_older_instances(membership_t *membership, const member_t *member,
                                 membership_output_t *output) {
    for (guint i = 0; i < membership->members->len; i++) {
        member_t *other = g_ptr_array_index(membership->members, i);
        if (other == membership->self || other->instance >= member->instance ||
            other->state == MEMBER_DEAD || strcmp(other->name, member->name) != 0)
            continue;
        other->state = MEMBER_DEAD;
        report_change(find_record(membership, other->instance), membership, output);
    }
}

static void refute(membership_t *membership, const member_t *news) {
    if (news->state == MEMBER_ALIVE || news->incarnation < membership->self->incarnation)
        return;
    membership->self->incarnation = news->incarnation + 1;
    find_record(membership, membership->self->instance)->sends_left =
        dissemination_count(membership);
}

static bool supersedes(const member_t *news, const member_t *known) {
    if (news->incarnation != known->incarnation)
        return news->incarnation > known->incarnation;
    return news->state > known->state;
}

static void merge_member(membership_t *membership, const member_t *news,
                         membership_output_t *output) {
    if (news->instance == membership->self->instance) {
        refute(membership, news);
        return;
    }
    record_t *record = find_record(membership, news->instance);
    if (record == NULL) {
        record = insert_record(membership, news);
        if (is_superseded(membership, news))
            record->member->state = MEMBER_DEAD;
        report_change(record, membership, output);
        bury_older_instances(membership, news, output);
        return;
    }
    if (!supersedes(news, record->member) || is_superseded(membership, news))
        return;
    bool visible = news->state != record->member->state || news->leaving != record->member->leaving;
    record->member->incarnation = news->incarnation;
    record->member->state = news->state;
    record->member->leaving = news->leaving;
    if (visible)
        report_change(record, membership, output);
}

/** Makes sure that a member that is thought dead or suspected hears so and can refute. */
static void tell_state(const membership_t *membership, instance_id_t instance,
                       membership_message_t *message) {
    const member_t *known = membership_find(membership, instance);
    if (known != NULL && known->state != MEMBER_ALIVE)
        g_ptr_array_add(message->members, member_copy(known));
}

static probe_t *find_probe(const membership_t *membership, uint64_t sequence, guint *position) {
    for (guint i = 0; i < membership->probes->len; i++) {
        probe_t *probe = g_ptr_array_index(membership->probes, i);
        if (probe->sequence == sequence) {
            *position = i;
            return probe;
        }
    }
    return NULL;
}

static probe_t *send_ping(membership_t *membership, const member_t *target,
                          membership_output_t *output) {
    membership_message_t *message =
        send_to(membership, MEMBERSHIP_REQUEST_PING, target->address, target->peer_port, output);
    message->sequence = ++membership->next_sequence;
    tell_state(membership, target->instance, message);
    probe_t *probe = g_new0(probe_t, 1);
    probe->sequence = message->sequence;
    probe->target = target->instance;
    probe->sent_ms = membership->now_ms;
    g_ptr_array_add(membership->probes, probe);
    return probe;
}

static void receive_indirect_request(membership_t *membership, const membership_message_t *message,
                                     membership_output_t *output) {
    const member_t *sender = g_ptr_array_index(message->members, 0);
    const member_t *target = membership_find(membership, message->target);
    if (target == NULL || target == membership->self)
        return;
    probe_t *probe = send_ping(membership, target, output);
    probe->reply_address = g_strdup(sender->address);
    probe->reply_port = sender->peer_port;
    probe->reply_sequence = message->sequence;
}

static void receive_answer(membership_t *membership, const membership_message_t *message,
                           membership_output_t *output) {
    guint position;
    const probe_t *probe = find_probe(membership, message->sequence, &position);
    if (probe == NULL)
        return;
    if (probe->reply_address != NULL) {
        membership_message_t *relay = send_to(membership, MEMBERSHIP_RESPONSE_PING,
                                              probe->reply_address, probe->reply_port, output);
        relay->sequence = probe->reply_sequence;
        const member_t *target = membership_find(membership, probe->target);
        if (target != NULL)
            g_ptr_array_add(relay->members, member_copy(target));
    }
    g_ptr_array_remove_index(membership->probes, position);
}

void membership_receive(membership_t *membership, const membership_message_t *message,
                        int64_t now_ms, membership_output_t *output) {
    membership->now_ms = now_ms;
    const member_t *sender = g_ptr_array_index(message->members, 0);
    for (guint i = 0; i < message->members->len; i++)
        merge_member(membership, g_ptr_array_index(message->members, i), output);
    switch (message->kind) {
    case MEMBERSHIP_REQUEST_PING: {
        membership_message_t *answer = send_to(membership, MEMBERSHIP_RESPONSE_PING,
                                               sender->address, sender->peer_port, output);
        answer->sequence = message->sequence;
        tell_state(membership, sender->instance, answer);
        break;
    }
    case MEMBERSHIP_RESPONSE_PING:
        receive_answer(membership, message, output);
        break;
    case MEMBERSHIP_REQUEST_INDIRECT_PING:
        receive_indirect_request(membership, message, output);
        break;
    case MEMBERSHIP_REQUEST_SYNC:
        send_table(membership, MEMBERSHIP_RESPONSE_SYNC, sender->address, sender->peer_port,
                   output);
        break;
    case MEMBERSHIP_RESPONSE_SYNC:
    case MEMBERSHIP_MESSAGE_KINDS:
        break;
    }
}

/* --- Time --------------------------------------------------------------------------------- */

static void send_indirect_pings(membership_t *membership, probe_t *probe,
                                membership_output_t *output) {
    uint32_t asked = 0;
    guint start = (guint)g_rand_int(membership->random);
    probe->indirect_sent = true;
    for (guint i = 0; i < membership->members->len; i++) {
        const member_t *helper =
            g_ptr_array_index(membership->members, (start + i) % membership->members->len);
        if (asked == membership->options.indirect_count)
            return;
        if (helper == membership->self || helper->instance == probe->target ||
            helper->state != MEMBER_ALIVE)
            continue;
        membership_message_t *message = send_to(membership, MEMBERSHIP_REQUEST_INDIRECT_PING,
                                                helper->address, helper->peer_port, output);
        message->sequence = probe->sequence;
        message->target = probe->target;
        asked++;
    }
}

static void suspect(membership_t *membership, instance_id_t target, membership_output_t *output) {
    record_t *record = find_record(membership, target);
    if (record == NULL || record->member->state != MEMBER_ALIVE)
        return;
    record->member->state = MEMBER_SUSPECT;
    report_change(record, membership, output);
}

static void tick_probes(membership_t *membership, membership_output_t *output) {
    for (guint i = membership->probes->len; i > 0; i--) {
        probe_t *probe = g_ptr_array_index(membership->probes, i - 1);
        int64_t age = membership->now_ms - probe->sent_ms;
        bool direct = probe->reply_address == NULL;
        if (direct && !probe->indirect_sent && age >= membership->options.ping_timeout_ms)
            send_indirect_pings(membership, probe, output);
        if (age < 2 * membership->options.period_ms)
            continue;
        if (direct)
            suspect(membership, probe->target, output);
        g_ptr_array_remove_index(membership->probes, i - 1);
    }
}

static void tick_suspects(membership_t *membership, membership_output_t *output) {
    for (guint i = 0; i < membership->members->len; i++) {
        member_t *member = g_ptr_array_index(membership->members, i);
        int64_t age = membership->now_ms - member->changed_ms;
        if (member->state != MEMBER_SUSPECT || age < membership->options.suspicion_ms)
            continue;
        member->state = MEMBER_DEAD;
        report_change(find_record(membership, member->instance), membership, output);
    }
}

static void forget_dead(membership_t *membership) {
    for (guint i = membership->members->len; i > 0; i--) {
        const member_t *member = g_ptr_array_index(membership->members, i - 1);
        int64_t age = membership->now_ms - member->changed_ms;
        if (member->state != MEMBER_DEAD || age < membership->options.forget_dead_ms)
            continue;
        instance_id_t instance = member->instance;
        g_ptr_array_remove_index(membership->members, i - 1);
        g_hash_table_remove(membership->records, &instance);
    }
}

static void shuffle_ping_order(membership_t *membership) {
    for (guint i = 0; i < membership->members->len; i++) {
        const member_t *member = g_ptr_array_index(membership->members, i);
        if (member == membership->self || member->state == MEMBER_DEAD)
            continue;
        instance_id_t *instance = g_new(instance_id_t, 1);
        *instance = member->instance;
        g_ptr_array_insert(
            membership->ping_order,
            g_rand_int_range(membership->random, 0, (gint32)membership->ping_order->len + 1),
            instance);
    }
}

static void ping_next(membership_t *membership, membership_output_t *output) {
    if (membership->ping_order->len == 0)
        shuffle_ping_order(membership);
    while (membership->ping_order->len > 0) {
        guint last = membership->ping_order->len - 1;
        const instance_id_t *instance = g_ptr_array_index(membership->ping_order, last);
        const member_t *target = membership_find(membership, *instance);
        g_ptr_array_remove_index(membership->ping_order, last);
        if (target == NULL || target->state == MEMBER_DEAD)
            continue;
        send_ping(membership, target, output);
        return;
    }
}

/**
 * A young node asks every seed once, not just the first that answers: nodes that start together
 * would else find each other and stay apart from the rest for a while.
 */
static bool is_joining(const membership_t *membership) {
    return membership->next_seed < membership->seed_count;
}

/** Exchanges tables with a seed or with any member, dead ones too, so that cuts heal. */
static void sync_with_one(membership_t *membership, membership_output_t *output) {
    guint others = membership->members->len - 1;
    guint choice = (guint)g_rand_int_range(membership->random, 0,
                                           (gint32)(others + membership->seed_count) + 1);
    bool seek = others == 0 || is_joining(membership);
    if (membership->seed_count > 0 && (seek || choice < membership->seed_count)) {
        size_t next = membership->next_seed++ % membership->seed_count;
        const membership_seed_t *seed = &membership->seeds[next];
        send_table(membership, MEMBERSHIP_REQUEST_SYNC, seed->address, seed->port, output);
        return;
    }
    const member_t *member =
        g_ptr_array_index(membership->members, choice % membership->members->len);
    if (member != membership->self)
        send_table(membership, MEMBERSHIP_REQUEST_SYNC, member->address, member->peer_port, output);
}

static int64_t sync_interval(const membership_t *membership) {
    if (membership->members->len == 1 || is_joining(membership))
        return membership->options.period_ms;
    uint32_t tables = membership->members->len / membership->options.sync_members;
    return membership->options.sync_ms * MAX(tables, 1);
}

/**
 * A node that was paused, or is too slow to tick on time, has missed answers and refutations that
 * were sent: it gives everybody the time back that it did not listen.
 */
static void forgive_own_pause(membership_t *membership, int64_t now_ms) {
    int64_t gap = now_ms - membership->ticked_ms;
    bool late = membership->ticked_ms != 0 && gap > membership->options.ping_timeout_ms;
    membership->ticked_ms = now_ms;
    if (!late)
        return;
    for (guint i = 0; i < membership->probes->len; i++)
        ((probe_t *)g_ptr_array_index(membership->probes, i))->sent_ms += gap;
    for (guint i = 0; i < membership->members->len; i++) {
        member_t *member = g_ptr_array_index(membership->members, i);
        if (member->state == MEMBER_SUSPECT)
            member->changed_ms += gap;
    }
}

void membership_tick(membership_t *membership, int64_t now_ms, membership_output_t *output) {
    forgive_own_pause(membership, now_ms);
    membership->now_ms = now_ms;
    tick_probes(membership, output);
    tick_suspects(membership, output);
    if (now_ms >= membership->next_ping_ms) {
        membership->next_ping_ms = now_ms + membership->options.period_ms;
        ping_next(membership, output);
    }
    if (now_ms >= membership->next_sync_ms) {
        membership->next_sync_ms = now_ms + sync_interval(membership);
        sync_with_one(membership, output);
        forget_dead(membership);
    }
}

void membership_leave(membership_t *membership, membership_output_t *output) {
    membership->self->leaving = true;
    membership->self->incarnation++;
    for (guint i = 0; i < membership->members->len; i++) {
        const member_t *member = g_ptr_array_index(membership->members, i);
        if (member != membership->self && member->state != MEMBER_DEAD)
            send_ping(membership, member, output);
    }
}

void membership_set_revision(membership_t *membership, uint64_t revision) {
    membership->revision = revision;
}

const member_t *membership_self(const membership_t *membership) {
    return membership->self;
}

const member_t *membership_find(const membership_t *membership, instance_id_t instance) {
    const record_t *record = find_record(membership, instance);
    return record != NULL ? record->member : NULL;
}

const member_t *membership_find_name(const membership_t *membership, const char *name) {
    const member_t *found = NULL;
    for (guint i = 0; i < membership->members->len; i++) {
        const member_t *member = g_ptr_array_index(membership->members, i);
        if (strcmp(member->name, name) == 0 &&
            (found == NULL || member->instance > found->instance))
            found = member;
    }
    return found;
}

const GPtrArray *membership_all(const membership_t *membership) {
    return membership->members;
}
