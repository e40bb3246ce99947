/**
 * @file gateway.h
 * A gateway: takes calls, sends each to a back end, and gives the answer back. It keeps nothing
 * that must outlive it.
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
#include "core/retry/answer_time.h"
#include "core/retry/outage.h"
#include "core/retry/retry_budget.h"
#include "gateway/backends.h"
#include "gateway/chain_cache.h"
#include "gateway/directory_feed.h"
#include "gateway/directory_follow.h"
#include "gateway/load_sharing.h"
#include "gateway/quota_client.h"
#include "gateway/silence_watch.h"
#include "gateway/store_client.h"
#include "gateway/store_relay.h"
#include "net/http_listener.h"

/** Kinds of calls (call_kind_t) that have a latency histogram of their own. */
enum { GATEWAY_CALL_KINDS = CALL_STREAM + 1 };

/**
 * After a zone was found cut off, until its callers are led elsewhere, in ms: a gateway is asked
 * every second whether it is ready, and taken out after two misses; the zone's callers are led
 * elsewhere once its last gateway is out, and that one may notice a little later than this one.
 */
enum { GATEWAY_LED_ELSEWHERE_MS = 2100 };

typedef struct {
    uint64_t calls;
    uint64_t answered; /**< With a back end's answer. */
    uint64_t refused;  /**< Not run, and said so. */
    uint64_t failed;   /**< By 502, 504 or a cut connection. */
    uint64_t callers_gone;
    uint64_t sends;
    uint64_t sent_again;
    uint64_t sent_same; /**< To the same back end once more. */
    uint64_t turns_kept;
    uint64_t turns_not_kept;
    uint64_t over_budget;
    uint64_t entries_rejected; /**< Of the directory, that name no back end to use. */
    uint64_t over_quota;
    uint64_t programs_not_begun; /**< Of these, first calls that the program's home refused. */
    uint64_t begun_over_quota;   /**< Of these, calls that showed that their program had begun. */
    uint64_t refused_zone_cut;   /**< Refused while the zone was cut off. */
    uint64_t chain_reads;
    uint64_t engines_new;     /**< Turns placed by cost, of programs without an engine, */
    uint64_t engines_kept;    /**< at their engine, */
    uint64_t engines_moved;   /**< and at another one. */
    uint64_t engines_full;    /**< Not sent: all engines were full. */
    uint64_t engines_refused; /**< Turned away by an engine. */
    latency_histogram_t latency[GATEWAY_CALL_KINDS];
} gateway_counters_t;

