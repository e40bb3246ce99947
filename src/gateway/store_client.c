#include "gateway/store_client.h"

#include "cluster/service_directory.h"
#include "common/event.h"
#include "core/budget/budget_decision.h"
#include "gateway/store_link.h"

#include <string.h>

enum {
    RECONNECT_MS = 150,
    UNSURE_AGAIN_MS = 150, /**< A member that was unsure is asked again after this. */
    CHAIN_WIDEN_MS = 120,  /**< Without an answer from the nearest member, all are asked. */
    BACKLOG_MAXIMUM = 2000,
    SILENT_MS = 400,   /**< Members that answer nothing for so long may be out of reach. */
    SILENT_ROUNDS = 2, /**< Looks in a row, since a process that was frozen hears late itself. */
};

typedef struct {
    store_client_t *client;
    store_link_t *link;
    GPtrArray *backlog; /**< Settlements for a member that is away; of GBytes. */
} member_t;

struct store_client {
    uv_loop_t *loop;
    char *zone;
    char *own_address;
    const store_client_handler_t *handler;
    void *owner;
    store_group_t *group;
    GPtrArray *members;     /**< Of member_t, those of the zone first. */
    GHashTable *operations; /**< Number to store_operation_t. */
    uint64_t last_number;
    uv_timer_t reconnect;
    unsigned links_opened;
    bool silent; /**< Too few members answer, although they are connected. */
    unsigned silent_rounds;
};

/** What one member said of an operation. */
typedef enum { SAID_NOTHING, SAID_YES, SAID_NO, SAID_UNSURE } said_t;

struct store_operation {
    store_client_t *client;
    uint64_t number;
    message_t request;
    uv_timer_t timer;
    uint64_t begun_at;
    uint64_t generation; /**< In which the answers were given. */
    said_t *verdicts;    /**< By member. */
    said_t *durables;
    uint64_t budget;             /**< Of a reserve: the program's, in tokens. */
    budget_summary_t *summaries; /**< By member, of those that took the reserve. */
    bool reading_charges;        /**< The summaries differ: the charges are being read. */
    said_t *charges_read;        /**< By member. */
    budget_table_t joined;       /**< The charges that were read. */
    uint64_t place;              /**< Where the program last ran; 0: unknown. */
    bool granted;
    bool widened; /**< A chain: all members are asked, not just the nearest. */
    const store_operation_handler_t *handler;
    void *owner;
};

static void end_operation(store_operation_t *operation);
static void evaluate(store_operation_t *operation);

/* Connections. */

static unsigned member_index(const store_client_t *client, const member_t *member) {
    guint index = 0;
    g_ptr_array_find(client->members, member, &index);
    return index;
}

static void send_operation(store_operation_t *operation, member_t *member) {
    if (!member->link->open)
        return;
    operation->request.generation = operation->generation;
    store_link_send(member->link, message_encode(&operation->request));
}

static bool wants_member(const store_operation_t *operation, unsigned index) {
    if (operation->request.type == REQUEST_CHAIN)
        return (operation->widened || index == 0) && operation->verdicts[index] != SAID_NO;
    return operation->durables[index] != SAID_YES;
}

static void send_group(const store_client_t *client, const member_t *member) {
    message_t message;
    message_init(&message, MESSAGE_GROUP);
    message.generation = client->group->generation;
    message.group = store_group_encode(client->group);
    store_link_send(member->link, message_encode(&message));
    message_clear(&message);
}

static void tell_own_address(const store_client_t *client, const member_t *member) {
    message_t message;
    message_init(&message, MESSAGE_GATEWAY);
    g_ptr_array_add(message.ids, g_strdup(client->own_address));
    g_ptr_array_add(message.ids, g_strdup(client->zone));
    store_link_send(member->link, message_encode(&message));
    message_clear(&message);
}

