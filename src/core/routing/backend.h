/**
 * @file backend.h
 * The back ends this node knows: model engines and services, from the machine list, with what
 * it has learned of each. Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_ROUTING_BACKEND_H
#define RUDDERWAY_CORE_ROUTING_BACKEND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum { BACKEND_ENGINE, BACKEND_SERVICE, BACKEND_KINDS } backend_kind_t;

/** One machine in the machine list. */
typedef struct {
    backend_kind_t kind;
    char *name;
    char *offers; /**< The model an engine serves, or the name of the service. */
    char *zone;
    char *address; /**< IP number. */
    uint32_t port;
    bool leaving;
} backend_record_t;

/** A load report of an engine. */
typedef struct {
    uint32_t running;
    uint32_t waiting;
    bool leaving;  /**< The engine's own word. */
    int64_t at_ms; /**< When it was received; 0: never. */
} load_report_t;

typedef struct {
    backend_record_t record;
    load_report_t load;
    uint32_t in_flight; /**< Calls that this node has sent and that have not returned. */
    uint32_t sent_since_report;
    uint32_t failures;        /**< In a row. */
    int64_t ejected_until_ms; /**< Gets no calls before. */
    bool leaving_announced;   /**< Leaving by any source; never reverts while listed. */
    GHashTable *prefixes;     /**< Hashes of prompt blocks that it probably caches → use stamp. */
    uint64_t prefix_stamp;
} backend_t;

typedef struct backend_set backend_set_t;

backend_set_t *backend_set_new(void);
void backend_set_free(backend_set_t *set);

typedef void (*backend_change_t)(void *context, const backend_t *backend, bool removed);

/**
 * Takes over the machine list @p records (of backend_record_t), which stay the caller's.
 * @p on_change hears of every back end that is new, has begun to leave, or was removed.
 */
void backend_set_update(backend_set_t *set, const GPtrArray *records, backend_change_t on_change,
                        void *context);
backend_t *backend_set_find(const backend_set_t *set, const char *name);
/** Of backend_t, ordered by name. */
const GPtrArray *backend_set_all(const backend_set_t *set);

/** True if new calls may go to @p backend. */
bool backend_is_available(const backend_t *backend, int64_t now_ms);
void backend_report_load(backend_t *backend, const load_report_t *report);
/** Notes that a call was sent, and later that it returned. */
void backend_call_started(backend_t *backend);
void backend_call_finished(backend_t *backend, bool reachable, int64_t now_ms);
/** Notes that the back end could not be reached; after a few times it is left out for a while. */
void backend_unreachable(backend_t *backend, int64_t now_ms);

backend_record_t *backend_record_copy(const backend_record_t *record);
void backend_record_free(backend_record_t *record);

#endif
