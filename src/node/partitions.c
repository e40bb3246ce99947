#include "node/partitions.h"

#include "common/event.h"
#include "core/placement/placement.h"
#include "node/calls.h"

enum {
    REPAIR_INTERVAL_MS = 100,
    STARTUP_GRACE_MS = 500, /**< After taking over, before repairs: news may be incomplete. */
};

typedef struct {
    uint64_t term;
    proposal_done_t done;
    void *data;
} proposal_t;

typedef struct {
    uint64_t ticket;
    barrier_done_t done;
    void *data;
} barrier_t;

/** A command that the log has applied and nobody has acted on yet. */
typedef struct {
    uint64_t index;
    uint64_t term;
    command_t *command;
    error_code_t error;
} applied_t;

struct group {
    uint32_t partition;
    raft_t *raft;
    program_store_t *store;
    GHashTable *proposals; /**< Log index → proposal_t. */
    GArray *barriers;      /**< Of barrier_t. */
    GQueue *applied;       /**< Of applied_t. */
    GPtrArray *messages;   /**< Of raft_message_t, to be sent. */
    bool led;              /**< Was established leader at the last flush. */
    bool flushing;
    uint64_t announced_term;
    uint32_t announced_voters;
    int64_t led_since_ms;
    int64_t next_repair_ms;
};

struct partitions {
    uint32_t count;
    group_t **groups;           /**< By partition; NULL where this node is no member. */
    partition_notice_t *routes; /**< By partition; leader 0 where nobody is known. */
};

static void flush_group(node_t *node, group_t *group);

partitions_t *partitions_new(const node_t *node) {
    partitions_t *partitions = g_new0(partitions_t, 1);
    partitions->count = node->settings->partitions;
    partitions->groups = g_new0(group_t *, partitions->count);
    partitions->routes = g_new0(partition_notice_t, partitions->count);
    return partitions;
}

static void applied_free(gpointer data) {
    applied_t *applied = data;
    command_free(applied->command);
    g_free(applied);
}

static void group_free(group_t *group) {
    if (group == NULL)
        return;
    raft_free(group->raft);
    program_store_free(group->store);
    g_hash_table_unref(group->proposals);
    g_array_unref(group->barriers);
    g_queue_free_full(group->applied, applied_free);
    g_ptr_array_unref(group->messages);
    g_free(group);
}

void partitions_free(partitions_t *partitions) {
    for (uint32_t i = 0; i < partitions->count; i++)
        group_free(partitions->groups[i]);
    g_free(partitions->groups);
    g_free(partitions->routes);
    g_free(partitions);
}

/** Queues what was applied: acting on it may propose, which must not happen inside raft. */
static void on_applied(void *context, uint64_t index, uint64_t term, command_t *command,
                       error_code_t error) {
    group_t *group = context;
    applied_t *applied = g_new0(applied_t, 1);
    *applied = (applied_t){.index = index, .term = term, .command = command, .error = error};
    g_queue_push_tail(group->applied, applied);
}

static group_t *create_group(node_t *node, uint32_t partition) {
    group_t *group = g_new0(group_t, 1);
    group->partition = partition;
    group->store = program_store_new(on_applied, group);
    raft_state_machine_t machine = program_store_machine(group->store);
    group->raft = raft_new(partition, node->instance, node->instance ^ partition,
                           &raft_default_options, &machine);
    group->proposals = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    group->barriers = g_array_new(FALSE, FALSE, sizeof(barrier_t));
    group->applied = g_queue_new();
    group->messages = g_ptr_array_new();
    node->partitions->groups[partition] = group;
    return group;
}

uint32_t group_partition(const group_t *group) {
    return group->partition;
}

program_store_t *group_store(const group_t *group) {
    return group->store;
}

/* --- Notices ------------------------------------------------------------------------------ */

static partition_notice_t *notice_new(const group_t *group) {
    partition_notice_t *notice = g_new0(partition_notice_t, 1);
    notice->partition = group->partition;
    notice->term = raft_term(group->raft);
    notice->configuration_index = raft_commit_index(group->raft);
    notice->leader = raft_leader(group->raft);
    notice->configuration = *raft_configuration(group->raft);
    return notice;
}