static void on_link_open(void *owner, store_link_t *link) {
    member_t *member = owner;
    store_client_t *client = member->client;
    (void)link;
    send_group(client, member);
    tell_own_address(client, member);
    client->links_opened++;
    for (guint i = 0; i < member->backlog->len; i++)
        store_link_send(member->link, g_bytes_ref(g_ptr_array_index(member->backlog, i)));
    g_ptr_array_set_size(member->backlog, 0);
    unsigned index = member_index(client, member);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, client->operations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        store_operation_t *operation = value;
        if (operation->generation == client->group->generation && wants_member(operation, index))
            send_operation(operation, member);
    }
}

static void on_frame(void *owner, store_link_t *link, const uint8_t *data, size_t length);

static bool find_relay(void *owner, struct sockaddr_in *address) {
    const store_client_t *client = ((const member_t *)owner)->client;
    return client->handler->find_relay != NULL &&
           client->handler->find_relay(client->owner, address);
}

static const store_link_handler_t link_handler = {on_link_open, on_frame, find_relay};

static void connect_members(store_client_t *client) {
    for (guint i = 0; i < client->members->len; i++)
        store_link_upkeep(((const member_t *)g_ptr_array_index(client->members, i))->link);
}

/* Silence: connections to members behind a cut stay open for seconds. */

static unsigned count_heard(const store_client_t *client, uint64_t since) {
    unsigned heard = 0;
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = g_ptr_array_index(client->members, i);
        heard += member->link->open && member->link->heard_at >= since;
    }
    return heard;
}

static bool any_operation_waits(const store_client_t *client) {
    uint64_t now = uv_now(client->loop);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, client->operations);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (now >= ((const store_operation_t *)value)->begun_at + SILENT_MS)
            return true;
    return false;
}

/** Ends connections on which nothing was heard; other gateways may reach those members. */
static void drop_silent_links(const store_client_t *client, uint64_t since) {
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = g_ptr_array_index(client->members, i);
        if (member->link->open && member->link->heard_at < since)
            store_link_drop(member->link);
    }
}

static void set_silent(store_client_t *client, bool silent) {
    if (client->silent == silent)
        return;
    client->silent = silent;
    event_log(GATEWAY_STORES_SILENT, silent ? "yes" : "no");
}

