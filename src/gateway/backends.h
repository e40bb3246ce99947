/**
 * @file backends.h
 * Table of the back ends in the directory, with this gateway's active calls and idle connections
 * at each. Chooses the back end for a call.
 *
 * Choice (backend_choice.c): engines by core/routing/engine_choice.h, other back ends by
 * core/routing/service_choice.h. Back ends of the local zone are considered first, and all of them
 * only if none of those is suitable. Reports to other gateways cover only back ends with recent
 * activity, so that neither a choice nor a report scales with the whole directory.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_BACKENDS_H
#define RUDDERWAY_GATEWAY_BACKENDS_H

#include "cluster/service_directory.h"
#include "core/routing/ejection.h"
#include "core/retry/stall.h"
#include "core/routing/engine_choice.h"
#include "core/routing/engine_limit.h"
#include "core/routing/engine_baseline.h"
#include "core/routing/stream_versions.h"
#include "net/http_client.h"

enum {
    BACKEND_ID_BUCKETS = 1024, /**< Buckets for back ends by the low bits of their hash. */
    /** A connection that fails within this time was refused; a later failure is a timeout. */
    CONNECTION_REFUSED_WITHIN_MS = 100,
};

typedef struct {
    software_version_t version;
    unsigned backends;
} version_count_t;

/** The back ends of one service. */
typedef struct {
    GPtrArray *local;            /**< In the gateway's zone; of backend_t. */
    GPtrArray *remote;           /**< In other zones; of backend_t. */
    engine_baseline_t baseline;  /**< Running baseline of its turns; see engine_load.h. */
    unsigned with_start_time;    /**< Back ends that report a start time, except leaving ones. */
    unsigned without_start_time; /**< Back ends that report none, except leaving ones. */
    GArray *versions;            /**< Of version_count_t: software versions of its back ends. */
    software_version_t latest_version; /**< Of the back end added last. */
    uint64_t differed_at;              /**< When it last had back ends of two versions; 0: never. */
    uint64_t sample_counter;           /**< Seeds the random bits; incremented by each placement. */
} service_members_t;

typedef struct {
    backend_record_t *record;
    GPtrArray *list; /**< The list in service_members_t that contains it; NULL: removed. */
    guint list_index;
    bool local;      /**< In the gateway's zone. */
    gint references; /**< Of the table, and of the calls at this back end. */
    bool removed;    /**< Removed from the directory. */
    uint64_t
        expiry_grace_end;  /**< End of the grace period of an expired entry; 0: entry present. */
    uint64_t id_hash;      /**< Of the instance; its id in messages between gateways. */
    unsigned under_way;    /**< Active calls of this gateway. */
    unsigned suspects;     /**< Of these, requests under which back ends have ended. */
    unsigned peer_calls;   /**< Active calls of the other gateways, as last reported. */
    ejection_t ejection;   /**< After connection resets, here or at other gateways. */
    bool ejected_by_peers; /**< Ejected by reports of other gateways, at the latest check. */
    software_version_t version;
    uint64_t version_doubted_at; /**< See backend_version_certain; 0: never. */
    uint64_t
        replaced_from; /**< While in doubt: since when another process may serve; 0: unknown. */
    uint64_t version_updated_at; /**< When its entry last changed. */
    uint64_t added_at;           /**< When its entry appeared. */
    uint64_t survived_from;      /**< See backend_survival.h; 0: nothing is known. */
    uint64_t survived_until;
    uint64_t incarnation_id; /**< Hash of instance and start time; 0: it reports no start time. */
    uint64_t incarnation_since;      /**< When a restart was detected; 0: never. */
    struct incarnation_speed *speed; /**< See backend_speeds.h; NULL: not measured. */
    GQueue unanswered; /**< Pointers to send times of requests without a response, oldest first. */
    backend_activity_t observed;
    struct backend_check *probe;         /**< See backend_probe.h; NULL: none active. */
    struct process_check *process_check; /**< NULL: none active. */
    uint64_t probed_at;
    uint64_t unreachable_at; /**< When it was last found unreachable; 0: never. */
    engine_limit_t limit;    /**< Of an engine: load at which it refuses calls. */
    bool overdue;            /**< The oldest unanswered request was overdue at the latest check. */
    GPtrArray *idle;         /**< Idle connections, most recent last; of http_client_t. */
    uv_loop_t *loop;
    struct backends *owner;
} backend_t;

typedef struct backends {
    uv_loop_t *loop;
    char *zone;
    GHashTable *by_instance;                /**< Of backend_t. */
    GHashTable *by_hash;                    /**< Of backend_t. */
    GSList *by_id_bits[BACKEND_ID_BUCKETS]; /**< Of backend_t, by low bits of the hash. */
    GHashTable *by_service;                 /**< Name to service_members_t. */
    GHashTable *expired;   /**< Set of backend_t in the grace period after their entries expired. */
    GHashTable *to_report; /**< Set of backend_t that may have to be reported to other gateways. */
    GHashTable *reported_by_peers; /**< Set of backend_t that other gateways report now. */
    struct backend_speeds *speeds;
    uint64_t opened_at;
    uint64_t confirmed_at; /**< When the directory was last confirmed; 0: never. */
    uint64_t seed;         /**< Differs by gateway; see core/routing/service_choice.h. */
    uint64_t connections_opened;
    uint64_t changes; /**< Incremented when a call begins or ends. */
    /** Called when the process of a back end may have ended; NULL: nobody asks. */
    void (*on_process_doubted)(void *owner, backend_t *backend);
    /** Called when its entry has gone without the announcement of a stop; NULL: nobody asks. */
    void (*on_entry_gone)(void *owner, backend_t *backend);
    void *process_owner; /**< Of both. */
} backends_t;

