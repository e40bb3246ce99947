/**
 * @file store_client.h
 * A gateway's client of the storage nodes: connections to all members of the store group, and
 * quorum operations over them.
 *
 * Writes are sent to every member, and again to a member that reconnects. A verdict is given within
 * GATEWAY_OPERATION_TIMEOUT_MS. A write waits for the disks of members in reach as long as
 * its caller does, and that of a turn also for members that restart, but replies count only if they
 * arrive within GATEWAY_OPERATION_TIMEOUT_MS of their requests: an older one may be of a member
 * that has lost its disk and caught up since. This timeout must therefore stay below
 * EMPTY_DISK_WAIT_MS of store/store_catch_up.c, the delay before a member with an empty disk
 * catches up. If a quorum replies later, the members are asked again; those that still have the
 * record reply without writing it again.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STORE_CLIENT_H
#define RUDDERWAY_GATEWAY_STORE_CLIENT_H

#include "cluster/message.h"
#include "common/memory_account.h"
#include "core/quorum/store_group.h"

#include <uv.h>

/** Timeout of a verdict, and maximum age of replies that are counted. */
enum { GATEWAY_OPERATION_TIMEOUT_MS = 1500 };

/** Members that keep in memory what gateways report under a key; all but one may be lost. */
enum { STORE_KEY_MEMBERS = 3 };

typedef struct store_client store_client_t;
typedef struct store_operation store_operation_t;

/** Receives the results of an operation. */
typedef struct {
    /**
     * Result of store_client_reserve (granted, refused or unsure) or of store_client_read_chain
     * (found, with @p turns; not found; unsure). Unsure: no quorum decided in time, the zone became
     * isolated or, for a reserve, too many members lack space. Ends the operation, except for a
     * granted reserve.
     */
    void (*on_verdict)(void *owner, verdict_t verdict, const GArray *turns);
    /**
     * Whether a granted reserve or a turn became durable; false on a timeout, if too many members
     * refused the turn, or if the budget no longer covers a reserve that became durable late. Ends
     * the operation.
     */
    void (*on_durable)(void *owner, bool durable);
} store_operation_handler_t;

typedef struct {
    /** Addresses of the known gateways, and of those whose directory may be followed. */
    void (*on_gateways)(void *owner, const GPtrArray *addresses, const GPtrArray *sources);
    /** A member sent its directory snapshot; see store_client_request_directory. */
    void (*on_directory)(void *owner, GBytes *snapshot);
    /**
     * Encodes the directory to be sent to a storage node and sets @p revision; the caller
     * unreferences the result. NULL: no directory.
     */
    GBytes *(*encode_directory)(void *owner, uint64_t *revision);
    /** Finds a gateway that may reach members that this one does not; false: none. May be NULL. */
    bool (*find_relay)(void *owner, struct sockaddr_in *address);
    /** A response to a request of store_client_send_member. */
    void (*on_answer)(void *owner, unsigned member, const message_t *message);
    /** The isolation of the zone began or ended; see store_client_enable_isolation_check. May be
     * NULL. */
    void (*on_zone_isolation)(void *owner, bool isolated);
    /** A connection to a member has opened. May be NULL. */
    void (*on_member_open)(void *owner, unsigned member);
} store_client_handler_t;

/** @p own_address is sent to the members, which announce it to other gateways. */
store_client_t *store_client_new(uv_loop_t *loop, const char *zone, const char *own_address,
                                 const store_client_handler_t *handler, void *owner);
/** Counts requests until they are sent in @p account, which outlives the client. */
void store_client_set_account(store_client_t *client, memory_account_t *account);
/** Requests the directory from connected members in rotation; false if none is connected. */
bool store_client_request_directory(store_client_t *client);
/** Announces to the members that this gateway has the directory up to @p revision. */
void store_client_announce_directory(const store_client_t *client, uint64_t revision);
/** Number of links opened so far; a change means that a member may lack earlier updates. */
unsigned store_client_links_opened(const store_client_t *client);
/** True if the member @p name is connected directly; sets @p address. */
bool store_client_direct_address(const store_client_t *client, const char *name,
                                 struct sockaddr_in *address);
/** Applies a group if its generation is later than the current one. */
void store_client_set_group(store_client_t *client, const store_group_t *group);
/** Applies the group in a MESSAGE_GROUP as store_client_set_group does; ignores an invalid one. */
void store_client_apply_group_message(store_client_t *client, const message_t *message);
/** True if a write quorum of members is connected and responsive, and the zone not isolated. */
bool store_client_connected(const store_client_t *client);
/**
 * True if a write quorum of members is connected or refuses connections, as nodes do that restart:
 * no other gateway can reach more of them.
 */
bool store_client_restarting(const store_client_t *client);
/** Like store_client_connected, but counts direct connections only. */
bool store_client_connected_directly(const store_client_t *client);

