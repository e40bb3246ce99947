/*
 * Design. One exchange at a time: a listing in pages, then watches one after the other, each from
 * the revision where the last one ended. Anything but a well-formed answer in time closes the
 * connection and begins again with a listing, because what was missed can't be known. Every call
 * is paid for, so a watch that saw a change pauses before the next: a burst of changes costs one
 * call instead of one each, and is seen at most that pause later. An answer that is full has more
 * behind it, and is not paused after: while 10,000 back ends start, pauses of up to 0.9 s after
 * each 500 changes made the last show 12 s late.
 */
#include "cluster/key_value_watch.h"

#include "core/configuration/watch_role.h"
#include "net/answer_limits.h"
#include "net/http_client.h"

#include <string.h>

enum {
    ANSWER_MS = 1000,      /**< For a listing or a write. */
    WATCH_EXTRA_MS = 900,  /**< For a watch, beyond the time it waits. */
    LISTED_PAUSE_MS = 900, /**< After a listing, before the first watch: other nodes start, too. */
    GATHER_FIRST_MS = 200, /**< After a change, before the next watch: changes come in bursts. Up
                              to WATCH_PAUSE_MAX_MS while each watch sees a change at once. */
    CALM_MS = 1500,        /**< A watch that waited so long ends a burst. */
    FULL_EVENTS = 200,     /**< An answer with so many changes has more behind it. */
    PAUSE_FIRST_MS = 100,
    PAUSE_MOST_MS = 800,
    PAUSE_PATIENT_MS = 3000, /**< After more than one failure, while others ask often. */
    STATUS_OK = 200,
    BODY_KEPT_MAX_BYTES = 1024 * 1024, /**< A larger buffer is freed after its answer. */
    WRITTEN_MAX_BYTES = 64 * 1024,     /**< Of the answer to a write that was done. */
};

typedef enum { LISTING, WATCHING } phase_t;

struct key_value_watch {
    uv_loop_t *loop;
    struct sockaddr_in address;
    char *host;
    char *prefix;
    uint32_t wait_ms;
    uint32_t pause_ms; /**< Least between two watches. */
    const key_value_watch_handler_t *handler;
    void *owner;
    http_client_t *client;
    uv_timer_t timer;
    phase_t phase;
    unsigned status;
    GString *body;
    GHashTable *listed;  /**< Keys of the listing in the making. */
    char *after;         /**< Last key of the listing's last page. */
    uint64_t held_since; /**< 0: it is not held. */
    bool resumed;        /**< No answer since it was told what is known from elsewhere. */
    bool renewed;        /**< No answer since it was begun anew on purpose. */
    uint64_t revision;
    uint64_t list_revision;
    unsigned failures;
    uint64_t failed_at; /**< 0: not since the latest answer. */
    bool patient;
    uint64_t gather_ms;
    uint64_t begun_at;    /**< Of the call under way. */
    bool waiting;         /**< A watch is under way. */
    bool resting;         /**< Nothing is under way: changes are seen elsewhere. */
    uint64_t changed;     /**< Latest revision of an item. */
    uint64_t answered_at; /**< Of the latest well-formed answer. */
    int reachable;        /**< -1: not known yet. */
};

static void begin_call(key_value_watch_t *watch);

static void set_reachable(key_value_watch_t *watch, bool reachable) {
    if (watch->reachable == (int)reachable)
        return;
    watch->reachable = reachable;
    watch->handler->on_reachable(watch->owner, reachable);
}

static void on_pause_over(uv_timer_t *timer) {
    begin_call(timer->data);
}

static void start_listing(key_value_watch_t *watch) {
    watch->phase = LISTING;
    watch->resumed = false;
    watch->renewed = false;
    g_hash_table_remove_all(watch->listed);
    g_free(watch->after);
    watch->after = g_strdup("");
    watch->list_revision = 0;
}

static void call_failed(key_value_watch_t *watch) {
    watch->waiting = false;
    if (watch->client != NULL) {
        http_client_close(watch->client);
        watch->client = NULL;
    }
    watch->failures++;
    watch->failed_at = uv_now(watch->loop);
    if (watch->failures > 1)
        set_reachable(watch, false);
    start_listing(watch);
    uint64_t pause = PAUSE_FIRST_MS << MIN(watch->failures - 1, 3);
    bool patient = watch->patient && watch->failures > 1;
    pause = patient ? PAUSE_PATIENT_MS : MIN(pause, PAUSE_MOST_MS);
    pause = pause / 2 + (uint64_t)g_random_int_range(0, (gint32)(pause / 2 + 1));
    uv_timer_start(&watch->timer, on_pause_over, pause, 0);
}