static void announce(node_t *node, group_t *group) {
    const GPtrArray *members = membership_all(node->membership);
    for (guint i = 0; i < members->len; i++) {
        const member_t *member = g_ptr_array_index(members, i);
        if (member->state != MEMBER_DEAD && member->instance != node->instance)
            node_send(node, member->instance, PEER_NOTICE_PARTITION, notice_new(group));
    }
    partition_notice_t *own = notice_new(group);
    node->partitions->routes[group->partition] = *own;
    g_free(own);
    group->announced_term = raft_term(group->raft);
    group->announced_voters = raft_configuration(group->raft)->voter_count;
}

static bool names_member(const partition_notice_t *notice, instance_id_t instance) {
    return raft_is_voter(&notice->configuration, instance) ||
           raft_is_learner(&notice->configuration, instance);
}

/**
 * Drops the copy of a group that has gone on without this node. A forgotten vote or entry must
 * not count any more, so this needs proof: the leader's own answer to a question asked now. An
 * older notice may be about a time before this node was added again, when it already holds
 * entries that the leader counts on. The answer and whatever the leader sends after adding this
 * node arrive in order, and an answer of an older term than this copy has seen proves nothing.
 */
static void leave_group(node_t *node, const partition_notice_t *notice) {
    group_t *group = node->partitions->groups[notice->partition];
    if (group == NULL || names_member(notice, node->instance) || group->flushing ||
        notice->term < raft_term(group->raft))
        return;
    if (!notice->answers) {
        partition_notice_t *question = g_new0(partition_notice_t, 1);
        question->partition = notice->partition;
        node_send(node, notice->leader, PEER_REQUEST_NOTICE, question);
        return;
    }
    calls_leadership_lost(node, group);
    group_free(group);
    node->partitions->groups[notice->partition] = NULL;
}

void partitions_answer_notice(node_t *node, instance_id_t asker, uint32_t partition) {
    group_t *group =
        partition < node->partitions->count ? partitions_led_group(node, partition) : NULL;
    if (group == NULL || !raft_configuration_committed(group->raft))
        return;
    partition_notice_t *notice = notice_new(group);
    notice->answers = true;
    node_send(node, asker, PEER_NOTICE_PARTITION, notice);
}

void partitions_receive_notice(node_t *node, const partition_notice_t *notice) {
    if (notice->partition >= node->partitions->count)
        return;
    partition_notice_t *route = &node->partitions->routes[notice->partition];
    bool newer =
        notice->term > route->term ||
        (notice->term == route->term && notice->configuration_index >= route->configuration_index);
    if (!newer)
        return;
    *route = *notice;
    leave_group(node, notice);
}

/* --- Acting on what raft did -------------------------------------------------------------- */

static void send_messages(node_t *node, group_t *group) {
    for (guint i = 0; i < group->messages->len; i++) {
        raft_message_t *message = g_ptr_array_index(group->messages, i);
        node_send(node, message->to, PEER_RAFT, message);
    }
    g_ptr_array_set_size(group->messages, 0);
}

static void settle_proposal(node_t *node, group_t *group, const applied_t *applied) {
    const proposal_t *found = g_hash_table_lookup(group->proposals, &applied->index);
    if (found == NULL)
        return;
    proposal_t proposal = *found;
    g_hash_table_remove(group->proposals, &applied->index);
    bool own = proposal.term == applied->term;
    if (proposal.done != NULL)
        proposal.done(node, group, applied->command,
                      own ? applied->error : RUDDERWAY_ERROR_NOT_LEADER, proposal.data);
}

static void handle_applied(node_t *node, group_t *group) {
    applied_t *applied;
    while ((applied = g_queue_pop_head(group->applied)) != NULL) {
        calls_applied(node, group, applied->command, applied->error);
        settle_proposal(node, group, applied);
        applied_free(applied);
    }
}

static void fail_proposals(node_t *node, group_t *group) {
    GHashTable *lost = group->proposals;
    group->proposals = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, lost);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const proposal_t *proposal = value;
        if (proposal->done != NULL)
            proposal->done(node, group, NULL, RUDDERWAY_ERROR_NOT_LEADER, proposal->data);
    }
    g_hash_table_unref(lost);
}

