/*
 * Design. A request and an answer are lines of text made and read here, by the functions of
 * cluster/key_value.h that the adapter implements elsewhere. A watch that has nothing to say is
 * held until something changes or its time is over.
 */
#include "directorysim/virtual_service.h"

#include "cluster/key_value.h"
#include "directorysim/world.h"
#include "net/http_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    LATENCY_LEAST_MS = 1,
    LATENCY_MOST_MS = 4,
    PAGE_ITEMS = 200,
    STATUS_OK = 200,
    STATUS_GONE = 410,
    STATUS_UNAVAILABLE = 503,
};

typedef struct {
    char *key;
    char *value; /**< NULL: it was removed. */
    uint64_t revision;
} change_t;

struct http_client {
    virtual_process_t *process;
    uint64_t incarnation;
    bool closed;
    bool dead; /**< An answer on it was lost: it says nothing more. */
    const http_exchange_handler_t *handler;
    void *user;
    char **request;    /**< Lines of the request under way. */
    uint64_t exchange; /**< Counts requests. */
    bool held;         /**< The request is a watch that waits at the service. */
};

static GPtrArray *changes;  /**< All changes ever, of change_t, by revision. */
static GHashTable *latest;  /**< Key to its change_t. */
static uint64_t forgotten;  /**< Changes up to this revision are. */
static GPtrArray *clients;  /**< Those that are not closed. */
static GHashTable *manners; /**< Process to its service_manner_t; others are served. */
static service_manner_t general_manner;
static unsigned lost_percent;
static uint64_t calls;

static uint64_t latency(void) {
    return virtual_random(LATENCY_LEAST_MS, LATENCY_MOST_MS);
}

static void free_change(gpointer data) {
    change_t *change = data;
    g_free(change->key);
    g_free(change->value);
    g_free(change);
}

void virtual_service_start(void) {
    changes = g_ptr_array_new_with_free_func(free_change);
    latest = g_hash_table_new(g_str_hash, g_str_equal);
    forgotten = 0;
    clients = g_ptr_array_new();
    manners = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    general_manner = SERVICE_SERVES;
    lost_percent = 0;
    calls = 0;
}

void virtual_service_set_manner(service_manner_t manner) {
    general_manner = manner;
}

void virtual_service_set_manner_to(const virtual_process_t *process, service_manner_t manner) {
    g_hash_table_insert(manners, (gpointer)process, g_memdup2(&manner, sizeof manner));
}

void virtual_service_lose_answers(unsigned percent) {
    lost_percent = percent;
}

void virtual_service_forget_history(void) {
    forgotten = changes->len;
}

uint64_t virtual_service_calls(void) {
    return calls;
}

static service_manner_t manner_to(const virtual_process_t *process) {
    if (general_manner != SERVICE_SERVES)
        return general_manner;
    const service_manner_t *manner = g_hash_table_lookup(manners, process);
    return manner == NULL ? SERVICE_SERVES : *manner;
}

/* Answers. */

typedef struct {
    http_client_t *client;
    uint64_t exchange;
    unsigned status;
    GString *body;
} answer_t;

static void answer_arrives(void *data) {
    answer_t answer = *(answer_t *)data;
    http_client_t *client = answer.client;
    g_free(data);
    bool wanted = !client->closed && client->handler != NULL && client->exchange == answer.exchange;
    if (wanted) {
        const http_exchange_handler_t *handler = client->handler;
        void *user = client->user;
        http_answer_head_t head = {.status = answer.status};
        client->handler = NULL;
        handler->on_head(user, &head);
        handler->on_body(user, answer.body->str, answer.body->len);
        handler->on_complete(user);
    }
    g_string_free(answer.body, TRUE);
}

/** Takes over @p body. */
static void send_answer(http_client_t *client, unsigned status, GString *body) {
    client->held = false;
    client->dead = client->dead || virtual_chance(lost_percent);
    if (client->dead) {
        g_string_free(body, TRUE);
        return;
    }
    answer_t *answer = g_new0(answer_t, 1);
    *answer = (answer_t){client, client->exchange, status, body};
    virtual_after(latency(), client->process, answer_arrives, answer);
}

static void append_change(GString *body, const change_t *change) {
    g_string_append_printf(body, "%s\t%" G_GUINT64_FORMAT "\t%s\n", change->key,
                           (guint64)change->revision, change->value == NULL ? "" : change->value);
}