static void on_time_over(uv_timer_t *timer) {
    call_failed(timer->data);
}

static bool on_head(void *user, const http_answer_head_t *head) {
    key_value_watch_t *watch = user;
    watch->status = head->status;
    return true;
}

static void on_body(void *user, const char *data, size_t length) {
    key_value_watch_t *watch = user;
    if (watch->body->len + length > KEY_VALUE_ANSWER_MAX_BYTES) {
        call_failed(watch);
        return;
    }
    g_string_append_len(watch->body, data, (gssize)length);
}

static void deliver_items(key_value_watch_t *watch, const key_value_page_t *page) {
    for (guint i = 0; i < page->items->len; i++) {
        const key_value_item_t *item = &g_array_index(page->items, key_value_item_t, i);
        watch->changed = MAX(watch->changed, item->revision);
        watch->handler->on_item(watch->owner, item);
    }
}

static void page_listed(key_value_watch_t *watch, const key_value_page_t *page) {
    /* Pages are no snapshot: watching from the first page's revision sees every change again. */
    if (watch->list_revision == 0)
        watch->list_revision = page->revision;
    for (guint i = 0; i < page->items->len; i++) {
        const key_value_item_t *item = &g_array_index(page->items, key_value_item_t, i);
        g_hash_table_add(watch->listed, g_strdup(item->key));
        if (i + 1 == page->items->len) {
            g_free(watch->after);
            watch->after = g_strdup(item->key);
        }
    }
    deliver_items(watch, page);
    if (page->more && page->items->len > 0)
        return;
    watch->revision = watch->list_revision;
    watch->phase = WATCHING;
    watch->handler->on_listed(watch->owner, watch->listed);
}

/** Pause after a watch that saw a change; grows while changes keep coming. */
static uint64_t next_gather_pause(key_value_watch_t *watch) {
    bool calm = uv_now(watch->loop) - watch->begun_at >= CALM_MS;
    uint64_t longer = MIN(2 * watch->gather_ms, (uint64_t)WATCH_PAUSE_MAX_MS);
    watch->gather_ms = calm ? GATHER_FIRST_MS : MAX(longer, GATHER_FIRST_MS);
    return watch->gather_ms;
}

static void on_complete(void *user) {
    key_value_watch_t *watch = user;
    watch->waiting = false;
    uv_timer_stop(&watch->timer);
    if (!http_client_reusable(watch->client)) {
        http_client_close(watch->client);
        watch->client = NULL;
    }
    key_value_page_t page = {0};
    bool valid = false;
    if (watch->status == STATUS_OK)
        valid = watch->phase == LISTING
                    ? key_value_parse_page(watch->body->str, watch->body->len, &page)
                    : key_value_parse_events(watch->body->str, watch->body->len, &page);
    if (!valid) {
        bool relist_at_once = key_value_history_gone(watch->status) && watch->failures == 0;
        key_value_page_clear(&page);
        if (!relist_at_once) {
            call_failed(watch);
            return;
        }
        watch->failures = 1;
        start_listing(watch);
        begin_call(watch);
        return;
    }
    watch->failures = 0;
    watch->failed_at = 0;
    watch->renewed = false;
    watch->answered_at = uv_now(watch->loop);
    set_reachable(watch, true);
    bool listed = watch->phase == LISTING;
    bool changed = !listed && page.items->len > 0;
    bool full = !listed && page.items->len >= FULL_EVENTS;
    bool caught_up = watch->resumed && !full;
    if (listed) {
        page_listed(watch, &page);
    } else {
        deliver_items(watch, &page);
        watch->revision = MAX(watch->revision, page.revision);
    }
    key_value_page_clear(&page);
    if (caught_up) {
        watch->resumed = false;
        watch->handler->on_listed(watch->owner, NULL);
    }
    uint64_t pause = 0;
    if (listed && watch->phase == WATCHING)
        pause = LISTED_PAUSE_MS;
    else if (changed)
        pause = next_gather_pause(watch);
    if (watch->phase == WATCHING)
        pause = full ? 0 : MAX(pause, watch->pause_ms);
    if (pause > 0)
        uv_timer_start(&watch->timer, on_pause_over, pause, 0);
    else
        begin_call(watch);
}