typedef struct {
    uv_loop_t *loop;
    const process_settings_t *settings;
    http_listener_t *calls;
    http_listener_t *readiness;
    metrics_page_t metrics;
    directory_configuration_t *configuration; /**< In force; NULL: none is known. */
    backends_t backends;
    bool backends_listed;
    store_client_t *stores;
    quota_client_t *quotas; /**< Tenants' limits. */
    store_relay_t *relay;
    load_sharing_t *load_sharing;
    chain_cache_t chains;
    silence_watch_t silence_watch;
    GHashTable *answer_times;   /**< Route name to answer_time_t, of calls that may run again. */
    retry_budget_t late_budget; /**< Bounds the calls sent again because an answer is late. */
    GHashTable *split_credits;  /**< Route name to what each part is owed; see split.h. */
    key_value_watch_t *watch;
    key_value_watch_t *group_watch; /**< Of the store group alone, at a start; NULL: none. */
    directory_feed_t *feed;         /**< Gateways that follow this one's view. */
    directory_follow_t *follow;     /**< The gateway whose view this one follows. */
    directory_snapshot_t snapshot;  /**< Of what the watch has shown. */
    GBytes *group;                  /**< The store group as last seen there; NULL: never. */
    bool directory_confirmed;       /**< The key-value service has shown it, not a storage node. */
    GArray *sources;           /**< Of struct sockaddr_in: gateways of the root cell to follow. */
    unsigned sources_tried;    /**< Counts attempts to follow one of them. */
    unsigned sources_failed;   /**< Attempts in a row that came to nothing. */
    uint64_t gateways_told_at; /**< When storage nodes first told of other gateways; 0: never. */
    uint64_t offered_revision; /**< Of the snapshot that storage nodes were last offered. */
    uint64_t offered_at;
    unsigned offered_links;          /**< Links that had opened by then. */
    uint64_t kept_at;                /**< When a storage node's directory was taken; 0: never. */
    uint32_t listing_spread_ms;      /**< Drawn; see listing_turn.h. */
    uint64_t offers_directory_since; /**< Since when it has to offer it to storage nodes; 0: not. */
    bool on_duty;                    /**< It has to watch the key-value service itself. */
    bool patient;                    /**< Enough others ask whether the service is back. */
    bool reports_seen;               /**< Other gateways are known. */
    uint64_t directory_asked_at;     /**< When storage nodes were last asked for it; 0: never. */
    uv_timer_t directory_timer;
    watch_state_t watch_state; /**< Of the duty that gateways share. */
    gateway_counters_t counters;
    uint64_t started_at;
    bool stores_reached;   /**< A quorum of them has been connected. */
    outage_t store_outage; /**< Storage nodes can't answer for budgets or turns. */
    bool key_value_reachable;
    bool key_value_failed;      /**< It was asked, and did not answer. */
    uint64_t key_value_back_at; /**< When it answered again after that; 0: never. */
    uint64_t stores_lost_at;    /**< Since when no quorum of storage nodes answers; 0: one does. */
    bool others_have_stores;    /**< Another gateway reaches storage nodes. */
    unsigned peers_without_stores; /**< Other gateways that said lately that they reach none. */
    outage_t configuration_outage; /**< No configuration is known yet. */
    uint64_t zone_cut_since;       /**< Since when the zone is cut off; 0: it is not. */
    uv_timer_t led_elsewhere;      /**< Runs while the zone is cut off; see isolation.c. */
    bool ready;
    bool stopping;
    bool refusing; /**< The stop has gone so far that a new call might not end in time. */
    uint64_t stopping_since;
    uv_timer_t upkeep;
} gateway_t;

/** Takes a whole call; see call.c. */
extern const http_listener_handler_t call_listener_handler;

/** directory_duty.c: prepares what gateways pass on; before the peer address is listened on. */
void gateway_open_directory(gateway_t *gateway);
/** Follows configuration, back ends and the store group; see directory_watch.c. */
void gateway_watch_directory(gateway_t *gateway);
/** Who watches and who follows; see directory_duty.c. */
extern const load_sharing_handler_t gateway_watch_sharing;
/** Takes over an item of the key-value service, seen by whichever way. */
void gateway_take_item(gateway_t *gateway, const key_value_item_t *item);
/** Drops all items whose keys are not in the set @p keys. */
void gateway_retain_items(gateway_t *gateway, GHashTable *keys);
/** The whole view has come, from the service or from a gateway that watches it. */
void gateway_note_listed(gateway_t *gateway);
/**
 * True if the key-value service, or a gateway that watches it, has shown lately that what is known
 * here is in force.
 */
bool gateway_directory_current(const gateway_t *gateway);
/** How long ago the key-value service confirmed what is known here, in ms; UINT32_MAX: unknown. */
uint32_t gateway_directory_age(const gateway_t *gateway);
/** Takes a directory that a storage node kept, if the key-value service has shown none yet. */
void gateway_take_directory(void *owner, GBytes *bytes);
/** The directory as storage nodes may keep it; NULL: it is not confirmed. */
GBytes *gateway_read_directory(void *owner, uint64_t *revision);
/** directory_duty.c: the gateways to know, and those of the root cell, from a storage node. */
void gateway_take_gateways(void *owner, const GPtrArray *addresses, const GPtrArray *sources);
/**
 * True if the gateway's zone is cut off, or if this gateway reaches no quorum of storage nodes, and
 * either others do or the key-value service is out of its reach as well: then others can serve.
 */
bool gateway_isolated(const gateway_t *gateway);
/** isolation.c: finds out whether the zone is cut off, if the settings ask for it. */
void gateway_watch_zone(gateway_t *gateway);
/** The zone was found cut off, or no longer is: all that depends on it learns of it at once. */
void gateway_note_zone_cut(void *owner, bool cut);
/** Says whether the gateway is ready if that has changed. */
void gateway_check_ready(gateway_t *gateway);
/** Serves readiness and metrics; see reports.c. False if an address can't be listened on. */
bool gateway_open_reports(gateway_t *gateway);

#endif