static int compare_keys(gconstpointer a, gconstpointer b) {
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/** First line: the revision and whether more follows; then an item a line. */
static GString *list(const char *prefix, const char *after) {
    GPtrArray *keys = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, latest);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        bool there = ((const change_t *)value)->value != NULL;
        if (there && g_str_has_prefix(key, prefix) && strcmp(key, after) > 0)
            g_ptr_array_add(keys, key);
    }
    g_ptr_array_sort(keys, compare_keys);
    guint count = MIN(keys->len, (guint)PAGE_ITEMS);
    GString *body = g_string_new(NULL);
    g_string_append_printf(body, "%u\t%d\n", changes->len, keys->len > count);
    for (guint i = 0; i < count; i++)
        append_change(body, g_hash_table_lookup(latest, g_ptr_array_index(keys, i)));
    g_ptr_array_free(keys, TRUE);
    return body;
}

/** What changed after @p revision; NULL: nothing did. */
static GString *changes_after(const char *prefix, uint64_t revision) {
    GString *body = g_string_new(NULL);
    unsigned found = 0;
    g_string_append_printf(body, "%u\t0\n", changes->len);
    for (guint i = (guint)revision; i < changes->len; i++) {
        const change_t *change = g_ptr_array_index(changes, i);
        if (!g_str_has_prefix(change->key, prefix))
            continue;
        append_change(body, change);
        found++;
    }
    if (found > 0)
        return body;
    g_string_free(body, TRUE);
    return NULL;
}

static void look_at_watch(http_client_t *client) {
    GString *body = changes_after(client->request[1], strtoull(client->request[2], NULL, 10));
    if (body != NULL)
        send_answer(client, STATUS_OK, body);
}

typedef struct {
    http_client_t *client;
    uint64_t exchange;
} held_watch_t;

static void watch_time_over(void *data) {
    held_watch_t watch = *(held_watch_t *)data;
    g_free(data);
    http_client_t *client = watch.client;
    if (client->closed || !client->held || client->exchange != watch.exchange)
        return;
    GString *body = g_string_new(NULL);
    g_string_append_printf(body, "%u\t0\n", changes->len);
    send_answer(client, STATUS_OK, body);
}

static void hold_watch(http_client_t *client) {
    if (strtoull(client->request[2], NULL, 10) < forgotten) {
        send_answer(client, STATUS_GONE, g_string_new(NULL));
        return;
    }
    client->held = true;
    look_at_watch(client);
    if (!client->held)
        return;
    held_watch_t *watch = g_new0(held_watch_t, 1);
    *watch = (held_watch_t){client, client->exchange};
    virtual_after(strtoull(client->request[3], NULL, 10), NULL, watch_time_over, watch);
}

static void request_arrives(void *data) {
    held_watch_t sent = *(held_watch_t *)data;
    g_free(data);
    http_client_t *client = sent.client;
    if (client->closed || client->exchange != sent.exchange)
        return;
    calls++;
    service_manner_t manner = client->dead ? SERVICE_SILENT : manner_to(client->process);
    if (world.log)
        printf("%9.3f %-12s CALL %s after=%s wait=%s manner=%d\n", (double)virtual_now() / 1000,
               client->process->name, client->request[0], client->request[2],
               client->request[2] == NULL ? "" : client->request[3], (int)manner);
    if (manner == SERVICE_SILENT)
        client->dead = true;
    else if (manner == SERVICE_REFUSES)
        send_answer(client, STATUS_UNAVAILABLE, g_string_new(NULL));
    else if (strcmp(client->request[0], "list") == 0)
        send_answer(client, STATUS_OK, list(client->request[1], client->request[2]));
    else
        hold_watch(client);
}

uint64_t virtual_service_put(const char *key, const char *value) {
    change_t *change = g_new0(change_t, 1);
    change->key = g_strdup(key);
    change->value = g_strdup(value);
    change->revision = changes->len + 1;
    g_ptr_array_add(changes, change);
    g_hash_table_replace(latest, change->key, change);
    for (guint i = clients->len; i > 0; i--) {
        http_client_t *client = g_ptr_array_index(clients, i - 1);
        bool silent = manner_to(client->process) == SERVICE_SILENT;
        if (client->held && silent)
            client->dead = true;
        else if (client->held)
            look_at_watch(client);
    }
    return change->revision;
}

void virtual_service_process_ended(const virtual_process_t *process) {
    for (guint i = clients->len; i > 0; i--) {
        http_client_t *client = g_ptr_array_index(clients, i - 1);
        if (client->process == process)
            http_client_close(client);
    }
}

/* net/http_client.h */

http_client_t *http_client_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                void (*on_idle_closed)(void *owner, http_client_t *client),
                                void *owner) {
    (void)address;
    (void)on_idle_closed;
    (void)owner;
    http_client_t *client = g_new0(http_client_t, 1);
    client->process = loop->data;
    client->incarnation = client->process->incarnation;
    g_ptr_array_add(clients, client);
    return client;
}

