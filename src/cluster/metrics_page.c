#include "cluster/metrics_page.h"

#include <string.h>

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    HEADER_BYTES = 8192,
    BODY_BYTES = 1024,
    HEADER_MS = 3000,
    IDLE_MS = 60000,
    ACCOUNT_BYTES = 4 * 1024 * 1024, /**< For all connections. */
    CONNECTIONS = 64,
};

static const http_limits_t limits = {HEADER_BYTES, BODY_BYTES, HEADER_MS, IDLE_MS};

static void on_request(void *owner, http_caller_t *caller, const http_request_t *request) {
    const metrics_page_t *page = owner;
    if (strcmp(request->target, "/metrics") != 0) {
        http_caller_answer(caller, STATUS_NOT_FOUND, NULL, NULL, 0);
        return;
    }
    GString *text = g_string_new(NULL);
    page->append(page->owner, text);
    http_caller_answer(caller, STATUS_OK, "Content-Type: text/plain; version=0.0.4\r\n", text->str,
                       text->len);
    g_string_free(text, TRUE);
}

static void on_gone(void *owner, http_caller_t *caller) {
    (void)owner;
    (void)caller;
}

static const http_listener_handler_t handler = {on_request, on_gone, NULL, NULL};

bool metrics_page_open(metrics_page_t *page, uv_loop_t *loop, const process_settings_t *settings,
                       void (*append)(void *owner, GString *text), void *owner) {
    page->append = append;
    page->owner = owner;
    if (settings->metrics.sin_port == 0)
        return true;
    page->listener = http_listener_open(loop, &settings->metrics, &limits, &handler, page);
    if (page->listener == NULL)
        return false;
    page->account = (memory_account_t){.limit = ACCOUNT_BYTES};
    http_listener_set_account(page->listener, &page->account);
    http_listener_set_connections(page->listener, CONNECTIONS);
    return true;
}

void metrics_append(GString *text, const char *name, uint64_t value) {
    g_string_append_printf(text, "rudderway_%s %" G_GUINT64_FORMAT "\n", name, (guint64)value);
}