static void ask_members(const store_client_t *client) {
    message_t request;
    message_init(&request, REQUEST_STATUS);
    GBytes *bytes = message_encode(&request);
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = g_ptr_array_index(client->members, i);
        if (member->link->open)
            store_link_send(member->link, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
    message_clear(&request);
}

/** While an operation waits, a quorum must be heard of; while none is, it is asked. */
static void look_for_silence(store_client_t *client) {
    uint64_t now = uv_now(client->loop);
    uint64_t since = now > SILENT_MS ? now - SILENT_MS : 0;
    bool heard = count_heard(client, since) >= store_write_quorum(client->members->len);
    if (heard || (!client->silent && !any_operation_waits(client))) {
        client->silent_rounds = 0;
        set_silent(client, false);
        return;
    }
    client->silent_rounds++;
    if (client->silent_rounds >= SILENT_ROUNDS) {
        set_silent(client, true);
        drop_silent_links(client, since);
    }
    ask_members(client);
}

static void on_reconnect(uv_timer_t *timer) {
    connect_members(timer->data);
    look_for_silence(timer->data);
}

static void free_member(gpointer data) {
    member_t *member = data;
    store_link_free(member->link);
    g_ptr_array_free(member->backlog, TRUE);
    g_free(member);
}

static member_t *new_member(store_client_t *client, const store_member_t *record) {
    member_t *member = g_new0(member_t, 1);
    member->client = client;
    member->backlog = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    member->link = store_link_new(client->loop, record->name, record->zone, record->address,
                                  &link_handler, member);
    return member;
}

store_client_t *store_client_new(uv_loop_t *loop, const char *zone, const char *own_address,
                                 const store_client_handler_t *handler, void *owner) {
    store_client_t *client = g_new0(store_client_t, 1);
    client->loop = loop;
    client->zone = g_strdup(zone);
    client->own_address = g_strdup(own_address);
    client->handler = handler;
    client->owner = owner;
    client->group = store_group_new();
    client->members = g_ptr_array_new_with_free_func(free_member);
    client->operations = g_hash_table_new(g_int64_hash, g_int64_equal);
    uv_timer_init(loop, &client->reconnect);
    client->reconnect.data = client;
    return client;
}

/** True if a write quorum of links is open, by whichever way or only direct ones. */
static bool has_quorum(const store_client_t *client, bool direct_only) {
    unsigned open = 0;
    for (guint i = 0; i < client->members->len; i++) {
        const store_link_t *link = ((const member_t *)g_ptr_array_index(client->members, i))->link;
        open += link->open && !(direct_only && link->relayed);
    }
    return client->members->len > 0 && open >= store_write_quorum(client->members->len);
}

bool store_client_connected(const store_client_t *client) {
    return has_quorum(client, false) && !client->silent;
}

bool store_client_connected_directly(const store_client_t *client) {
    return has_quorum(client, true) && !client->silent;
}

bool store_client_reaches(const store_client_t *client, const char *name,
                          struct sockaddr_in *address) {
    for (guint i = 0; i < client->members->len; i++) {
        const store_link_t *link = ((const member_t *)g_ptr_array_index(client->members, i))->link;
        if (strcmp(link->name, name) != 0)
            continue;
        *address = link->address;
        return link->open && !link->relayed;
    }
    return false;
}

/** Takes over the connection of a member that stays, with what waits for it. */
static member_t *take_member(store_client_t *client, GPtrArray *old, const store_member_t *record) {
    struct sockaddr_in address;
    parse_socket_address(record->address, &address);
    for (guint i = 0; i < old->len; i++) {
        member_t *member = g_ptr_array_index(old, i);
        const store_link_t *link = member->link;
        if (strcmp(link->name, record->name) == 0 && link->address.sin_port == address.sin_port &&
            link->address.sin_addr.s_addr == address.sin_addr.s_addr)
            return g_ptr_array_steal_index(old, i);
    }
    return new_member(client, record);
}

static void free_answers(store_operation_t *operation) {
    if (operation->verdicts == NULL)
        return;
    g_free(operation->verdicts);
    g_free(operation->durables);
    g_free(operation->charges_read);
    g_free(operation->summaries);
    budget_table_clear(&operation->joined);
}

/** Begins an operation again in the group's present generation. */
static void restart_operation(store_operation_t *operation) {
    store_client_t *client = operation->client;
    unsigned count = client->members->len;
    operation->generation = client->group->generation;
    free_answers(operation);
    /* One more, so that there is something to point to without any member. */
    operation->verdicts = (said_t *)g_new0(said_t, count + 1);
    operation->durables = (said_t *)g_new0(said_t, count + 1);
    operation->charges_read = (said_t *)g_new0(said_t, count + 1);
    operation->summaries = g_new0(budget_summary_t, count + 1);
    operation->reading_charges = false;
    budget_table_init(&operation->joined);
    for (unsigned i = 0; i < count; i++)
        if (wants_member(operation, i))
            send_operation(operation, g_ptr_array_index(client->members, i));
}

void store_client_set_group(store_client_t *client, const store_group_t *group) {
    if (group->generation <= client->group->generation)
        return;
    event_log(GATEWAY_GROUP, group->generation, group->members->len);
    store_group_free(client->group);
    client->group = store_group_copy(group);
    GPtrArray *old = client->members;
    client->members = g_ptr_array_new_with_free_func(free_member);
    for (guint i = 0; i < group->members->len; i++) {
        const store_member_t *record = &g_array_index(group->members, store_member_t, i);
        member_t *member = take_member(client, old, record);
        bool near = strcmp(record->zone, client->zone) == 0;
        g_ptr_array_insert(client->members, near ? 0 : -1, member);
        if (member->link->open)
            send_group(client, member);
    }
    g_ptr_array_free(old, TRUE);
    connect_members(client);
    uv_timer_start(&client->reconnect, on_reconnect, RECONNECT_MS, RECONNECT_MS);
    GList *operations = g_hash_table_get_values(client->operations);
    for (GList *item = operations; item != NULL; item = item->next)
        restart_operation(item->data);
    g_list_free(operations);
}

/* Counting. */

static unsigned count(const store_operation_t *operation, const said_t *said, said_t wanted) {
    unsigned found = 0;
    for (guint i = 0; i < operation->client->members->len; i++)
        found += said[i] == wanted;
    return found;
}

static void report_verdict(store_operation_t *operation, verdict_t verdict, const GArray *turns) {
    const store_operation_handler_t *handler = operation->handler;
    void *owner = operation->owner;
    if (verdict == VERDICT_YES && operation->request.type == REQUEST_RESERVE)
        operation->granted = true;
    else
        end_operation(operation);
    handler->on_verdict(owner, verdict, turns);
}

static void report_durable(store_operation_t *operation, bool durable) {
    const store_operation_handler_t *handler = operation->handler;
    void *owner = operation->owner;
    end_operation(operation);
    handler->on_durable(owner, durable);
}

/** Asks those that took the reserve for the program's charges. */
static void begin_reading_charges(store_operation_t *operation) {
    store_client_t *client = operation->client;
    operation->reading_charges = true;
    message_t request;
    message_init(&request, REQUEST_CHARGES);
    request.number = operation->number;
    request.generation = operation->generation;
    request.charge.program = g_strdup(operation->request.charge.program);
    GBytes *bytes = message_encode(&request);
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = g_ptr_array_index(client->members, i);
        if (operation->verdicts[i] == SAID_YES && member->link->open)
            store_link_send(member->link, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
    message_clear(&request);
}

static budget_decision_t decide_reserve(store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    unsigned quorum = store_write_quorum(members);
    if (count(operation, operation->charges_read, SAID_YES) >= quorum) {
        uint64_t charged =
            budget_table_charged(&operation->joined, operation->request.charge.program);
        return charged <= operation->budget ? BUDGET_GRANTED : BUDGET_REFUSED;
    }
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(budget_summary_t));
    for (unsigned i = 0; i < members; i++)
        if (operation->verdicts[i] == SAID_YES)
            g_array_append_val(summaries, operation->summaries[i]);
    budget_decision_t decision = budget_decide((const budget_summary_t *)summaries->data,
                                               summaries->len, quorum, operation->budget);
    bool enough = summaries->len >= quorum;
    g_array_free(summaries, TRUE);
    if (decision == BUDGET_UNDECIDED && enough && !operation->reading_charges)
        begin_reading_charges(operation);
    return decision;
}

static void evaluate_reserve(store_operation_t *operation) {
    store_client_t *client = operation->client;
    uint64_t number = operation->number;
    if (!operation->granted) {
        budget_decision_t decision = decide_reserve(operation);
        if (decision == BUDGET_UNDECIDED)
            return;
        report_verdict(operation, decision == BUDGET_GRANTED ? VERDICT_YES : VERDICT_NO, NULL);
        /* The owner may have ended it. */
        operation = g_hash_table_lookup(client->operations, &number);
    }
    if (operation == NULL || !operation->granted)
        return;
    unsigned quorum = store_write_quorum(client->members->len);
    if (count(operation, operation->durables, SAID_YES) >= quorum)
        report_durable(operation, true);
}

static void evaluate_turn(store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    unsigned quorum = store_write_quorum(members);
    if (count(operation, operation->durables, SAID_YES) >= quorum)
        report_durable(operation, true);
    else if (count(operation, operation->durables, SAID_NO) > members - quorum)
        report_durable(operation, false);
}

static void widen_chain(store_operation_t *operation) {
    if (operation->widened)
        return;
    operation->widened = true;
    for (guint i = 1; i < operation->client->members->len; i++)
        send_operation(operation, g_ptr_array_index(operation->client->members, i));
}

static void evaluate_chain(store_operation_t *operation) {
    unsigned members = operation->client->members->len;
    if (count(operation, operation->verdicts, SAID_NO) >= store_read_quorum(members))
        report_verdict(operation, VERDICT_NO, NULL);
    else if (operation->verdicts[0] != SAID_NOTHING)
        widen_chain(operation);
}

static void evaluate(store_operation_t *operation) {
    if (operation->client->members->len == 0)
        return;
    if (operation->request.type == REQUEST_RESERVE)
        evaluate_reserve(operation);
    else if (operation->request.type == REQUEST_PUT_TURN)
        evaluate_turn(operation);
    else
        evaluate_chain(operation);
}

void store_client_take_group(store_client_t *client, const message_t *message) {
    gsize length;
    const void *data = g_bytes_get_data(message->group, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group != NULL)
        store_client_set_group(client, group);
    store_group_free(group);
}

static void take_charges(store_operation_t *operation, unsigned index, const message_t *message) {
    if (operation->verdicts[index] != SAID_YES)
        return;
    for (guint i = 0; i < message->charges->len; i++)
        budget_table_merge(&operation->joined, &g_array_index(message->charges, budget_charge_t, i),
                           0);
    operation->charges_read[index] = SAID_YES;
}

static void take_answer(member_t *member, const message_t *message) {
    store_client_t *client = member->client;
    store_operation_t *operation = g_hash_table_lookup(client->operations, &message->number);
    if (operation == NULL)
        return;
    /* An answer given in an earlier generation counts for nothing in this one. */
    if (message->type != RESPONSE_OLD_GENERATION && message->generation != operation->generation)
        return;
    unsigned index = member_index(client, member);
    static const said_t said_by_verdict[VERDICT_COUNT] = {SAID_YES, SAID_NO, SAID_UNSURE};
    said_t said = said_by_verdict[message->verdict];
    switch (message->type) {
    case RESPONSE_CHAIN:
        if (said == SAID_YES) {
            report_verdict(operation, VERDICT_YES, message->turns);
            return;
        }
        operation->verdicts[index] = said;
        break;
    case RESPONSE_RESERVE:
        operation->verdicts[index] = said;
        operation->summaries[index] = message->summary;
        if (message->place != 0)
            operation->place = message->place;
        break;
    case RESPONSE_CHARGES:
        take_charges(operation, index, message);
        break;
    case RESPONSE_DURABLE:
        operation->durables[index] = said;
        break;
    case RESPONSE_OLD_GENERATION:
        operation->verdicts[index] = SAID_UNSURE;
        break;
    default:
        return;
    }
    evaluate(operation);
}

static void on_frame(void *owner, store_link_t *link, const uint8_t *data, size_t length) {
    member_t *member = owner;
    message_t message;
    (void)link;
    bool valid = message_decode(&message, data, length);
    if (valid && message.type == MESSAGE_GROUP)
        store_client_take_group(member->client, &message);
    else if (valid && message.type == MESSAGE_GATEWAYS)
        member->client->handler->on_gateways(member->client->owner, message.ids);
    else if (valid && message.type == MESSAGE_DIRECTORY && message.directory != NULL)
        member->client->handler->on_directory(member->client->owner, message.directory);
    else if (valid)
        take_answer(member, &message);
    message_clear(&message);
}

/* Operations. */

static void free_operation(uv_handle_t *handle) {
    store_operation_t *operation = handle->data;
    message_clear(&operation->request);
    free_answers(operation);
    g_free(operation);
}

static void end_operation(store_operation_t *operation) {
    g_hash_table_remove(operation->client->operations, &operation->number);
    if (!uv_is_closing((uv_handle_t *)&operation->timer))
        uv_close((uv_handle_t *)&operation->timer, free_operation);
}

void store_operation_cancel(store_operation_t *operation) {
    end_operation(operation);
}

static void give_up(store_operation_t *operation) {
    bool verdict_due = operation->request.type != REQUEST_PUT_TURN && !operation->granted;
    if (verdict_due)
        report_verdict(operation, VERDICT_UNSURE, NULL);
    else
        report_durable(operation, false);
}

static void on_operation_timer(uv_timer_t *timer) {
    store_operation_t *operation = timer->data;
    store_client_t *client = operation->client;
    if (uv_now(client->loop) >= operation->begun_at + GATEWAY_WRITE_MS) {
        give_up(operation);
        return;
    }
    if (operation->request.type == REQUEST_CHAIN)
        widen_chain(operation);
    for (guint i = 0; i < client->members->len; i++) {
        if (operation->verdicts[i] != SAID_UNSURE || !wants_member(operation, i))
            continue;
        operation->verdicts[i] = SAID_NOTHING;
        send_operation(operation, g_ptr_array_index(client->members, i));
    }
}

static store_operation_t *begin_operation(store_client_t *client, message_type_t type,
                                          const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = g_new0(store_operation_t, 1);
    operation->client = client;
    operation->number = ++client->last_number;
    operation->begun_at = uv_now(client->loop);
    operation->handler = handler;
    operation->owner = owner;
    message_init(&operation->request, type);
    operation->request.number = operation->number;
    g_hash_table_insert(client->operations, &operation->number, operation);
    uv_timer_init(client->loop, &operation->timer);
    operation->timer.data = operation;
    uint64_t first = type == REQUEST_CHAIN ? CHAIN_WIDEN_MS : UNSURE_AGAIN_MS;
    uv_timer_start(&operation->timer, on_operation_timer, first, UNSURE_AGAIN_MS);
    return operation;
}

store_operation_t *store_client_reserve(store_client_t *client, const char *program,
                                        const char *call, uint64_t most, uint64_t budget,
                                        const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = begin_operation(client, REQUEST_RESERVE, handler, owner);
    operation->request.charge.program = g_strdup(program);
    operation->request.charge.call = g_strdup(call);
    operation->request.charge.most = most;
    operation->budget = budget;
    restart_operation(operation);
    return operation;
}

uint64_t store_operation_place(const store_operation_t *operation) {
    return operation->place;
}

/** Sends @p message to all connected members, without any answer; clears it. */
static void tell_members(const store_client_t *client, message_t *message) {
    GBytes *bytes = message_encode(message);
    for (guint i = 0; i < client->members->len; i++)
        store_link_send(((const member_t *)g_ptr_array_index(client->members, i))->link,
                        g_bytes_ref(bytes));
    g_bytes_unref(bytes);
    message_clear(message);
}

void store_client_tell_place(store_client_t *client, const char *program, uint64_t place) {
    message_t message;
    message_init(&message, MESSAGE_PLACE);
    message.charge.program = g_strdup(program);
    message.place = place;
    tell_members(client, &message);
}

void store_client_tell_directory(const store_client_t *client, uint64_t revision,
                                 GBytes *snapshot) {
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY);
    message.revision = revision;
    message.directory = g_bytes_ref(snapshot);
    tell_members(client, &message);
}