typedef struct {
    const char *service;
    const GPtrArray *excluded;  /**< Back ends tried already; of backend_t. */
    unsigned slots;             /**< Default for engines that don't report theirs; 0: unknown. */
    software_version_t version; /**< Of the back ends to choose from; VERSION_ANY: all. */
    bool certain;               /**< With a version: only those whose version is certain. */
} backend_choice_t;

/** @p gateway: name of this gateway; seeds its order of otherwise equal back ends. */
void backends_init(backends_t *backends, uv_loop_t *loop, const char *zone, const char *gateway);
/** Frees the table; no back end may have an active call. */
void backends_clear(backends_t *backends);
/**
 * Adds a back end or replaces its record; takes ownership of @p record. If the back end has
 * restarted, all observations of its previous incarnation are discarded.
 */
void backends_update(backends_t *backends, backend_record_t *record);
void backends_remove(backends_t *backends, const char *instance);
/**
 * Its directory entry expired: keeps it until @p until, or removes it at once if it was leaving.
 * False if it was removed or is unknown.
 */
bool backends_expire_entry(backends_t *backends, const char *instance, uint64_t until);
/** Removes back ends whose entries were not restored in the grace period; returns their number. */
unsigned backends_remove_expired(backends_t *backends);
/** Removes all back ends whose instance is not in @p instances. */
void backends_retain(backends_t *backends, GHashTable *instances);
/** NULL if no back end has this hash. */
backend_t *backends_find_hash(const backends_t *backends, uint64_t id_hash);
unsigned backends_count(const backends_t *backends);

/** Concurrent calls of a back end; @p default_slots if it reports none, 0: unknown. */
unsigned backend_slots(const backend_t *backend, unsigned default_slots);
/** Puts in doubt the version of the back ends with these low bits of backend_t.id_hash. */
void backends_doubt_version(backends_t *backends, uint16_t id_bits);
/** Name of the software version in its entry; "-" if it names none. */
const char *backend_version_name(const backend_t *backend);
/** Speed in percent of the typical one of its service; 100 while there are too few samples. */
unsigned backend_speed(backend_t *backend);
/** Median response time of its service's plain calls, in ms; 0: unknown or not measured. */
unsigned backend_typical_answer_ms(const backend_t *backend);
/** True if it is unreachable, or a response is overdue and no bytes arrive for any call. */
bool backend_is_down(backend_t *backend);
/** True if the back end is ejected, down or overdue: chosen only if no other one is usable. */
bool backend_is_avoided(backend_t *backend);
/** True if so many back ends of @p service are down that the cause may be the network here. */
bool backends_mostly_unreachable(const backends_t *backends, const char *service);
/**
 * Fills @p senders with the back ends other than @p backend that last sent something and are not
 * down, latest first; returns their number, at most @p max.
 */
unsigned backends_latest_senders(const backends_t *backends, const backend_t *backend,
                                 backend_t **senders, unsigned max);
/** True if at least half of the slots of some back end are known to be occupied. */
bool backends_half_full(const backends_t *backends);

/** True if a back end other than @p backend can be chosen. */
bool backends_have_other(const backends_t *backends, const backend_choice_t *choice,
                         const backend_t *backend);
/** Chooses a back end, takes a reference and counts the call as active; NULL if there is none. */
backend_t *backends_choose(backends_t *backends, const backend_choice_t *choice);
/** Like backends_choose, for engines. */
backend_t *backends_choose_engine(backends_t *backends, const backend_choice_t *choice,
                                  const engine_request_t *request);
/**
 * Like backends_choose, for a request under which back ends have ended: a back end of any kind that
 * has no other such request and few calls. Requests that one back end took along part here, so that
 * only the one that is the cause meets the limit. @p request: breaks ties.
 */
backend_t *backends_choose_for_suspect(backends_t *backends, const backend_choice_t *choice,
                                       uint64_t request);
/** Takes a reference and counts a call as active. */
void backend_acquire(backend_t *backend);
/** Counts the call as ended and drops its reference. */
void backend_release(backend_t *backend);
/** Remaining ejection time to report to the other gateways, in ms; 0: not ejected. */
uint32_t backend_ejection_report_ms(backend_t *backend);
/**
 * A request was sent. @p sent_at must stay valid until the response begins or backend_request_ended
 * is called.
 */
void backend_request_sent(backend_t *backend, const uint64_t *sent_at);
/** The response to the request has begun. */
void backend_response_started(backend_t *backend, const uint64_t *sent_at);
/** The call stops waiting; no effect if the response has begun. */
void backend_request_ended(backend_t *backend, const uint64_t *sent_at);
/** Records evidence that the back end is down: a reset right after a send, or failed probes. */
void backend_record_reset(backend_t *backend);
/** Records that the back end sent bytes without end that are no answer; ejects it as a reset does.
 */
void backend_record_unsound(backend_t *backend);

/** Returns an idle connection, or else opens one; NULL if that fails. */
http_client_t *backend_connect(backends_t *backends, backend_t *backend);
/** Pools a new connection to the back end, or closes it. */
void backend_adopt_connection(backend_t *backend, http_client_t *client);
/** Takes a connection back: pools it if it is reusable, or else closes it. */
void backend_return_connection(backend_t *backend, http_client_t *client);

#endif