void http_client_send(http_client_t *client, GString *request, bool head_request,
                      const http_exchange_handler_t *handler, void *user) {
    (void)head_request;
    g_strfreev(client->request);
    client->request = g_strsplit(request->str, "\n", -1);
    g_string_free(request, TRUE);
    client->handler = handler;
    client->user = user;
    client->exchange++;
    held_watch_t *sent = g_new0(held_watch_t, 1);
    *sent = (held_watch_t){client, client->exchange};
    virtual_after(latency(), NULL, request_arrives, sent);
}

bool http_client_connected(const http_client_t *client) {
    return !client->closed;
}

bool http_client_reusable(const http_client_t *client) {
    return !client->closed;
}

uint64_t http_client_idle_until(const http_client_t *client) {
    (void)client;
    return UINT64_MAX;
}

/** Its memory stays: events on their way may name it. */
void http_client_close(http_client_t *client) {
    client->closed = true;
    client->handler = NULL;
    g_ptr_array_remove_fast(clients, client);
}

/* cluster/key_value.h */

GString *key_value_list_request(const char *host, const char *prefix, const char *after) {
    (void)host;
    GString *request = g_string_new(NULL);
    g_string_append_printf(request, "list\n%s\n%s", prefix, after);
    return request;
}

GString *key_value_watch_request(const char *host, const char *prefix, uint64_t after,
                                 uint32_t wait_ms) {
    (void)host;
    GString *request = g_string_new(NULL);
    g_string_append_printf(request, "watch\n%s\n%" G_GUINT64_FORMAT "\n%u", prefix, (guint64)after,
                           wait_ms);
    return request;
}

static void clear_item(gpointer data) {
    key_value_item_t *item = data;
    g_free(item->key);
    if (item->value != NULL)
        g_bytes_unref(item->value);
}

void key_value_page_clear(key_value_page_t *page) {
    if (page->items != NULL)
        g_array_free(page->items, TRUE);
    *page = (key_value_page_t){0};
}

static void parse_item(const char *line, key_value_page_t *page) {
    char **fields = g_strsplit(line, "\t", 3);
    if (g_strv_length(fields) == 3) {
        key_value_item_t item = {.key = g_strdup(fields[0])};
        item.revision = strtoull(fields[1], NULL, 10);
        if (*fields[2] != '\0')
            item.value = g_bytes_new(fields[2], strlen(fields[2]));
        g_array_append_val(page->items, item);
    }
    g_strfreev(fields);
}

bool key_value_parse_page(const char *body, size_t length, key_value_page_t *page) {
    (void)length;
    char **lines = g_strsplit(body, "\n", -1);
    bool valid = g_strv_length(lines) > 0 && strchr(lines[0], '\t') != NULL;
    if (valid) {
        page->items = g_array_new(FALSE, TRUE, sizeof(key_value_item_t));
        g_array_set_clear_func(page->items, clear_item);
        char *end;
        page->revision = strtoull(lines[0], &end, 10);
        page->more = strcmp(end, "\t1") == 0;
        for (guint i = 1; lines[i] != NULL; i++)
            parse_item(lines[i], page);
    }
    g_strfreev(lines);
    return valid;
}

bool key_value_parse_events(const char *body, size_t length, key_value_page_t *page) {
    return key_value_parse_page(body, length, page);
}

bool key_value_history_gone(unsigned status) {
    return status == STATUS_GONE;
}

key_value_outcome_t key_value_write_outcome(unsigned status, const char *body, size_t length) {
    (void)body;
    (void)length;
    return status == STATUS_OK ? KEY_VALUE_WRITTEN : KEY_VALUE_REFUSED;
}

static const char own_prefix[] = "own/";
static const char backend_prefix[] = "backend/";
static const char configuration_key[] = "configuration";

key_kind_t key_value_kind(const char *key, const char **name) {
    *name = key;
    if (strcmp(key, configuration_key) == 0)
        return KEY_CONFIGURATION;
    if (g_str_has_prefix(key, own_prefix)) {
        *name = key + strlen(own_prefix);
        return KEY_OWN;
    }
    if (!g_str_has_prefix(key, backend_prefix))
        return KEY_OTHER;
    *name = key + strlen(backend_prefix);
    return KEY_BACKEND;
}

const char *key_value_prefix(key_kind_t kind) {
    return kind == KEY_OWN ? own_prefix : "";
}

char *key_value_own_key(const char *name) {
    return g_strconcat(own_prefix, name, NULL);
}