static void check_barriers(node_t *node, group_t *group) {
    bool leads = raft_role(group->raft) == RAFT_LEADER;
    for (guint i = 0; i < group->barriers->len;) {
        barrier_t barrier = g_array_index(group->barriers, barrier_t, i);
        if (leads && !raft_barrier_passed(group->raft, barrier.ticket)) {
            i++;
            continue;
        }
        g_array_remove_index(group->barriers, i);
        barrier.done(node, group, leads ? RUDDERWAY_ERROR_NONE : RUDDERWAY_ERROR_NOT_LEADER,
                     barrier.data);
    }
}

static void check_role(node_t *node, group_t *group) {
    bool leads = raft_leader_established(group->raft);
    bool leading_role = raft_role(group->raft) == RAFT_LEADER;
    if (leads && !group->led) {
        group->led = true;
        group->led_since_ms = node->now_ms;
        event_log(PARTITION_LEADER, group->partition, raft_term(group->raft));
        calls_leadership_gained(node, group);
    }
    if (!leading_role && group->led) {
        group->led = false;
        event_log(PARTITION_FOLLOWER, group->partition, raft_term(group->raft));
        fail_proposals(node, group);
        calls_leadership_lost(node, group);
    }
    bool changed = group->announced_term != raft_term(group->raft) ||
                   group->announced_voters != raft_configuration(group->raft)->voter_count;
    /* A member drops its copy on a notice without it, so only committed changes are told. */
    if (leads && changed && raft_configuration_committed(group->raft))
        announce(node, group);
}

/** Acts on everything raft produced; handlers may propose again, so repeat until quiet. */
static void flush_group(node_t *node, group_t *group) {
    if (group->flushing)
        return;
    group->flushing = true;
    do {
        send_messages(node, group);
        handle_applied(node, group);
        check_role(node, group);
        check_barriers(node, group);
    } while (group->messages->len > 0 || group->applied->length > 0);
    group->flushing = false;
}

void partitions_receive(node_t *node, const raft_message_t *message) {
    if (message->partition >= node->partitions->count || message->to != node->instance)
        return;
    group_t *group = node->partitions->groups[message->partition];
    bool joins = message->kind == RAFT_REQUEST_APPEND || message->kind == RAFT_REQUEST_SNAPSHOT;
    if (group == NULL && !joins)
        return; /* A copy without a log must not vote. */
    if (group == NULL)
        group = create_group(node, message->partition);
    raft_receive(group->raft, message, node->now_ms, group->messages);
    flush_group(node, group);
}

/* --- Repair ------------------------------------------------------------------------------- */

static void apply_change(node_t *node, group_t *group, const placement_change_t *change) {
    raft_t *raft = group->raft;
    switch (change->action) {
    case PLACEMENT_KEEP:
        return;
    case PLACEMENT_ADD_LEARNER:
        raft_add_learner(raft, change->member, node->now_ms, group->messages);
        return;
    case PLACEMENT_PROMOTE:
        if (raft_promote(raft, change->member, node->now_ms, group->messages))
            event_log(PARTITION_VOTER_ADDED, group->partition, change->member);
        return;
    case PLACEMENT_REMOVE:
        if (raft_remove(raft, change->member, node->now_ms, group->messages))
            event_log(PARTITION_VOTER_REMOVED, group->partition, change->member);
        return;
    }
}

static bool transfer_to_any(node_t *node, group_t *group) {
    const raft_configuration_t *configuration = raft_configuration(group->raft);
    for (uint32_t i = 0; i < configuration->voter_count; i++) {
        const member_t *member = membership_find(node->membership, configuration->voters[i]);
        if (member == NULL || member->instance == node->instance || member->leaving ||
            member->state != MEMBER_ALIVE)
            continue;
        if (raft_transfer(group->raft, member->instance, group->messages))
            return true;
    }
    return false;
}

