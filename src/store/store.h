/**
 * @file store.h
 * A storage node: keeps turns and budgets on its disk, in one replica of the store group.
 *
 * Storage nodes do not talk to one another while all is well: the gateways write each record to
 * all members and count the copies. They talk only to catch up: after a lost disk, and when the
 * group changes.
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
#include "core/quorum/store_group.h"
#include "core/admission/admission_table.h"
#include "core/quota/quota_table.h"
#include "core/turns/record_clock.h"
#include "core/turns/room_holds.h"
#include "net/frame_connection.h"
#include "store/gateway_directory.h"
#include "store/program_places.h"
#include "store/record_log.h"

typedef struct store_catch_up store_catch_up_state_t;
typedef struct store_membership store_membership_t;
typedef struct store_directory store_directory_t;

typedef struct {
    uv_loop_t *loop;
    const process_settings_t *settings;
    record_log_t *log;
    record_clock_t clock; /**< By which turns and charges age; see store_time. */
    uint64_t expired_at;  /**< When they were last looked at for expired ones, by that clock. */
    turn_table_t turns;
    budget_table_t budgets;
    program_places_t places;
    quota_table_t quotas;          /**< This member's shares of the tenants' limits. */
    admission_table_t admissions;  /**< Programs of these tenants that have their home here. */
    uint64_t admissions_logged_at; /**< The second in which the latest were logged, */
    unsigned admissions_logged;    /**< and how many. */
    frame_listener_t *listener;
    GHashTable *connections;  /**< Opened by others: serial number to frame_connection_t. */
    uv_timer_t tell_gateways; /**< Runs while the list of gateways has changed. */
    gateway_directory_t gateways;
    store_group_t *group;  /**< The latest known; generation 0 if none. */
    bool group_durable;    /**< The state file holds that generation. */
    bool founding;         /**< This node's disk dates from the system's first start. */
    bool identity_durable; /**< The state file was written. */
    uint64_t complete_in;  /**< Generation in which this node is complete; 0: in none. */
    uint64_t started_at;
    uv_timer_t upkeep;
    bool stopping;
    latency_histogram_t write_latency; /**< From a write's arrival until it is on disk. */
    uint64_t writes_failed;
    uint64_t write_failed_at;    /**< When the latest of them was, loop time; 0: none has failed. */
    room_holds_t holds;          /**< For turns that have begun and have not come. */
    uint64_t turn_bytes_on_way;  /**< Of turns on their way to the disk. */
    uint64_t refused_for_room;   /**< Turns that had begun: memory or disk is nearly full. */
    uint64_t taken_beyond_share; /**< Turns that came when no more might begin. */
    uint64_t reserves_refused;   /**< Because charges and turns nearly fill the memory. */
    bool out_of_room;            /**< No turn may begin, as the last reserve was told. */
    uint64_t records_read;       /**< From the log, at the start. */
    uint64_t turns_copied;       /**< From other members. */
    uint64_t copy_looks;         /**< At ids of turns while copying. */
    store_catch_up_state_t *catch_up;
    store_membership_t *membership;
    store_directory_t *directory;
    unsigned state_writes; /**< Of the state file, on their way to the disk. */
} store_t;

enum {
    /** Charges are kept at least so long after their program's last call, in ms. */
    BUDGET_RETENTION_MS = 300000,
    /** Expired turns and charges are forgotten this often, in ms, also while the log is read. */
    STORE_UPKEEP_MS = 5000,
};

/**
 * store.c: reads the log, listens, and joins the group. Loop and settings are set before. False
 * and @p error if the folder can't be read or the address not be listened on.
 */
bool store_open(store_t *store, GError **error);
/** The time by which turns and charges age, in ms; see record_clock.h. */
uint64_t store_time(const store_t *store);
/** Forgets the turns and charges that have expired. */
void store_forget_expired(store_t *store);

/* store_state.c: what this node knows of itself and its group. */

/** Adopts a group if it is later than the one known, and tells all connections. */
void store_adopt_group(store_t *store, const store_group_t *group);
/** True if this node is a member that holds all that its group acknowledged. */
bool store_complete(const store_t *store);
bool store_is_member(const store_t *store);
/** Sets the generation in which this node is complete once that is on disk. */
void store_set_complete(store_t *store, uint64_t generation);
/** Writes the state file. */
void store_write_state(store_t *store);
/** True if no state file is on its way to the disk. */
bool store_state_settled(const store_t *store);
/** Restores identity and group from the state file; true if there was one. */
bool store_restore_state(store_t *store);
/** Sends the group to one connection. */
void store_send_group(store_t *store, frame_connection_t *connection);

/* store_requests.c: answers to gateways and other members. */

extern const frame_handler_t store_request_handler;
/** Memory that the buffers of all connections hold, in bytes. */
size_t store_buffer_bytes(const store_t *store);
/** Prepares the list of gateways. */
void store_requests_start(store_t *store);
/** Marks the log's time if a mark is due; before a record, and from time to time without any. */
void store_mark_time(store_t *store);
/** Appends a record that was copied from another member; @p done may be NULL. */
void store_append_copy(store_t *store, message_t *record, void (*done)(void *owner, bool durable),
                       void *owner);

/* store_room.c: whether there is room. */

/** True if one more turn may begin; logs that it may not, or may again. */
bool store_turn_may_begin(store_t *store);
/** True if a turn that has begun is to be taken, as nearly all are; counts it if not. */
bool store_takes_begun_turn(store_t *store);
/** True if a reserve may be taken: its call is known, or there is memory for it. */
bool store_takes_reserve(const store_t *store, const budget_charge_t *charge);
/** Bytes held for turns that have begun. */
uint64_t store_held_turn_bytes(const store_t *store);

/* store_index.c */

/** Answers a member that asks what differs from what it holds. */
void store_send_index(store_t *store, frame_connection_t *connection, const message_t *request);

/* store_replay.c */

/** Takes a record of the log into the tables. */
void store_replay(void *owner, uint32_t segment, const uint8_t *data, size_t length);

/* store_catch_up.c: becoming complete. */

store_catch_up_state_t *store_catch_up_new(store_t *store);
/** Looks again whether there is something to copy, and from whom. */
void store_catch_up_check(store_t *store);

/* store_metrics.c */

/** Serves the figures, if the settings name an address; false if it can't be listened on. */
bool store_open_metrics(store_t *store, metrics_page_t *page);

/* store_membership.c: the group in the key-value service. */

store_membership_t *store_membership_new(store_t *store);
/** Looks again whether the group should change. */
void store_membership_check(store_t *store);

#endif
