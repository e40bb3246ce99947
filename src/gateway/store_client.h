/**
 * @file store_client.h
 * A gateway's way to the storage nodes: connections to all members of the store group, and the
 * counting of their answers into quorums.
 *
 * An operation goes to every member; a member that was away gets it again once it is back. An
 * operation that has no quorum in time is given up; that time is shorter than the wait of a
 * member whose disk came back empty, see store/store_catch_up.c. The time also bounds what a
 * frozen gateway may count after it wakes.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STORE_CLIENT_H
#define RUDDERWAY_GATEWAY_STORE_CLIENT_H

#include "cluster/message.h"
#include "core/quorum/store_group.h"

#include <uv.h>

/** An operation is given up after so long, in ms. */
enum { GATEWAY_WRITE_MS = 1500 };

typedef struct store_client store_client_t;
typedef struct store_operation store_operation_t;

/** What came of an operation, or of a part of it. */
typedef struct {
    /**
     * A reserve: granted, refused, or unsure. A chain: found, with its turns; not there; unsure.
     * The operation ends with this, unless it is a granted reserve. */
    void (*on_verdict)(void *owner, verdict_t verdict, const GArray *turns);
    /** A granted reserve or a turn is durable, or is not in time. The operation ends. */
    void (*on_durable)(void *owner, bool durable);
} store_operation_handler_t;

typedef struct {
    /** The addresses of the gateways to know, and of those that may be followed. */
    void (*on_gateways)(void *owner, const GPtrArray *addresses, const GPtrArray *sources);
    /** A directory snapshot that a member keeps came; see store_client_ask_directory. */
    void (*on_directory)(void *owner, GBytes *snapshot);
    /** A member wants the directory that was offered: encoded, to be unreferenced; NULL: none. */
    GBytes *(*read_directory)(void *owner, uint64_t *revision);
    /** A gateway that may reach members that this one does not; NULL or false: none is known. */
    bool (*find_relay)(void *owner, struct sockaddr_in *address);
    /** An answer that belongs to no operation: to a request of store_client_send_member. */
    void (*on_answer)(void *owner, unsigned member, const message_t *message);
    /** The zone was found cut off, or no longer is; see store_client_watch_zone. May be NULL. */
    void (*on_zone_cut)(void *owner, bool cut);
} store_client_handler_t;

/** @p own_address is told to the members, so that other gateways learn of this one. */
store_client_t *store_client_new(uv_loop_t *loop, const char *zone, const char *own_address,
                                 const store_client_handler_t *handler, void *owner);
/** Asks one connected member for the directory, each time the next; false if none is connected. */
bool store_client_ask_directory(store_client_t *client);
/** Tells the members that this gateway knows the directory up to @p revision; see read_directory.
 */
void store_client_offer_directory(const store_client_t *client, uint64_t revision);
/** Counts links that opened, so that news can be told to whom they are new. */
unsigned store_client_links_opened(const store_client_t *client);
/** True if this gateway has a connection of its own to the member @p name; its address. */
bool store_client_reaches(const store_client_t *client, const char *name,
                          struct sockaddr_in *address);
/** Takes a group if it is later than the one known. */
void store_client_set_group(store_client_t *client, const store_group_t *group);
/** The same from a MESSAGE_GROUP. */
void store_client_take_group(store_client_t *client, const message_t *message);
/** True if a write quorum of members is connected and not silent. */
bool store_client_connected(const store_client_t *client);
/** The same without the help of other gateways. */
bool store_client_connected_directly(const store_client_t *client);

/**
 * Finds out from now on whether the gateway's zone is cut off (core/isolation/zone_silence.h). A
 * member is then connected only once it was heard of, and operations whose call has not been let
 * go end as unsure when the zone is found cut off.
 */
void store_client_watch_zone(store_client_t *client);
/** True if the zone was found cut off. */
bool store_client_zone_cut(const store_client_t *client);
/** True while no quorum is heard of and it is being found out whether the zone is cut off. */
bool store_client_in_doubt(store_client_t *client);
/** Another gateway has said that it reaches no quorum any more: finds out whether this one does. */
void store_client_doubt(store_client_t *client);

/** The group's generation; members keep their numbers in it. */
uint64_t store_client_generation(const store_client_t *client);
unsigned store_client_members(const store_client_t *client);
const char *store_client_member_name(const store_client_t *client, unsigned member);
/** True if it is connected, by its own connection or through another gateway. */
bool store_client_member_open(const store_client_t *client, unsigned member);
/** A number for a request whose answer the handler takes. */
uint64_t store_client_next_number(store_client_t *client);
/** Sends a request in the present generation to one member, if connected; clears it. */
void store_client_send_member(const store_client_t *client, unsigned member, message_t *request);

/**
 * Reserves @p most tokens of the program's budget for a call. @p keeps: the call is a turn that is
 * to be kept, and the reserve is granted only if a write quorum has said that it has room for it.
 */
store_operation_t *store_client_reserve(store_client_t *client, const char *program,
                                        const char *call, uint64_t most, uint64_t budget,
                                        bool keeps, const store_operation_handler_t *handler,
                                        void *owner);
/** Of a granted reserve: the back end at which the program last ran (its hash); 0: unknown. */
uint64_t store_operation_place(const store_operation_t *operation);
/** Of a granted reserve: other calls of the program have made something, or still may. */
bool store_operation_begun(const store_operation_t *operation);
/**
 * Of a reserve: false if so many members have said that they have no room for it, or for the turn
 * that is to be kept, that it can't be granted.
 */
bool store_operation_has_room(const store_operation_t *operation);
/** Tells the members where the program runs now; a hint that may be lost. */
void store_client_tell_place(store_client_t *client, const char *program, uint64_t place);
store_operation_t *store_client_put_turn(store_client_t *client, const turn_t *turn,
                                         const store_operation_handler_t *handler, void *owner);
store_operation_t *store_client_read_chain(store_client_t *client, const char *turn_id,
                                           const store_operation_handler_t *handler, void *owner);
/** Ends an operation without a callback. */
void store_operation_cancel(store_operation_t *operation);
/** Settles a reserve; kept for members that are away, within a bound. */
void store_client_settle(store_client_t *client, const char *program, const char *call,
                         uint64_t most, uint64_t spent);

#endif