static void repair(node_t *node, group_t *group) {
    if (!group->led || node->now_ms < group->next_repair_ms ||
        node->now_ms < group->led_since_ms + (node->stopping ? 0 : STARTUP_GRACE_MS))
        return;
    group->next_repair_ms = node->now_ms + REPAIR_INTERVAL_MS;
    const raft_configuration_t *configuration = raft_configuration(group->raft);
    placement_change_t change = placement_next_change(
        group->partition, membership_all(node->membership), configuration, node->settings->voters);
    if (change.action == PLACEMENT_REMOVE && change.member == node->instance) {
        transfer_to_any(node, group);
        return;
    }
    apply_change(node, group, &change);
}

void partitions_tick(node_t *node) {
    for (uint32_t i = 0; i < node->partitions->count; i++) {
        group_t *group = node->partitions->groups[i];
        if (group == NULL)
            continue;
        raft_tick(group->raft, node->now_ms, group->messages);
        repair(node, group);
        flush_group(node, group);
    }
}

void partitions_member_changed(node_t *node, const member_t *member) {
    for (uint32_t i = 0; i < node->partitions->count; i++) {
        group_t *group = node->partitions->groups[i];
        if (group == NULL)
            continue;
        if (member->state == MEMBER_DEAD && raft_leader(group->raft) == member->instance)
            raft_leader_lost(group->raft, node->now_ms);
        if (member->state == MEMBER_ALIVE && group->led)
            node_send(node, member->instance, PEER_NOTICE_PARTITION, notice_new(group));
        if (member->state == MEMBER_DEAD && group->led)
            calls_runner_lost(node, group);
    }
}

/* --- Founding ----------------------------------------------------------------------------- */

void partitions_bootstrap(node_t *node, const GPtrArray *members) {
    for (uint32_t i = 0; i < node->partitions->count; i++) {
        raft_configuration_t configuration = {0};
        configuration.voter_count =
            placement_choose(i, members, node->settings->voters, configuration.voters);
        if (!raft_is_voter(&configuration, node->instance))
            continue;
        group_t *group = node->partitions->groups[i];
        if (group == NULL)
            group = create_group(node, i);
        raft_bootstrap(group->raft, &configuration);
        raft_leader_lost(group->raft, node->now_ms);
    }
}

bool partitions_any_leader(const node_t *node) {
    for (uint32_t i = 0; i < node->partitions->count; i++)
        if (node->partitions->routes[i].leader != 0)
            return true;
    return false;
}

bool partitions_all_led(const node_t *node) {
    for (uint32_t i = 0; i < node->partitions->count; i++)
        if (partitions_leader(node, i) == 0)
            return false;
    return true;
}

/* --- Finding ------------------------------------------------------------------------------ */

uint32_t partitions_of_program(const node_t *node, const char *program) {
    return placement_partition(program, node->partitions->count);
}

group_t *partitions_led_group(const node_t *node, uint32_t partition) {
    group_t *group = node->partitions->groups[partition];
    return group != NULL && group->led && raft_leader_established(group->raft) ? group : NULL;
}

const raft_configuration_t *partitions_led_configuration(const node_t *node, uint32_t partition) {
    const group_t *group = partitions_led_group(node, partition);
    return group != NULL ? raft_configuration(group->raft) : NULL;
}

instance_id_t partitions_leader(const node_t *node, uint32_t partition) {
    const group_t *group = node->partitions->groups[partition];
    const partition_notice_t *route = &node->partitions->routes[partition];
    if (group != NULL && group->led)
        return node->instance;
    if (group != NULL && raft_leader(group->raft) != 0 && raft_term(group->raft) >= route->term)
        return raft_leader(group->raft);
    const member_t *leader = membership_find(node->membership, route->leader);
    return leader != NULL && leader->state != MEMBER_DEAD ? route->leader : 0;
}

instance_id_t partitions_any_voter(const node_t *node, uint32_t partition) {
    const raft_configuration_t *configuration = &node->partitions->routes[partition].configuration;
    instance_id_t fallback[RAFT_MEMBERS_MAXIMUM];
    uint32_t offset = (uint32_t)(node->now_ms % RAFT_MEMBERS_MAXIMUM);
    for (uint32_t i = 0; i < configuration->voter_count; i++) {
        instance_id_t voter = configuration->voters[(i + offset) % configuration->voter_count];
        const member_t *member = membership_find(node->membership, voter);
        if (member != NULL && member->state != MEMBER_DEAD && voter != node->instance)
            return voter;
    }
    uint32_t count = placement_choose(partition, membership_all(node->membership),
                                      node->settings->voters, fallback);
    return count > 0 ? fallback[offset % count] : 0;
}

