/**
 * @file message.h
 * What gateways and storage nodes say to one another, and what a storage node writes to its log:
 * one CBOR record a frame. Requests carry a number that the answer repeats, and the generation
 * of the store group that the sender acts in; a node that knows a later one answers with it.
 *
 * Thread safety: messages belong to one thread.
 */
#ifndef RUDDERWAY_CLUSTER_MESSAGE_H
#define RUDDERWAY_CLUSTER_MESSAGE_H

#include "core/budget/budget_table.h"
#include "core/quota/quota_split.h"
#include "core/retry/crash_history.h"
#include "core/turns/turn_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
    MESSAGE_GROUP,    /**< The sender's store group; either way, first on a connection. */
    REQUEST_RESERVE,  /**< Reserve part of a program's budget; also a log record. */
    RESPONSE_RESERVE, /**< It is taken; the program's charges in short, and whether a turn fits. */
    RESPONSE_DURABLE, /**< A reserve or a turn is on disk, in a member that is not complete if
                         unsure, or can't be put there. */
    REQUEST_CHARGES,  /**< Read the charges of one program. */
    RESPONSE_CHARGES,
    REQUEST_SETTLE,   /**< Replace a reserve by what was made; also a log record. */
    REQUEST_PUT_TURN, /**< Keep a finished turn; also a log record. */
    REQUEST_CHAIN,    /**< Read a turn and those it goes on from. */
    RESPONSE_CHAIN,
    REQUEST_STATUS, /**< Ask in which generation a member is complete. */
    RESPONSE_STATUS,
    REQUEST_INDEX, /**< Ask for charges and ids of turns, where the sender's digest differs. */
    RESPONSE_INDEX,
    REQUEST_TURNS,  /**< Ask for turns by id; `number` is TURNS_REQUEST_PIECES, or 0 in earlier
                      versions, which expect all of them in one response. */
    RESPONSE_TURNS, /**< `number`: TURNS_REQUEST_PIECES and how many of the ids asked for, from the
                       first on, it covers; TURNS_REQUEST_PIECES or less: all of them. */
    RESPONSE_OLD_GENERATION, /**< Nothing was done: a later generation is in force. */
    RECORD_CHARGE,           /**< Log only: a charge copied from another member. */
    MESSAGE_GATEWAY,         /**< A gateway's address for other gateways, and its zone. */
    MESSAGE_GATEWAYS,        /**< Addresses of the gateways that the receiver should know. */
    MESSAGE_PLACE,           /**< The back end at which a program runs now; no answer. */
    MESSAGE_RELAY,           /**< To a gateway: pass all that follows to the storage node named. */
    REQUEST_DIRECTORY,       /**< The sender lacks the directory, or has an older one. */
    MESSAGE_DIRECTORY,       /**< A directory snapshot: the answer, or what followers get. */
    REQUEST_FOLLOW,          /**< To a gateway: pass on what the watch shows from now on. */
    MESSAGE_DIRECTORY_CHANGES, /**< What a gateway's watch showed, for those that follow it. */
    REQUEST_ALLOWANCE,         /**< May a tenant make one more call? */
    RESPONSE_ALLOWANCE,
    MESSAGE_CHARGE,            /**< A tenant's call was made without asking; no answer. */
    MESSAGE_DIRECTORY_KNOWN,   /**< A gateway knows the directory up to a revision; may be asked. */
    RECORD_TIME,               /**< Log only: a mark of the log's time; see record_clock.h. */
    REQUEST_PROGRAM_ALLOWANCE, /**< May a tenant's program make one more call? The answer is a
                                  RESPONSE_ALLOWANCE, unsure if the program may not begin. */
    MESSAGE_DISK_LAG,          /**< Before a RESPONSE_RESERVE with the same number: how long the
                                  member's disk has not finished a write. */
    MESSAGE_STREAM,            /**< The version of the back end that began a stream; no answer. */
    REQUEST_STREAM,            /**< Ask for the version of a stream. */
    RESPONSE_STREAM,
    MESSAGE_CRASH, /**< A back end ended under a request, or the request got a complete response;
                      from a gateway, or passed on to all. */
    MESSAGE_CRASH_KNOWN,     /**< A crash that a gateway knows, to a storage node that may not. */
    MESSAGE_CRASH_SILENT,    /**< As MESSAGE_CRASH of a gateway, found by the back end's silence. */
    MESSAGE_CRASH_WITHDRAWN, /**< A back end that was reported as ended is alive. */
    MESSAGE_REQUEST_STOPPED, /**< A request is stopped, since back ends ended under it, anew from
                                the age given; `crash.number`: how often in a row. From a gateway,
                                or passed on to all. */
    REQUEST_SEND,       /**< A request is about to be sent. First come the crashes under it that are
                           known, as MESSAGE_CRASH, and what other gateways have left of it, as
                           MESSAGE_SEND_LEFT; then the answer, if one is wanted. */
    RESPONSE_SEND,      /**< The send is registered. */
    MESSAGE_SEND_ENDED, /**< All sends of a caller's attempt have ended. */
    RECORD_CRASH,  /**< Log only: a message on crashes or sends that changed what the node knows. */
    RECORD_JOINED, /**< Log only: this node became a member in `generation`, with its disk in use.
                    */
    MESSAGE_SEND_LEFT, /**< A call has left a back end, which may run its request for `wait_ms`
                          more; from a gateway, or passed on to one that is about to send it. */
    MESSAGE_TURN_SIZE, /**< Before a REQUEST_RESERVE of the same call: its turn will be large.
                          Members of earlier versions reject it, and estimate the size. */
    MESSAGE_TYPE_COUNT,
} message_type_t;

