#include "storesim/virtual_key_value.h"

#include <stdlib.h>
#include <string.h>

enum { LATENCY_LEAST_MS = 3, LATENCY_MOST_MS = 12, REFUSED_AFTER_MS = 1000, RELIST_MS = 300 };
enum { VALUE_BYTES_MAX = 1024 * 1024 };

typedef struct {
    GBytes *value;
    uint64_t revision;
} entry_t;

struct key_value_watch {
    virtual_process_t *process;
    uint64_t incarnation;
    char *prefix;
    const key_value_watch_handler_t *handler;
    void *owner;
    GQueue *untold; /**< Of change_t: written since the last listing, in order. */
    bool behind;    /**< Not listed since it was opened, or since a change could not be told. */
    bool listing;
    bool rests;
};

static GHashTable *entries; /**< Key to entry_t. */
static GPtrArray *watches;
static uint64_t revision;
static bool is_down;
static GHashTable *cut_off; /**< Processes that don't reach the service. */
static virtual_key_value_observer_t observer;
static bool hides_listings;
static unsigned lost_percent;
static bool forget_turns;

static const char own_prefix[] = "own/";
static const char retire_prefix[] = "retire/";
static const char status_prefix[] = "retired/";
static const char spill_prefix[] = "turns/";

static uint64_t latency(void) {
    return virtual_random(LATENCY_LEAST_MS, LATENCY_MOST_MS);
}

void virtual_key_value_start(void) {
    entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    watches = g_ptr_array_new();
    revision = 0;
    is_down = false;
    cut_off = g_hash_table_new(NULL, NULL);
    observer = NULL;
    hides_listings = false;
    lost_percent = 0;
    forget_turns = false;
}

void virtual_key_value_forget_turns(bool on) {
    forget_turns = on;
}

void virtual_key_value_observe(virtual_key_value_observer_t written) {
    observer = written;
}

void virtual_key_value_hide_listings(bool on) {
    hides_listings = on;
}

static bool is_out_of_reach(const virtual_process_t *process) {
    return is_down || g_hash_table_contains(cut_off, process);
}

void virtual_key_value_lose_answers(unsigned percent) {
    lost_percent = percent;
}

/** A change as it was written. */
typedef struct {
    char *key;
    GBytes *value;
    uint64_t revision;
} change_t;

static void free_change(gpointer data) {
    change_t *change = data;
    g_free(change->key);
    g_bytes_unref(change->value);
    g_free(change);
}

static void drop_untold(key_value_watch_t *watch) {
    change_t *change;
    while ((change = g_queue_pop_head(watch->untold)) != NULL)
        free_change(change);
}

static void list(void *data) {
    key_value_watch_t *watch = data;
    if (watch->rests)
        return;
    if (is_out_of_reach(watch->process)) {
        virtual_after(RELIST_MS, watch->process, list, watch);
        return;
    }
    watch->listing = true;
    drop_untold(watch);
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    GArray *items = g_array_new(FALSE, FALSE, sizeof(key_value_item_t));
    g_hash_table_iter_init(&iterator, entries);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const entry_t *entry = value;
        key_value_item_t item = {key, entry->value, entry->revision};
        if (!g_str_has_prefix(key, watch->prefix))
            continue;
        g_hash_table_add(keys, key);
        g_array_append_val(items, item);
    }
    for (guint i = 0; i < items->len; i++)
        watch->handler->on_item(watch->owner, &g_array_index(items, key_value_item_t, i));
    watch->listing = false;
    watch->behind = false;
    watch->handler->on_listed(watch->owner, keys);
    g_array_free(items, TRUE);
    g_hash_table_destroy(keys);
}

typedef struct {
    key_value_watch_t *watch;
    char *key;
} change_event_t;

/** Tells each value of @p key that was written meanwhile but the latest. */
static void tell_earlier_values(key_value_watch_t *watch, const char *key, uint64_t latest) {
    GList *link = watch->untold->head;
    while (link != NULL) {
        GList *next = link->next;
        change_t *change = link->data;
        if (strcmp(change->key, key) == 0) {
            g_queue_delete_link(watch->untold, link);
            key_value_item_t item = {change->key, change->value, change->revision};
            if (change->revision != latest)
                watch->handler->on_item(watch->owner, &item);
            free_change(change);
        }
        link = next;
    }
}

static void tell_change(void *data) {
    change_event_t event = *(change_event_t *)data;
    const entry_t *entry = g_hash_table_lookup(entries, event.key);
    key_value_item_t item = {event.key, NULL, revision};
    if (entry != NULL) {
        item.value = entry->value;
        item.revision = entry->revision;
    }
    if (event.watch->rests)
        return;
    if (is_out_of_reach(event.watch->process)) {
        event.watch->behind = true;
        drop_untold(event.watch);
    } else {
        if (!event.watch->behind)
            tell_earlier_values(event.watch, event.key, item.revision);
        event.watch->handler->on_item(event.watch->owner, &item);
    }
    g_free(event.key);
    g_free(data);
}

