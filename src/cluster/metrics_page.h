/**
 * @file metrics_page.h
 * A process's own figures as Prometheus text, at /metrics of the address in its settings.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_CLUSTER_METRICS_PAGE_H
#define RUDDERWAY_CLUSTER_METRICS_PAGE_H

#include "cluster/process_settings.h"
#include "net/http_listener.h"

#include <uv.h>

typedef struct {
    http_listener_t *listener;
    memory_account_t account;                   /**< What connections to the page hold. */
    void (*append)(void *owner, GString *text); /**< Appends all figures. */
    void *owner;
} metrics_page_t;

/** Serves the page, if the settings name an address; false if it can't be listened on. */
bool metrics_page_open(metrics_page_t *page, uv_loop_t *loop, const process_settings_t *settings,
                       void (*append)(void *owner, GString *text), void *owner);
/** Appends one figure, named rudderway_NAME. */
void metrics_append(GString *text, const char *name, uint64_t value);

#endif