static void on_failed(void *user, http_failure_t failure) {
    key_value_watch_t *watch = user;
    (void)failure;
    watch->client = NULL;
    uv_timer_stop(&watch->timer);
    call_failed(watch);
}

static const http_exchange_handler_t exchange_handler = {on_head, on_body, on_complete, on_failed};

static void on_idle_closed(void *owner, http_client_t *client) {
    key_value_watch_t *watch = owner;
    if (watch->client == client)
        watch->client = NULL;
}

/**
 * How long the next watch waits at the service. One that is begun anew is answered at once, so that
 * a service which says nothing is found within WATCH_EXTRA_MS: a gateway that takes the duty over
 * in an outage asked a service that had been back for 3 s when its watch was given up.
 */
static uint32_t call_wait_ms(const key_value_watch_t *watch) {
    return watch->resumed || watch->renewed ? 0 : watch->wait_ms;
}

static void begin_call(key_value_watch_t *watch) {
    if (watch->body->allocated_len > BODY_KEPT_MAX_BYTES) {
        g_string_free(watch->body, TRUE);
        watch->body = g_string_new(NULL);
    }
    g_string_truncate(watch->body, 0);
    watch->status = 0;
    watch->begun_at = uv_now(watch->loop);
    bool listing = watch->phase == LISTING;
    watch->waiting = !listing;
    GString *request = listing ? key_value_list_request(watch->host, watch->prefix, watch->after)
                               : key_value_watch_request(watch->host, watch->prefix,
                                                         watch->revision, call_wait_ms(watch));
    uint64_t limit = listing ? ANSWER_MS : (uint64_t)call_wait_ms(watch) + WATCH_EXTRA_MS;
    uv_timer_start(&watch->timer, on_time_over, limit, 0);
    if (watch->client == NULL)
        watch->client = http_client_open(watch->loop, &watch->address, on_idle_closed, watch);
    if (watch->client == NULL) {
        g_string_free(request, TRUE);
        call_failed(watch);
        return;
    }
    http_client_send(watch->client, request, false, &exchange_handler, watch);
}

static key_value_watch_t *new_watch(uv_loop_t *loop, const struct sockaddr_in *address,
                                    const char *host, const char *prefix, uint32_t wait_ms,
                                    const key_value_watch_handler_t *handler, void *owner) {
    key_value_watch_t *watch = g_new0(key_value_watch_t, 1);
    watch->loop = loop;
    watch->address = *address;
    watch->host = g_strdup(host);
    watch->prefix = g_strdup(prefix);
    watch->wait_ms = wait_ms;
    watch->handler = handler;
    watch->owner = owner;
    watch->body = g_string_new(NULL);
    watch->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    watch->reachable = -1;
    uv_timer_init(loop, &watch->timer);
    watch->timer.data = watch;
    start_listing(watch);
    return watch;
}

key_value_watch_t *key_value_watch_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                        const char *host, const char *prefix, uint32_t wait_ms,
                                        const key_value_watch_handler_t *handler, void *owner) {
    key_value_watch_t *watch = new_watch(loop, address, host, prefix, wait_ms, handler, owner);
    begin_call(watch);
    return watch;
}

key_value_watch_t *key_value_watch_open_held(uv_loop_t *loop, const struct sockaddr_in *address,
                                             const char *host, const char *prefix, uint32_t wait_ms,
                                             const key_value_watch_handler_t *handler,
                                             void *owner) {
    key_value_watch_t *watch = new_watch(loop, address, host, prefix, wait_ms, handler, owner);
    watch->held_since = MAX(1, uv_now(loop));
    return watch;
}

void key_value_watch_set_wait(key_value_watch_t *watch, uint32_t wait_ms) {
    watch->wait_ms = wait_ms;
}

static void stop_call(key_value_watch_t *watch) {
    uv_timer_stop(&watch->timer);
    if (watch->client != NULL)
        http_client_close(watch->client);
    watch->client = NULL;
    watch->waiting = false;
}

void key_value_watch_renew(key_value_watch_t *watch) {
    if (!watch->waiting && !watch->resting)
        return;
    stop_call(watch);
    watch->resting = false;
    watch->renewed = true;
    if (watch->held_since == 0)
        begin_call(watch);
}

uint64_t key_value_watch_held_since(const key_value_watch_t *watch) {
    return watch->held_since;
}