static void tell_later(key_value_watch_t *watch, const char *key) {
    change_event_t *event = g_new0(change_event_t, 1);
    event->watch = watch;
    event->key = g_strdup(key);
    virtual_after(latency(), watch->process, tell_change, event);
}

static void apply_write(const char *key, GBytes *value) {
    if (observer != NULL)
        observer(key, value);
    entry_t *entry = g_hash_table_lookup(entries, key);
    if (entry == NULL) {
        entry = g_new0(entry_t, 1);
        g_hash_table_insert(entries, g_strdup(key), entry);
    } else {
        g_bytes_unref(entry->value);
    }
    entry->value = g_bytes_ref(value);
    entry->revision = ++revision;
    for (guint i = 0; i < watches->len; i++) {
        key_value_watch_t *watch = g_ptr_array_index(watches, i);
        if (!g_str_has_prefix(key, watch->prefix))
            continue;
        change_t *change = g_new0(change_t, 1);
        *change = (change_t){g_strdup(key), g_bytes_ref(value), revision};
        g_queue_push_tail(watch->untold, change);
        tell_later(watch, key);
    }
}

/** Nobody is told: nobody watches the keys that nodes remove. */
static void apply_removal(const char *key) {
    entry_t *entry = g_hash_table_lookup(entries, key);
    if (entry == NULL)
        return;
    g_bytes_unref(entry->value);
    g_hash_table_remove(entries, key);
    revision++;
}

void virtual_key_value_remove(const char *key) {
    apply_removal(key);
    for (guint i = 0; i < watches->len; i++) {
        key_value_watch_t *watch = g_ptr_array_index(watches, i);
        if (g_str_has_prefix(key, watch->prefix))
            tell_later(watch, key);
    }
}

void virtual_key_value_set_down(bool down) {
    is_down = down;
    for (guint i = 0; !down && i < watches->len; i++) {
        key_value_watch_t *watch = g_ptr_array_index(watches, i);
        virtual_after(latency(), watch->process, list, watch);
    }
}

void virtual_key_value_cut(const virtual_process_t *process, bool cut) {
    if (cut)
        g_hash_table_add(cut_off, (gpointer)process);
    else
        g_hash_table_remove(cut_off, process);
    for (guint i = 0; i < watches->len; i++) {
        key_value_watch_t *watch = g_ptr_array_index(watches, i);
        if (watch->process != process)
            continue;
        watch->behind = true;
        if (!cut)
            virtual_after(latency(), watch->process, list, watch);
    }
}

void virtual_key_value_process_ended(const virtual_process_t *process) {
    for (guint i = watches->len; i > 0; i--) {
        const key_value_watch_t *watch = g_ptr_array_index(watches, i - 1);
        if (watch->process == process)
            g_ptr_array_remove_index_fast(watches, i - 1);
    }
}

void virtual_key_value_put(const char *key, GBytes *value) {
    apply_write(key, value);
    g_bytes_unref(value);
}

GBytes *virtual_key_value_get(const char *key) {
    const entry_t *entry = g_hash_table_lookup(entries, key);
    return entry == NULL ? NULL : entry->value;
}

unsigned virtual_key_value_count(const char *prefix) {
    unsigned found = 0;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, entries);
    while (g_hash_table_iter_next(&iterator, &key, &value))
        found += g_str_has_prefix(key, prefix) && ((const entry_t *)value)->value != NULL;
    return found;
}

/* cluster/key_value_watch.h */

key_value_watch_t *key_value_watch_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                        const char *host, const char *prefix, uint32_t wait_ms,
                                        const key_value_watch_handler_t *handler, void *owner) {
    (void)address;
    (void)host;
    (void)wait_ms;
    key_value_watch_t *watch = g_new0(key_value_watch_t, 1);
    watch->process = loop->data;
    watch->prefix = g_strdup(prefix);
    watch->handler = handler;
    watch->owner = owner;
    watch->untold = g_queue_new();
    watch->behind = true;
    g_ptr_array_add(watches, watch);
    virtual_after(latency(), watch->process, list, watch);
    return watch;
}

void key_value_watch_rest(key_value_watch_t *watch) {
    g_ptr_array_remove_fast(watches, watch);
    watch->rests = true;
}

bool key_value_watch_listed(const key_value_watch_t *watch) {
    return hides_listings || !(watch->listing || watch->behind);
}

bool key_value_watch_rests(const key_value_watch_t *watch) {
    return watch->rests;
}