/* --- Proposing and reading ---------------------------------------------------------------- */

void partitions_propose(node_t *node, group_t *group, command_t *command, proposal_done_t done,
                        void *data) {
    GBytes *bytes = command_encode(command);
    command_free(command);
    uint64_t index = raft_propose(group->raft, bytes, node->now_ms, group->messages);
    g_bytes_unref(bytes);
    if (index == 0) {
        if (done != NULL)
            done(node, group, NULL, RUDDERWAY_ERROR_NOT_LEADER, data);
        return;
    }
    uint64_t *key = g_new(uint64_t, 1);
    proposal_t *proposal = g_new0(proposal_t, 1);
    *key = index;
    *proposal = (proposal_t){.term = raft_term(group->raft), .done = done, .data = data};
    g_hash_table_replace(group->proposals, key, proposal);
    flush_group(node, group);
}

void partitions_barrier(node_t *node, group_t *group, barrier_done_t done, void *data) {
    barrier_t barrier = {.done = done, .data = data};
    barrier.ticket = raft_barrier(group->raft, node->now_ms, group->messages);
    if (barrier.ticket == 0) {
        done(node, group, RUDDERWAY_ERROR_NOT_LEADER, data);
        return;
    }
    g_array_append_val(group->barriers, barrier);
    flush_group(node, group);
}

/* --- The whole ---------------------------------------------------------------------------- */

void partitions_each_led(node_t *node, void (*visit)(node_t *node, group_t *group)) {
    for (uint32_t i = 0; i < node->partitions->count; i++) {
        group_t *group = partitions_led_group(node, i);
        if (group != NULL)
            visit(node, group);
    }
}

uint64_t partitions_bytes(const node_t *node) {
    uint64_t bytes = 0;
    for (uint32_t i = 0; i < node->partitions->count; i++)
        if (node->partitions->groups[i] != NULL)
            bytes += program_store_bytes(node->partitions->groups[i]->store);
    return bytes;
}

unsigned partitions_led_count(const node_t *node) {
    unsigned count = 0;
    for (uint32_t i = 0; i < node->partitions->count; i++)
        if (partitions_led_group(node, i) != NULL)
            count++;
    return count;
}

unsigned partitions_member_count(const node_t *node) {
    unsigned count = 0;
    for (uint32_t i = 0; i < node->partitions->count; i++)
        if (node->partitions->groups[i] != NULL)
            count++;
    return count;
}

bool partitions_hand_off(node_t *node) {
    bool done = true;
    for (uint32_t i = 0; i < node->partitions->count; i++) {
        group_t *group = node->partitions->groups[i];
        if (group == NULL)
            continue;
        bool votes = raft_is_voter(raft_configuration(group->raft), node->instance);
        if (raft_role(group->raft) == RAFT_LEADER && votes)
            transfer_to_any(node, group);
        done = done && !votes && raft_role(group->raft) != RAFT_LEADER;
        flush_group(node, group);
    }
    return done;
}

json_t *partitions_to_json(const node_t *node) {
    json_t *list = json_array();
    for (uint32_t i = 0; i < node->partitions->count; i++) {
        const group_t *group = node->partitions->groups[i];
        if (group == NULL)
            continue;
        const raft_configuration_t *configuration = raft_configuration(group->raft);
        json_array_append_new(
            list, json_pack("{s:i, s:I, s:b, s:i, s:i, s:I, s:i}", "partition", (int)i, "term",
                            (json_int_t)raft_term(group->raft), "leads", group->led, "voters",
                            (int)configuration->voter_count, "learners",
                            (int)configuration->learner_count, "commit_index",
                            (json_int_t)raft_commit_index(group->raft), "programs",
                            (int)g_hash_table_size(program_store_all(group->store))));
    }
    return list;
}