void key_value_watch_resume(key_value_watch_t *watch, uint64_t revision) {
    watch->phase = WATCHING;
    watch->resumed = true;
    watch->revision = revision;
    watch->changed = MAX(watch->changed, revision);
}

void key_value_watch_go_on(key_value_watch_t *watch) {
    bool held = watch->held_since > 0;
    watch->held_since = 0;
    if (held && !watch->resting)
        begin_call(watch);
}

void key_value_watch_set_pause(key_value_watch_t *watch, uint32_t pause_ms) {
    watch->pause_ms = pause_ms;
}

void key_value_watch_set_patient(key_value_watch_t *watch, bool patient) {
    watch->patient = patient;
}

uint64_t key_value_watch_failed_at(const key_value_watch_t *watch) {
    return watch->failed_at;
}

void key_value_watch_rest(key_value_watch_t *watch) {
    stop_call(watch);
    watch->resting = true;
}

bool key_value_watch_rests(const key_value_watch_t *watch) {
    return watch->resting;
}

void key_value_watch_advance(key_value_watch_t *watch, uint64_t changed) {
    watch->phase = WATCHING;
    watch->resumed = false;
    watch->held_since = 0;
    watch->failures = 0;
    watch->revision = MAX(watch->revision, changed);
    watch->changed = MAX(watch->changed, changed);
}

bool key_value_watch_listed(const key_value_watch_t *watch) {
    return watch->phase == WATCHING;
}

uint64_t key_value_watch_known(const key_value_watch_t *watch) {
    return watch->revision;
}

uint64_t key_value_watch_changed(const key_value_watch_t *watch) {
    return watch->changed;
}

uint64_t key_value_watch_answered_at(const key_value_watch_t *watch) {
    return watch->answered_at;
}

uint64_t key_value_watch_begun_at(const key_value_watch_t *watch) {
    return watch->begun_at;
}

/* Single writes. */

typedef struct {
    uv_timer_t timer;
    http_client_t *client;
    unsigned status;
    GString *body;
    void (*done)(void *owner, key_value_outcome_t outcome);
    void *owner;
} single_write_t;

static void free_write(uv_handle_t *handle) {
    single_write_t *write = handle->data;
    g_string_free(write->body, TRUE);
    g_free(write);
}

static void finish_write(single_write_t *write, key_value_outcome_t outcome) {
    if (write->client != NULL)
        http_client_close(write->client);
    write->client = NULL;
    void (*done)(void *owner, key_value_outcome_t outcome) = write->done;
    void *owner = write->owner;
    uv_close((uv_handle_t *)&write->timer, free_write);
    done(owner, outcome);
}

static void on_write_time_over(uv_timer_t *timer) {
    finish_write(timer->data, KEY_VALUE_REFUSED);
}

static bool on_write_head(void *user, const http_answer_head_t *head) {
    ((single_write_t *)user)->status = head->status;
    return true;
}

static void on_write_body(void *user, const char *data, size_t length) {
    single_write_t *write = user;
    if (write->status == STATUS_OK && write->body->len + length <= WRITTEN_MAX_BYTES)
        g_string_append_len(write->body, data, (gssize)length);
}

static void on_write_complete(void *user) {
    single_write_t *write = user;
    finish_write(write, key_value_write_outcome(write->status, write->body->str, write->body->len));
}

static void on_write_failed(void *user, http_failure_t failure) {
    single_write_t *write = user;
    (void)failure;
    write->client = NULL;
    finish_write(write, KEY_VALUE_REFUSED);
}

static const http_exchange_handler_t write_handler = {on_write_head, on_write_body,
                                                      on_write_complete, on_write_failed};

void key_value_write(uv_loop_t *loop, const struct sockaddr_in *address, GString *request,
                     void (*done)(void *owner, key_value_outcome_t outcome), void *owner) {
    single_write_t *write = g_new0(single_write_t, 1);
    write->done = done;
    write->owner = owner;
    write->body = g_string_new(NULL);
    uv_timer_init(loop, &write->timer);
    write->timer.data = write;
    write->client = http_client_open(loop, address, NULL, NULL);
    uv_timer_start(&write->timer, on_write_time_over, write->client == NULL ? 0 : ANSWER_MS, 0);
    if (write->client == NULL) {
        g_string_free(request, TRUE);
        return;
    }
    http_client_send(write->client, request, false, &write_handler, write);
}
