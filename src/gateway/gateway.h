/**
 * @file gateway.h
 * State of a gateway process: it accepts calls, forwards each to a back end and returns the
 * response. It holds no durable state.
 *
 * Thread safety: everything belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_GATEWAY_H
#define RUDDERWAY_GATEWAY_GATEWAY_H

#include "cluster/directory_snapshot.h"
#include "cluster/key_value_watch.h"
#include "cluster/metrics_page.h"
#include "cluster/process_settings.h"
#include "cluster/service_directory.h"
#include "common/latency_histogram.h"
#include "common/memory_account.h"
#include "core/retry/answer_time.h"
#include "core/retry/outage.h"
#include "core/retry/retry_budget.h"
#include "core/shutdown/shutdown_schedule.h"
#include "gateway/backends.h"
#include "gateway/chain_cache.h"
#include "gateway/crash_watch.h"
#include "gateway/directory_feed.h"
#include "gateway/directory_follow.h"
#include "gateway/load_sharing.h"
#include "gateway/quota_client.h"
#include "gateway/send_registry.h"
#include "gateway/stall_watch.h"
#include "gateway/store_client.h"
#include "gateway/store_relay.h"
#include "gateway/stream_client.h"
#include "net/http_listener.h"

/** Kinds of calls (call_kind_t) that have a latency histogram of their own. */
enum { GATEWAY_CALL_KINDS = CALL_STREAM + 1 };

/**
 * Time from the detection of the zone's isolation until its callers are redirected, in ms.
 * Readiness is checked once a second, and a gateway is taken out of rotation after two failed
 * checks; callers are redirected once the zone's last gateway is out, which may detect the
 * isolation slightly later than this one.
 */
enum { GATEWAY_REDIRECT_DELAY_MS = 2100 };

typedef struct {
    uint64_t calls;
    uint64_t answered; /**< With a back end's response. */
    uint64_t refused;  /**< Not run, and reported as such. */
    uint64_t failed;   /**< With 502, 504 or an aborted connection. */
    uint64_t callers_gone;
    uint64_t callers_input_ended; /**< Ended their side before their answer ended. */
    uint64_t sends;
    uint64_t sent_again;
    uint64_t sent_same; /**< Resent to the same back end. */
    uint64_t turns_kept;
    uint64_t turns_not_kept;
    uint64_t over_budget;
    uint64_t entries_rejected; /**< Directory entries that name no usable back end. */
    uint64_t over_quota;
    uint64_t programs_not_begun; /**< Of over_quota: first calls that the program's home refused. */
    uint64_t begun_over_quota;   /**< Of over_quota: calls of programs proven to have started. */
    uint64_t refused_zone_cut;   /**< Refused while the zone was isolated. */
    uint64_t stopped;            /**< Not sent: too many back ends ended under the request. */
    uint64_t chain_reads;
    uint64_t engines_new;     /**< Turns placed by cost, of programs without an engine. */
    uint64_t engines_kept;    /**< Turns placed by cost at the program's engine. */
    uint64_t engines_moved;   /**< Turns placed by cost at another engine than the program's. */
    uint64_t engines_full;    /**< Turns not sent because all engines were full. */
    uint64_t engines_refused; /**< Turns refused by an engine. */
    latency_histogram_t latency[GATEWAY_CALL_KINDS];
} gateway_counters_t;

