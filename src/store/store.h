/**
 * @file store.h
 * A storage node: persists turns and budgets on its disk as one replica of the store group.
 *
 * Gateways write each record to all members and count the acknowledgements. Storage nodes talk to
 * each other only to catch up: after the loss of a disk, when the group changes, and when one may
 * have missed records (core/quorum/reconciliation.h).
 *
 * Thread safety: everything belongs to the loop's thread; only record_log.c uses another.
 */
#ifndef RUDDERWAY_STORE_STORE_H
#define RUDDERWAY_STORE_STORE_H

#include "cluster/key_value_watch.h"
#include "cluster/message.h"
#include "cluster/metrics_page.h"
#include "cluster/process_settings.h"
#include "common/latency_histogram.h"
#include "core/quorum/reconciliation.h"
#include "core/quorum/store_group.h"
#include "core/admission/admission_table.h"
#include "core/quota/quota_table.h"
#include "core/turns/record_clock.h"
#include "core/turns/space_reservations.h"
#include "net/frame_connection.h"
#include "store/gateway_registry.h"
#include "core/retry/open_sends.h"
#include "core/routing/stream_versions.h"
#include "store/program_affinity.h"
#include "store/record_log.h"
#include "store/turn_spill.h"

typedef struct store_catch_up store_catch_up_state_t;
typedef struct store_membership store_membership_t;
typedef struct store_directory store_directory_t;

typedef struct {
    uv_loop_t *loop;
    const process_settings_t *settings;
    record_log_t *log;
    record_clock_t
        clock; /**< Determines the age of turns and charges; see store_expiry_clock_ms. */
    uint64_t last_expiry_at; /**< When expired records were last removed, by that clock. */
    turn_table_t turns;
    budget_table_t budgets;
    program_affinity_t affinity;
    crash_history_t *crashes;      /**< Reported by gateways; see store_crashes.h. */
    open_sends_t *sends;           /**< Registered by gateways. */
    GArray *replayed_crashes;      /**< Read from the log; NULL: none, or applied. */
    stream_versions_t streams;     /**< Reported by gateways; kept in memory only. */
    quota_table_t quotas;          /**< This member's shares of the tenants' limits. */
    admission_table_t admissions;  /**< Programs of these tenants that have their home here. */
    uint64_t admission_log_second; /**< Second in which the latest line was due. */
    unsigned admission_log_count;  /**< Lines due in that second, including suppressed ones. */
    frame_listener_t *listener;
    GHashTable *connections;       /**< Inbound; maps serial number to frame_connection_t. */
    uv_timer_t gateway_list_timer; /**< Active while changed gateway lists are to be sent. */
    gateway_registry_t gateways;
    store_group_t *group;  /**< Latest known group; generation 0 if none. */
    bool group_durable;    /**< The state file on disk holds this group. */
    bool founding;         /**< Disk in use since the system's first start; may found a group. */
    bool identity_durable; /**< The state file is on disk. */
    uint64_t
        complete_generation; /**< Generation whose acknowledged records this node holds; 0: none. */
    bool group_listed;       /**< Since the start, the key-value service has told the group. */
    uint64_t listed_generation; /**< What it told first; later groups are made since the start. */
    uint64_t joined_generation; /**< See store_group_catch_up; 0: none. */
    uint64_t started_at;
    uv_timer_t upkeep;        /**< Periodic expiry; the stop timeout once stopping. */
    uv_timer_t regular_check; /**< Periodic, so that a lag is logged before the write ends. */
    bool stopping;
    latency_histogram_t write_latency; /**< From receipt of a write until it is on disk. */
    uint64_t writes_failed;
    uint64_t last_write_failure_at;    /**< Loop time; 0: no write has failed. */
    space_reservations_t reservations; /**< Space for the turns of running calls. */
    GHashTable *pending_turns;         /**< Turns being written: id to the write. */
    uint64_t pending_turn_bytes;       /**< Size of the turns that are being written. */
    uint64_t spilled_turn_bytes;      /**< Of the turns in the table that the disk does not have. */
    turn_spill_t *spill;              /**< Turns that the disk does not finish in time. */
    uint64_t turns_refused_for_space; /**< Turns of running calls refused for lack of space. */
    uint64_t turns_accepted_over_limit; /**< Such turns accepted above the limits for new turns. */
    uint64_t reserves_refused;          /**< For lack of memory, or after a failed write. */
    bool disk_lagging;          /**< The last check found the disk behind; see store_disk_lag_ms. */
    bool out_of_space;          /**< The response to the last reserve allowed no new turn. */
    uint64_t records_replayed;  /**< From the log, at startup. */
    uint64_t turns_copied;      /**< From other members. */
    uint64_t charges_copied;    /**< From other members. */
    uint64_t copy_ids_examined; /**< Turn ids examined while copying. */
    reconciliation_t reconciliation;
    uint64_t reconciliations;            /**< Runs started. */
    uint64_t missing_ancestor_logged_at; /**< Loop time; 0: never. */
    store_catch_up_state_t *catch_up;
    store_membership_t *membership;
    store_directory_t *directory;
    bool state_write_pending;
    bool state_changed;           /**< Since the pending write began. */
    uint64_t reached_generation;  /**< To become complete_generation once written; 0: none. */
    uint64_t failed_state_writes; /**< Since the last one that succeeded. */
    uv_timer_t state_retry;       /**< Active after a failed write. */
} store_t;