/**
 * Enables detection of an isolated zone (core/isolation/zone_isolation.h). A member then counts as
 * connected only after its first message, and operations without a verdict end as unsure when the
 * zone becomes isolated.
 */
void store_client_enable_isolation_check(store_client_t *client);
bool store_client_zone_isolated(const store_client_t *client);
/** True while no quorum responds and isolation of the zone is not yet decided. */
bool store_client_isolation_suspected(store_client_t *client);
/** Checks for isolation after another gateway reported that it lost the quorum. */
void store_client_suspect_isolation(store_client_t *client);

/** The group's generation, within which the members' indexes do not change. */
uint64_t store_client_generation(const store_client_t *client);
/** Number of members in the group. */
unsigned store_client_member_count(const store_client_t *client);
const char *store_client_member_name(const store_client_t *client, unsigned member);
/** True if @p member is connected, directly or through a relay. */
bool store_client_member_open(const store_client_t *client, unsigned member);
/** Returns an unused number for a request whose response goes to on_answer. */
uint64_t store_client_next_number(store_client_t *client);
/** Sends @p request in the current generation to one member, if connected; clears @p request. */
void store_client_send_member(const store_client_t *client, unsigned member, message_t *request);

/**
 * Sends @p message, in the current generation, to those of the STORE_KEY_MEMBERS members for @p key
 * that are connected; returns their number. The members are chosen by rendezvous hashing, alike at
 * all gateways.
 */
unsigned store_client_send_for_key(const store_client_t *client, uint64_t key, message_t *message);
/** True if @p member is one of those for @p key. */
bool store_client_keeps_key(const store_client_t *client, unsigned member, uint64_t key);

/** A reserve of a program's budget for one call. */
typedef struct {
    const char *program;
    const char *call;
    uint64_t max_tokens;  /**< Maximum number of tokens that the call can generate. */
    uint64_t budget;      /**< Of the program, in tokens. */
    bool stores_turn;     /**< The call's turn will be stored: a grant requires a write quorum of
                               members with free space for it. */
    uint64_t timeout_ms;  /**< A granted reserve that is not durable by then fails. */
    uint64_t input_bytes; /**< Of that turn. */
} store_reserve_t;

store_operation_t *store_client_reserve(store_client_t *client, const store_reserve_t *reserve,
                                        const store_operation_handler_t *handler, void *owner);
/** Of a granted reserve: hash of the back end at which the program last ran; 0: unknown. */
uint64_t store_operation_last_engine(const store_operation_t *operation);
/** Of a granted reserve: other calls of the program have spent or reserved tokens. */
bool store_operation_program_started(const store_operation_t *operation);
/**
 * Of a reserve: false if so many members lack space for it, or for the turn if that will be stored,
 * that a write quorum with space is impossible.
 */
bool store_operation_has_space(const store_operation_t *operation);
/** Of a reserve without space: members' disks lag too far behind for the caller's time. */
bool store_operation_disks_lag(const store_operation_t *operation);
/**
 * True if too many members' disks lag for a write to become durable within @p timeout_ms. Now and
 * then false all the same, so that a call finds out whether they still do.
 */
bool store_client_disks_lag(store_client_t *client, uint64_t timeout_ms);
/** Reports to the members the hash of the back end at which the program now runs; best effort. */
void store_client_report_engine(store_client_t *client, const char *program, uint64_t engine);
/**
 * How long members must keep a turn from its receipt, in ms. Its answer ends up to @p timeout_ms
 * later. A call that continues it may arrive for @p retention_ms from then on, and stores its own
 * turn, which keeps this one, up to @p successor_ms after its arrival. A gateway that was paused
 * counts replies that are up to GATEWAY_OPERATION_TIMEOUT_MS old, so both may end that much later.
 */
uint32_t store_client_turn_retention(uint32_t retention_ms, uint64_t timeout_ms,
                                     uint64_t successor_ms);
/** Stores a turn; fails if it is not durable within @p timeout_ms. */
store_operation_t *store_client_put_turn(store_client_t *client, const turn_t *turn,
                                         uint64_t timeout_ms,
                                         const store_operation_handler_t *handler, void *owner);
/** Reads a turn and its ancestors. */
store_operation_t *store_client_read_chain(store_client_t *client, const char *turn_id,
                                           const store_operation_handler_t *handler, void *owner);
/** Ends an operation as if its time had run out, with the callback. */
void store_operation_expire(store_operation_t *operation);
/** Ends an operation without a callback. */
void store_operation_cancel(store_operation_t *operation);
/**
 * Settles a reserve: reports the tokens that the call spent. Queued for disconnected members, up to
 * a limit.
 */
void store_client_settle(store_client_t *client, const char *program, const char *call,
                         uint64_t max_tokens, uint64_t spent);

#endif