typedef struct {
    uv_loop_t *loop;
    const process_settings_t *settings;
    memory_account_t memory;   /**< All that callers make the process hold; see main.c. */
    uint64_t memory_logged_at; /**< Loop time of the latest GATEWAY_MEMORY_SHORT. */
    http_listener_t *calls;
    http_listener_t *readiness;
    metrics_page_t metrics;
    directory_configuration_t *configuration; /**< In force; NULL: none received yet. */
    backends_t backends;
    bool backends_listed;
    store_client_t *stores;
    quota_client_t *quotas; /**< Tenants' limits. */
    store_relay_t *relay;
    load_sharing_t *load_sharing;
    crash_watch_t *crashes;
    stream_client_t *streams;
    send_registry_t *sends;
    chain_cache_t chains;
    stall_watch_t stall_watch;
    GHashTable *answer_times;   /**< Route name to answer_time_t, of repeatable calls. */
    retry_budget_t late_budget; /**< Limits the calls resent because their response is late. */
    GHashTable *split_state;    /**< Route name to the state of its traffic split; see split.h. */
    key_value_watch_t *watch;
    key_value_watch_t *group_watch; /**< Of the store group's key, at startup; NULL: none. */
    directory_feed_t *feed;         /**< Forwards the directory to gateways that follow this one. */
    directory_follow_t *follow;     /**< Receives the directory from another gateway. */
    directory_snapshot_t snapshot;  /**< Contents of the directory as received. */
    GBytes *group;            /**< Latest store group in the directory; NULL: none received. */
    bool directory_confirmed; /**< Received from the key-value service, not a storage node. */
    GArray *sources;          /**< Of struct sockaddr_in: gateways of the root cell to follow. */
    unsigned sources_tried;   /**< Number of attempts to follow one of them. */
    unsigned sources_failed;  /**< Consecutive failed attempts. */
    uint64_t gateways_received_at; /**< When storage nodes first listed other gateways; 0: never. */
    uint64_t offered_revision;     /**< Of the snapshot last offered to storage nodes. */
    uint64_t offered_at;
    unsigned offered_links;     /**< Links to storage nodes opened by the time of that offer. */
    uint64_t view_received_at;  /**< When a storage node's directory was applied; 0: never. */
    uint32_t listing_jitter_ms; /**< Chosen at random; see listing_schedule.h. */
    uint64_t offers_directory_since; /**< Start of its offers to storage nodes; 0: none. */
    bool renewing;                   /**< This gateway watches the key-value service itself. */
    bool
        slow_retry; /**< Enough other gateways retry the key-value service; this one rarely does. */
    bool peers_seen;                 /**< Other gateways are known. */
    uint64_t directory_requested_at; /**< Latest request to storage nodes; 0: never. */
    uv_timer_t directory_timer;
    watch_state_t watch_state; /**< Of the watch role that gateways share. */
    gateway_counters_t counters;
    GQueue active_calls; /**< Of call_t, in order of arrival. */
    uint64_t started_at;
    bool stores_reached;   /**< A quorum has been connected, or was awaited long enough. */
    outage_t store_outage; /**< Storage nodes can't respond for budgets or turns. */
    bool key_value_reachable;
    bool key_value_failed; /**< The key-value service did not respond to its latest request. */
    uint64_t key_value_recovered_at;   /**< When it responded again after failing; 0: never. */
    uint64_t stores_unreachable_since; /**< Since when no quorum of storage nodes responds; 0: one
                                          does. */
    bool peers_reach_stores;           /**< Another gateway reaches storage nodes. */
    unsigned peers_without_stores;     /**< Other gateways that recently reported reaching none. */
    outage_t configuration_outage;     /**< No configuration has been received yet. */
    uint64_t zone_isolated_since;      /**< Since when the zone is isolated; 0: it is not. */
    uv_timer_t idle_close_timer;       /**< Active while the zone is isolated; see isolation.c. */
    bool ready;
    bool stopping;
    uint64_t stopping_since;
    shutdown_schedule_t shutdown;
    uv_timer_t stop_timer;
} gateway_t;

/** Handles a complete call request; see call.c. */
extern const http_listener_handler_t call_listener_handler;

/** directory_role.c: initializes directory forwarding; called before the peer address listens. */
void gateway_init_directory(gateway_t *gateway);
/** Follows configuration, back ends and the store group; see directory_watch.c. */
void gateway_watch_directory(gateway_t *gateway);
/** Callbacks for watch reports, from which the watch role is assigned; see directory_role.c. */
extern const load_sharing_handler_t gateway_load_sharing_handler;
/** Applies an item of the key-value service, from any source. */
void gateway_apply_item(gateway_t *gateway, const key_value_item_t *item);
/** Removes the directory items whose keys are not in the set @p keys. */
void gateway_retain_items(gateway_t *gateway, GHashTable *keys);
/** Called when the complete directory was received from the service or another gateway. */
void gateway_on_directory_complete(gateway_t *gateway);
/**
 * True if the key-value service, or a gateway that watches it, has recently confirmed the local
 * view.
 */
bool gateway_directory_current(const gateway_t *gateway);
/** Time since the key-value service confirmed the local view, in ms; UINT32_MAX: unknown. */
uint32_t gateway_directory_age(const gateway_t *gateway);
/** Tells the table of back ends when the key-value service last confirmed it. */
void gateway_update_confirmation(gateway_t *gateway);
/** Applies a directory kept by a storage node, unless the key-value service has provided one. */
void gateway_apply_stored_directory(void *owner, GBytes *bytes);
/** The encoded directory for storage nodes to keep; NULL: it is not confirmed. */
GBytes *gateway_encode_directory(void *owner, uint64_t *revision);
/** directory_role.c: updates peers and root-cell gateways from a storage node's list. */
void gateway_update_peers(void *owner, const GPtrArray *addresses, const GPtrArray *sources);
/**
 * True if calls should go to other gateways: the zone is isolated; or this gateway reaches no
 * quorum of storage nodes, and either another gateway reaches storage nodes or this one can't reach
 * the key-value service either.
 */
bool gateway_isolated(const gateway_t *gateway);
/** isolation.c: detects isolation of the zone, if the settings enable it. */
void gateway_watch_isolation(gateway_t *gateway);
/** Applies a change of the isolation of the zone: readiness, peers and connections of callers. */
void gateway_on_zone_isolation(void *owner, bool isolated);
/** Recomputes readiness and logs a change. */
void gateway_check_ready(gateway_t *gateway);
/** Serves readiness and metrics; see reports.c. False if an address can't be listened on. */
bool gateway_open_reports(gateway_t *gateway);

#endif
