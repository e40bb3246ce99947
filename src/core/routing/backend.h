/**
 * @file backend.h
 * The back ends (model engines and services) in the machine list, which the platform provides, with
 * the state observed for each: load, calls in flight, failures and cached prompt prefixes.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_ROUTING_BACKEND_H
#define RUDDERWAY_CORE_ROUTING_BACKEND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum { BACKEND_ENGINE, BACKEND_SERVICE, BACKEND_KINDS } backend_kind_t;

/** One entry of the machine list, the platform's list of back ends. */
typedef struct {
    backend_kind_t kind;
    char *name;
    char *offers; /**< Name of the model or of the service. */
    char *zone;
    char *address; /**< IP address. */
    uint32_t port;
    bool leaving;
} backend_record_t;

/** A load report of an engine. */
typedef struct {
    uint32_t running;
    uint32_t waiting;
    bool leaving;           /**< The engine reports that it is shutting down. */
    int64_t received_at_ms; /**< 0: no report received. */
} load_report_t;

typedef struct {
    backend_record_t record;
    load_report_t load;
    uint32_t in_flight; /**< Calls from this node without a response yet. */
    uint32_t sent_since_report;
    uint32_t failures;        /**< Consecutive failures. */
    int64_t ejected_until_ms; /**< The back end gets no calls before this time. */
    bool leaving_announced;   /**< Set once a machine list marks it as leaving; never reset. */
    GHashTable *prefixes;  /**< Hash of a block probably cached → prefix_stamp of its last use. */
    uint64_t prefix_stamp; /**< Sequence number of the latest prompt sent. */
} backend_t;

typedef struct backend_set backend_set_t;

backend_set_t *backend_set_new(void);
void backend_set_free(backend_set_t *set);

typedef void (*backend_change_t)(void *context, const backend_t *backend, bool removed);

/**
 * Applies the machine list @p records (of backend_record_t); the caller keeps ownership.
 * Calls @p on_change for each back end that was added, was marked as leaving, or was removed.
 */
void backend_set_update(backend_set_t *set, const GPtrArray *records, backend_change_t on_change,
                        void *context);
backend_t *backend_set_find(const backend_set_t *set, const char *name);
/** Of backend_t, ordered by name. */
const GPtrArray *backend_set_all(const backend_set_t *set);

/** True if new calls may be sent to @p backend. */
bool backend_is_available(const backend_t *backend, int64_t now_ms);
void backend_report_load(backend_t *backend, const load_report_t *report);
void backend_call_started(backend_t *backend);
/** @param reachable False if the connection failed; counts as backend_unreachable. */
void backend_call_finished(backend_t *backend, bool reachable, int64_t now_ms);
/** Counts a connection failure; consecutive failures eject the back end with backoff. */
void backend_unreachable(backend_t *backend, int64_t now_ms);

backend_record_t *backend_record_copy(const backend_record_t *record);
void backend_record_free(backend_record_t *record);

#endif
