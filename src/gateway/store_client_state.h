/**
 * @file store_client_state.h
 * Private state shared by store_client.c (members and their links), store_operation.c (quorum
 * operations), store_health.c (unresponsive members, isolation of the zone) and store_lag.c (slow
 * disks).
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STORE_CLIENT_STATE_H
#define RUDDERWAY_GATEWAY_STORE_CLIENT_STATE_H

#include "core/budget/budget_decision.h"
#include "core/isolation/zone_isolation.h"
#include "gateway/store_client.h"
#include "gateway/store_link.h"

typedef struct {
    store_client_t *client;
    store_link_t *link;
    GPtrArray *backlog;        /**< Settlements for a disconnected member; of GBytes. */
    zone_member_t observation; /**< Input of the isolation check. */
    uint64_t lagging_since;    /**< Start of a write that its disk has not finished; 0: none. */
    uint64_t lag_number; /**< Number of the response that follows the latest lag report; 0: none is
                            due. */
} member_t;

struct store_client {
    uv_loop_t *loop;
    char *zone;
    char *own_address;
    const store_client_handler_t *handler;
    void *owner;
    store_group_t *group;
    GPtrArray *members;     /**< Of member_t, those of the local zone first. */
    GHashTable *operations; /**< Number to store_operation_t. */
    uint64_t last_number;
    uv_timer_t reconnect_timer;
    unsigned links_opened;
    unsigned directory_requests;
    bool unresponsive;            /**< No quorum of the connected members responds. */
    unsigned unresponsive_checks; /**< Failed checks in a row. */
    bool isolation_enabled;       /**< See store_client_enable_isolation_check. */
    zone_isolation_t isolation;
    uint64_t suspected_at; /**< When another gateway reported a lost quorum; 0: not suspected. */
    uv_timer_t check_timer;
    bool check_scheduled;      /**< check_timer is active. */
    uint64_t lag_probed_at;    /**< When a call was last let through although disks lag. */
    memory_account_t *account; /**< For requests that wait to be sent; NULL: they don't count. */
};

/**
 * One member's reply to an operation. UNSURE: the member is not complete in the operation's
 * generation, or is in another one; in durable_replies, it stored the record but is not complete.
 */
typedef enum { REPLY_NONE, REPLY_YES, REPLY_NO, REPLY_UNSURE } reply_t;

struct store_operation {
    store_client_t *client;
    uint64_t number;
    message_t request;
    GBytes *payload; /**< The encoded request, for all members; NULL: not encoded since a change. */
    uv_timer_t timer;
    uint64_t started_at;
    uint64_t requested_at; /**< When the requests whose replies are counted were sent. */
    uint64_t expires_at;   /**< When the operation fails if it is not durable. */
    uint64_t in_reach_at;  /**< When there were last members to wait for; 0: never. */
    bool confirming;       /**< The requests were sent again because a quorum replied too late. */
    uint64_t generation;   /**< Generation whose replies are counted. */
    reply_t *verdicts;     /**< By member. */
    reply_t *durable_replies;
    uint64_t budget;               /**< Of a reserve: the program's budget in tokens. */
    budget_summary_t *summaries;   /**< By member; from its reserve reply. */
    bool reading_charges;          /**< The summaries did not decide; charges were requested. */
    reply_t *charge_replies;       /**< By member. */
    budget_table_t merged_charges; /**< Of all charge replies. */
    bool stores_turn;              /**< Of a reserve: the turn will be stored. */
    GBytes *turn_size;      /**< Of a reserve: announces a large turn; NULL: it is not large. */
    reply_t *space_replies; /**< By member: whether it has space, on a disk that works. */
    uint64_t last_engine;   /**< Hash of the back end last used; 0: unknown. */
    bool granted;
    bool fanned_out; /**< Of a chain: sent to all members, not only the first. */
    const store_operation_handler_t *handler;
    void *owner;
};

/* store_client.c */

/** Index of @p member in client->members. */
unsigned store_client_member_index(const store_client_t *client, const member_t *member);

/* store_health.c */

void store_health_init(store_client_t *client);
/** Periodic check for unresponsive members, every RECONNECT_INTERVAL_MS. */
void store_health_check(store_client_t *client);
/** Probes a member whose link opened, if isolation is checked. */
void store_health_on_link_open(const store_client_t *client, const member_t *member);
/** Records that a message of @p type arrived; only responses count. */
void store_health_record_response(member_t *member, message_type_t type);
/** Schedules an isolation check for a new operation, if isolation is checked. */
void store_health_on_operation_start(store_client_t *client);
/** True if @p member is connected and, if isolation is checked, has sent a message on its link. */
bool store_health_is_connected(const store_client_t *client, const member_t *member);

/* store_lag.c */

/** Records what a message of the member says of its disk. */
void store_lag_record(member_t *member, const message_t *message);
/** True if the member's disk is not expected to finish a write by @p deadline, in loop time. */
bool store_lag_outlasts(const member_t *member, uint64_t deadline);

/* store_operation.c */

/** Ends all operations without a verdict as unsure; writes of turns continue. */
void store_operation_end_undecided(store_client_t *client);

/** True if the operation still needs a reply of the member at @p index. */
bool store_operation_awaits(const store_operation_t *operation, unsigned index);
/** Sends the operation's request to @p member if it is connected. */
void store_operation_send(store_operation_t *operation, const member_t *member);
/** Discards all replies and sends the request again in the group's current generation. */
void store_operation_restart(store_operation_t *operation);
/** Processes a member's response; false if it belongs to no operation. */
bool store_operation_take_answer(const member_t *member, const message_t *message);

#endif
