#include "node/bootstrap.h"

#include "common/event.h"
#include "common/json.h"
#include "node/adapters/key_value.h"
#include "node/partitions.h"

#include <string.h>

enum {
    INTERVAL_MS = 200,
    SETTLE_MS = 1000, /**< Members must have been stable this long before founding. */
};

static const char bootstrap_key[] = "cluster/bootstrap";

struct bootstrap {
    bool done;
    bool running;
    int64_t next_ms;
};

/** One look at the key-value service, and perhaps one attempt to found. */
typedef struct {
    bootstrap_t *bootstrap;
    char *proposal; /**< The list to write, or NULL. */
    char *found;    /**< The list that is there, or NULL. */
    bool created;
} look_t;

bootstrap_t *bootstrap_new(void) {
    return g_new0(bootstrap_t, 1);
}

void bootstrap_free(bootstrap_t *bootstrap) {
    g_free(bootstrap);
}

static char *encode_members(const node_t *node) {
    const GPtrArray *members = membership_all(node->membership);
    json_t *list = json_array();
    for (guint i = 0; i < members->len; i++) {
        const member_t *member = g_ptr_array_index(members, i);
        if (member->state != MEMBER_ALIVE || member->leaving)
            continue;
        json_array_append_new(list,
                              json_pack("{s:s, s:s, s:I}", "name", member->name, "zone",
                                        member->zone, "instance", (json_int_t)member->instance));
    }
    json_t *value = json_pack("{s:o}", "members", list);
    char *text = json_to_text(value);
    json_decref(value);
    return text;
}

static GPtrArray *decode_members(const char *text) {
    GPtrArray *members = g_ptr_array_new_with_free_func((GDestroyNotify)member_free);
    json_t *value = json_parse(text, strlen(text), NULL);
    const json_t *list = json_object_get(value, "members");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *entry = json_array_get(list, i);
        const char *name = json_string_value(json_object_get(entry, "name"));
        const char *zone = json_string_value(json_object_get(entry, "zone"));
        if (name == NULL || zone == NULL)
            continue;
        member_t *member = g_new0(member_t, 1);
        member->name = g_strdup(name);
        member->zone = g_strdup(zone);
        member->instance = (instance_id_t)json_integer_value(json_object_get(entry, "instance"));
        g_ptr_array_add(members, member);
    }
    json_decref(value);
    return members;
}

static bool members_are_settled(const node_t *node) {
    const GPtrArray *members = membership_all(node->membership);
    uint32_t alive = 0;
    for (guint i = 0; i < members->len; i++) {
        const member_t *member = g_ptr_array_index(members, i);
        if (member->state == MEMBER_SUSPECT)
            return false;
        if (member->state == MEMBER_ALIVE && node->now_ms - member->changed_ms < SETTLE_MS &&
            member->instance != node->instance)
            return false;
        alive += member->state == MEMBER_ALIVE;
    }
    return alive >= node->settings->bootstrap_members;
}

static void on_look(void *context, void *data) {
    node_t *node = context;
    look_t *look = data;
    look->bootstrap->running = false;
    if (look->found != NULL && !look->bootstrap->done) {
        GPtrArray *members = decode_members(look->found);
        look->bootstrap->done = true;
        event_log(CLUSTER_BOOTSTRAPPED, node->settings->partitions, members->len,
                  look->created ? "true" : "false");
        partitions_bootstrap(node, members);
        g_ptr_array_unref(members);
    }
    g_free(look->proposal);
    g_free(look->found);
    g_free(look);
}

static char *read_list(const node_t *node, key_value_address_t service) {
    uint64_t version;
    json_t *entries = key_value_watch(node->client, service, bootstrap_key, 0, 0, &version, NULL);
    const char *value = json_string_value(json_object_get(json_array_get(entries, 0), "value"));
    char *copy = g_strdup(value);
    json_decref(entries);
    return copy;
}

static void run_look(void *context, void *data) {
    node_t *node = context;
    look_t *look = data;
    const endpoint_t *endpoint = &node->settings->key_value;
    key_value_address_t service = {.address = endpoint->address, .port = endpoint->port};
    look->found = read_list(node, service);
    if (look->found == NULL && look->proposal != NULL) {
        look->created =
            key_value_swap(node->client, service, bootstrap_key, look->proposal, 0, 0, NULL);
        /* Whether or not the answer came, the list that is there now is the one that counts. */
        look->found = read_list(node, service);
    }
    mailbox_post(node->mailbox, on_look, look);
}

void bootstrap_tick(node_t *node, bootstrap_t *bootstrap) {
    bool needless = partitions_any_leader(node) && partitions_member_count(node) > 0;
    if (bootstrap->done || bootstrap->running || needless || node->now_ms < bootstrap->next_ms)
        return;
    bootstrap->next_ms = node->now_ms + INTERVAL_MS;
    bootstrap->running = true;
    look_t *look = g_new0(look_t, 1);
    look->bootstrap = bootstrap;
    if (members_are_settled(node) && !partitions_any_leader(node))
        look->proposal = encode_members(node);
    workers_submit(node->workers, run_look, look);
}
