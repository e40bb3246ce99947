/**
 * @file store_client_state.h
 * What store_client.c (members and their links), store_operation.c (operations and their quorums)
 * and store_silence.c (members that fall silent) share. For these only.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STORE_CLIENT_STATE_H
#define RUDDERWAY_GATEWAY_STORE_CLIENT_STATE_H

#include "core/budget/budget_decision.h"
#include "core/isolation/zone_silence.h"
#include "gateway/store_client.h"
#include "gateway/store_link.h"

typedef struct {
    store_client_t *client;
    store_link_t *link;
    GPtrArray *backlog;  /**< Settlements for a member that is away; of GBytes. */
    zone_member_t signs; /**< What was heard of it. */
} member_t;

struct store_client {
    uv_loop_t *loop;
    char *zone;
    char *own_address;
    const store_client_handler_t *handler;
    void *owner;
    store_group_t *group;
    GPtrArray *members;     /**< Of member_t, those of the zone first. */
    GHashTable *operations; /**< Number to store_operation_t. */
    uint64_t last_number;
    uv_timer_t reconnect;
    unsigned links_opened;
    unsigned directory_asks;
    bool silent; /**< Too few members answer, although they are connected. */
    unsigned silent_rounds;
    bool watches_zone; /**< See store_client_watch_zone. */
    zone_silence_t zone_silence;
    uint64_t doubted_at; /**< A neighbour's word that no quorum answered; 0: none to look into. */
    uv_timer_t look;
    bool look_due; /**< The timer runs. */
};

/** What one member said of an operation. */
typedef enum { SAID_NOTHING, SAID_YES, SAID_NO, SAID_UNSURE } said_t;

struct store_operation {
    store_client_t *client;
    uint64_t number;
    message_t request;
    uv_timer_t timer;
    uint64_t begun_at;
    uint64_t generation; /**< In which the answers were given. */
    said_t *verdicts;    /**< By member. */
    said_t *durables;
    uint64_t budget;             /**< Of a reserve: the program's, in tokens. */
    budget_summary_t *summaries; /**< By member, of those that took the reserve. */
    bool reading_charges;        /**< The summaries differ: the charges are being read. */
    said_t *charges_read;        /**< By member. */
    budget_table_t joined;       /**< The charges that were read. */
    bool keeps;                  /**< Of a reserve: of a turn that is to be kept. */
    said_t *rooms;               /**< By member: whether it has room for that. */
    uint64_t place;              /**< Where the program last ran; 0: unknown. */
    bool granted;
    bool widened; /**< A chain: all members are asked, not just the nearest. */
    const store_operation_handler_t *handler;
    void *owner;
};

/* store_client.c */

/** Where @p member stands among the client's. */
unsigned store_client_member_index(const store_client_t *client, const member_t *member);

/* store_silence.c */

/** Prepares the looks; once, with the client. */
void store_silence_init(store_client_t *client);
/** Every RECONNECT_MS: while an operation waits, a quorum must be heard of. */
void store_silence_upkeep(store_client_t *client);
/** A link opened: a member is connected once it has said something. */
void store_silence_link_opened(const store_client_t *client, const member_t *member);
/** A member has answered something. */
void store_silence_note_answer(member_t *member, message_type_t type);
/** An operation begins, that may come to wait in vain. */
void store_silence_note_operation(store_client_t *client);
/** True if @p member is connected; while the zone is watched, and heard of as well. */
bool store_silence_counts(const store_client_t *client, const member_t *member);

/* store_operation.c */

/** Ends, as unsure, all operations whose call has not been let go. */
void store_operation_end_undecided(store_client_t *client);

/** True if the member at @p index should get the operation's request. */
bool store_operation_wants(const store_operation_t *operation, unsigned index);
/** Sends the request to a member that is connected. */
void store_operation_send(store_operation_t *operation, const member_t *member);
/** Begins an operation again in the group's present generation. */
void store_operation_restart(store_operation_t *operation);
/** Takes a member's answer; false if it is to none of the operations. */
bool store_operation_take_answer(const member_t *member, const message_t *message);

#endif