bool store_client_ask_directory(const store_client_t *client) {
    for (guint i = 0; i < client->members->len; i++) {
        const store_link_t *link = ((const member_t *)g_ptr_array_index(client->members, i))->link;
        if (!link->open)
            continue;
        message_t message;
        message_init(&message, REQUEST_DIRECTORY);
        store_link_send(link, message_encode(&message));
        message_clear(&message);
        return true;
    }
    return false;
}

unsigned store_client_links_opened(const store_client_t *client) {
    return client->links_opened;
}

store_operation_t *store_client_put_turn(store_client_t *client, const turn_t *turn,
                                         const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = begin_operation(client, REQUEST_PUT_TURN, handler, owner);
    message_add_turn(&operation->request, turn);
    restart_operation(operation);
    return operation;
}

store_operation_t *store_client_read_chain(store_client_t *client, const char *turn_id,
                                           const store_operation_handler_t *handler, void *owner) {
    store_operation_t *operation = begin_operation(client, REQUEST_CHAIN, handler, owner);
    operation->request.turn_id = g_strdup(turn_id);
    restart_operation(operation);
    return operation;
}

void store_client_settle(store_client_t *client, const char *program, const char *call,
                         uint64_t most, uint64_t spent) {
    message_t request;
    message_init(&request, REQUEST_SETTLE);
    request.charge = (budget_charge_t){
        .program = g_strdup(program),
        .call = g_strdup(call),
        .most = most,
        .spent = spent,
        .settled = true,
    };
    GBytes *bytes = message_encode(&request);
    for (guint i = 0; i < client->members->len; i++) {
        member_t *member = g_ptr_array_index(client->members, i);
        if (member->link->open)
            store_link_send(member->link, g_bytes_ref(bytes));
        else if (member->backlog->len < BACKLOG_MAXIMUM)
            g_ptr_array_add(member->backlog, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
    message_clear(&request);
}