typedef struct {
    virtual_process_t *process;
    uint64_t incarnation;
    char *key;
    GBytes *value; /**< NULL: keys are removed. */
    char **removed;
    bool any;
    uint64_t expected;
    key_value_outcome_t outcome;
    void (*done)(void *owner, key_value_outcome_t outcome);
    void *owner;
} write_event_t;

static void answer_write(void *data) {
    write_event_t *event = data;
    event->done(event->owner, event->outcome);
    g_free(event->key);
    g_strfreev(event->removed);
    if (event->value != NULL)
        g_bytes_unref(event->value);
    g_free(event);
}

static void write_arrives(void *data) {
    write_event_t *event = data;
    const entry_t *entry = g_hash_table_lookup(entries, event->key);
    uint64_t present = entry == NULL ? 0 : entry->revision;
    uint64_t delay = latency();
    if (is_out_of_reach(event->process)) {
        event->outcome = KEY_VALUE_REFUSED;
        delay = REFUSED_AFTER_MS;
    } else if (event->value != NULL && g_bytes_get_size(event->value) > VALUE_BYTES_MAX) {
        event->outcome = KEY_VALUE_REFUSED;
    } else if (!event->any && present != event->expected) {
        event->outcome = KEY_VALUE_CONFLICT;
    } else {
        event->outcome = KEY_VALUE_WRITTEN;
        bool forgotten = forget_turns && g_str_has_prefix(event->key, spill_prefix);
        if (event->value != NULL && !forgotten)
            apply_write(event->key, event->value);
        for (char **key = event->removed; key != NULL && *key != NULL; key++)
            apply_removal(*key);
        if (virtual_chance(lost_percent)) {
            event->outcome = KEY_VALUE_REFUSED;
            delay = REFUSED_AFTER_MS;
        }
    }
    virtual_after(delay, event->process, answer_write, event);
}

/**
 * A request is the key, the condition and the value, made by key_value_write_request below, or an
 * empty line, the condition and the keys that are removed.
 */
void key_value_write(uv_loop_t *loop, const struct sockaddr_in *address, GString *request,
                     void (*done)(void *owner, key_value_outcome_t outcome), void *owner) {
    (void)address;
    write_event_t *event = g_new0(write_event_t, 1);
    char **parts = g_strsplit(request->str, "\n", 3);
    event->process = loop->data;
    event->key = g_strdup(parts[0]);
    event->any = strcmp(parts[1], "any") == 0;
    event->expected = event->any ? 0 : strtoull(parts[1], NULL, 10);
    if (*event->key == '\0') {
        event->removed = g_strsplit(parts[2], "\n", 0);
    } else {
        gsize length;
        guchar *value = g_base64_decode(parts[2], &length);
        event->value = g_bytes_new_take(value, length);
    }
    event->done = done;
    event->owner = owner;
    g_strfreev(parts);
    g_string_free(request, TRUE);
    virtual_after(latency(), NULL, write_arrives, event);
}

/* cluster/key_value.h */

GString *key_value_write_request(const char *host, const char *key, GBytes *value, bool any,
                                 uint64_t expected) {
    (void)host;
    gsize length;
    const guchar *data = g_bytes_get_data(value, &length);
    char *encoded = g_base64_encode(data, length);
    GString *request = g_string_new(key);
    if (any)
        g_string_append(request, "\nany\n");
    else
        g_string_append_printf(request, "\n%" G_GUINT64_FORMAT "\n", (guint64)expected);
    g_string_append(request, encoded);
    g_free(encoded);
    return request;
}

GString *key_value_remove_request(const char *host, const GPtrArray *keys) {
    (void)host;
    GString *request = g_string_new("\nany");
    for (guint i = 0; i < keys->len; i++)
        g_string_append_printf(request, "\n%s", (const char *)g_ptr_array_index(keys, i));
    return request;
}

key_kind_t key_value_kind(const char *key, const char **name) {
    if (g_str_has_prefix(key, own_prefix)) {
        *name = key + strlen(own_prefix);
        return KEY_OWN;
    }
    if (g_str_has_prefix(key, retire_prefix)) {
        *name = key + strlen(retire_prefix);
        return KEY_RETIRE;
    }
    *name = key;
    return KEY_OTHER;
}

const char *key_value_prefix(key_kind_t kind) {
    if (kind == KEY_OWN)
        return own_prefix;
    if (kind == KEY_SPILL)
        return spill_prefix;
    return kind == KEY_RETIRE ? retire_prefix : "";
}

char *key_value_own_key(const char *name) {
    return g_strconcat(own_prefix, name, NULL);
}

char *key_value_retire_status_key(const char *node) {
    return g_strconcat(status_prefix, node, NULL);
}

GBytes *key_value_retire_status(bool complete) {
    const char *text = complete ? "complete" : "running";
    return g_bytes_new(text, strlen(text));
}