enum {
    /** How long charges are kept after their program's last call. */
    BUDGET_RETENTION_MS = 300000,
    /** Charges are written again once the program's oldest record is as old as this. */
    BUDGET_REWRITE_AGE_MS = 60000,
    /** How long the log keeps a charge: its program may have another one just before it is due to
        be written again. */
    BUDGET_RECORD_RETENTION_MS =
        BUDGET_RETENTION_MS + BUDGET_REWRITE_AGE_MS + RECORD_MARK_INTERVAL_MS,
    /** Interval at which expired records are removed; in a replay, by the log's time marks. */
    STORE_UPKEEP_INTERVAL_MS = 5000,
};

/**
 * store.c: reads the log, listens, and joins the group. The caller sets loop and settings first.
 * Returns false and sets @p error if it cannot read the folder or listen on the address.
 */
bool store_open(store_t *store, GError **error);
/** Time in ms by which turns and charges expire; stops while the node is down (record_clock.h). */
uint64_t store_expiry_clock_ms(const store_t *store);
/** Removes expired turns and charges. */
void store_remove_expired(store_t *store);

/* store_state.c: persistent state of the node and its group. */

/** The key-value service has told the latest generation; only the first time matters. */
void store_record_listed(store_t *store, uint64_t generation);
/** Adopts a group if it is later than the current one, and sends it to all connections. */
void store_adopt_group(store_t *store, const store_group_t *group);
/** True if this node holds all records that its group has acknowledged. */
bool store_is_complete(const store_t *store);
/**
 * True if a turn that this node does not have was not acknowledged: it is complete, and has read
 * back the turns that it had confirmed before its disk had them.
 */
bool store_has_all_turns(const store_t *store);
bool store_is_member(const store_t *store);
/** Marks this node as complete in @p generation, effective once the state file is on disk. */
void store_set_complete_generation(store_t *store, uint64_t generation);
/** Call before any other function that writes the state. */
void store_state_init(store_t *store);
/** Writes the state file, asynchronously; repeats a write that fails. */
void store_write_state(store_t *store);
/** Restores identity and group from the state file; false if there is no valid one. */
bool store_restore_state(store_t *store);
/** Sends the group to one connection. */
void store_send_group(store_t *store, frame_connection_t *connection);

/* store_requests.c: requests of gateways and other members. */

extern const frame_handler_t store_request_handler;
extern const turn_spill_handler_t store_spill_handler;
/** Memory in the buffers of all connections, in bytes. */
size_t store_connections_buffer_bytes(const store_t *store);
/** Appends a record to the log, after a time mark if one is due; takes over @p record. */
void store_append_record(store_t *store, GBytes *record, record_log_done_t done, void *owner);
/** Appends a time mark to the log if one is due. */
void store_append_time_mark(store_t *store);
/** Appends a record that was copied from another member; @p done may be NULL. */
void store_append_copy(store_t *store, message_t *record, void (*done)(void *owner, bool durable),
                       void *owner);

/* store_space.c: admission by free space. */

/** True if there is space for one more turn; logs each change of the result. */
bool store_can_start_turn(store_t *store);
/** As store_can_start_turn(), for a turn that is known to be large and has its reservation. */
bool store_can_start_large_turn(store_t *store);
/** True if there is space for the turn of a running call; counts turns refused or over limit. */
bool store_accept_started_turn(store_t *store);
/** True if the charge's call is recorded already, or there is memory and no recent write failed. */
bool store_can_accept_reserve(const store_t *store, const budget_charge_t *charge);
/**
 * How long the disk has not finished a write, in ms; 0 if too short to matter for calls. Logs when
 * a lag begins or ends.
 */
uint32_t store_disk_lag_ms(store_t *store);
/** Bytes reserved for the turns of running calls. */
uint64_t store_reserved_turn_bytes(const store_t *store);

/* store_index.c: comparison of records during catch-up. */

/** Sends a page of the turn ids and charges in the digest buckets that differ from the sender's. */
void store_send_index(store_t *store, frame_connection_t *connection, const message_t *request);

/* store_turn_reads.c */

/** Sends a turn and its ancestors, or the first of them. */
void store_send_chain(const store_t *store, frame_connection_t *connection,
                      const message_t *request);
/** Sends the requested turns that are here, or the first of them. */
void store_send_turns(const store_t *store, frame_connection_t *connection,
                      const message_t *request);

/* store_replay.c */

/** Applies a record of the log to the tables. */
void store_replay(void *owner, uint32_t segment, const uint8_t *data, size_t length);

/* store_catch_up.c: copying of missing records from other members. */

store_catch_up_state_t *store_catch_up_new(store_t *store);
/** Re-evaluates what has to be copied, and from which members. */
void store_catch_up_check(store_t *store);
/** Requests a comparison with other members, since this node may lack records. */
void store_request_reconciliation(store_t *store, reconcile_reason_t reason);

/* store_metrics.c */

/** Serves metrics if the settings name an address; false if it cannot listen on it. */
bool store_serve_metrics(store_t *store, metrics_page_t *page);

/* store_membership.c: the group in the key-value service. */

store_membership_t *store_membership_new(store_t *store);
/** Re-evaluates whether the group should change. */
void store_membership_check(store_t *store);

#endif