/** Turns whose input is larger are announced with MESSAGE_TURN_SIZE. */
enum { LARGE_TURN_BYTES = 64 * 1024 };

typedef enum {
    VERDICT_YES,    /**< Granted, found, or done. */
    VERDICT_NO,     /**< Refused, or there is no such record as far as a complete member knows. */
    VERDICT_UNSURE, /**< The member is not complete, or can't serve now. */
    VERDICT_COUNT,
} verdict_t;

/** See REQUEST_TURNS. */
enum { TURNS_REQUEST_PIECES = 1 };

/** One message; which fields count depends on the type. */
typedef struct {
    message_type_t type;
    uint64_t number;     /**< Repeated by the answer; 0 if none is wanted. */
    uint64_t generation; /**< Of the sender's group, or in which the sender is complete. */
    verdict_t verdict;
    budget_charge_t charge;   /**< Program, call, and the most or what was spent. */
    budget_summary_t summary; /**< A program's charges in short. */
    char *tenant;             /**< Whose allowance is asked for, or is charged. */
    quota_limit_t limit;      /**< That tenant's, as the sender knows it. */
    uint64_t kind;            /**< Hash of the route by which the call's program came. */
    bool begun;               /**< The call's program has had an answer, as the sender knows. */
    bool late;                /**< The time by which that program should have ended is over. */
    uint32_t
        wait_ms;     /**< Of an allowance: how long the call may wait; has to wait, or come back. */
    uint32_t lag_ms; /**< Of a disk: age of its oldest unfinished write. */
    bool room;       /**< The member can keep one more turn. */
    uint64_t size;   /**< Of a turn's input, in bytes. */
    uint64_t time;   /**< Of the log, in ms. */
    uint64_t place;  /**< Hash of the back end's instance where the program last ran; 0: unknown. */
    uint64_t stream; /**< Key of a stream; see stream_versions.h. */
    crash_report_t crash;
    uint64_t send;             /**< Hash of a caller's attempt; see open_sends.h. */
    message_type_t crash_type; /**< Of a RECORD_CRASH: the message that it records. */
    uint32_t age_ms;           /**< Of the crash; its time is the receiver's own. */
    uint64_t version;          /**< Of that stream; VERSION_ANY: it is not known. */
    char *turn_id;
    uint64_t revision;   /**< Of the directory snapshot, or up to which all changes are known. */
    uint64_t view;       /**< Digest of the directory snapshot that a follower has; 0: none. */
    uint32_t answer_age; /**< How long ago, in ms, the key-value service last confirmed what a
                            followed gateway tells; UINT32_MAX: it can't say. */
    GBytes *directory;   /**< An encoded directory_snapshot_t, or changes. */
    GBytes *group;       /**< An encoded store group. */
    GBytes *digest;      /**< An encoded record_digest_t of what the sender holds. */
    uint32_t page;       /**< Of an index: the first bucket asked for, or to ask for next, plus 1;
                            0: all buckets in one piece, or none is left. */
    GArray *turns;       /**< Of turn_t: one to keep, or a chain from its newest turn. */
    GPtrArray *ids;      /**< Of turns; or a gateway's address and zone, or addresses. */
    GPtrArray *sources;  /**< Addresses of the gateways that the receiver may follow. */
    GArray *charges;     /**< Of budget_charge_t. */
} message_t;

void message_init(message_t *message, message_type_t type);
void message_clear(message_t *message);
GBytes *message_encode(message_t *message);
/** False if @p data is not a message. Call message_clear in any case. */
bool message_decode(message_t *message, const void *data, size_t length);
/** Appends a copy of @p turn. */
void message_add_turn(message_t *message, const turn_t *turn);

#endif
