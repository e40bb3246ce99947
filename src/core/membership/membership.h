/**
 * @file membership.h
 * Which nodes live: failure detection and dissemination in the manner of SWIM
 * (Das, Gupta and Motivala, 2002).
 *
 * Every period a node pings one other; without an answer it asks a few others to ping it, and
 * only then suspects it. A suspected member has a while to refute with a higher incarnation,
 * so a slow or one-way-cut link does not make a death. News travel on pings and answers. A
 * joining node, and any two nodes now and then, exchange whole tables over the reliable
 * channel; members thought dead are still contacted at times, so cut zones find each other.
 *
 * A node is told apart by its instance id, which grows with the start time: a restarted node
 * is a new member, and the older instance of the same name is dead at once.
 *
 * This is decision code: no I/O, clock or thread; time is an argument in milliseconds.
 */
#ifndef RUDDERWAY_CORE_MEMBERSHIP_MEMBERSHIP_H
#define RUDDERWAY_CORE_MEMBERSHIP_MEMBERSHIP_H

#include "core/replication/raft.h"

typedef enum { MEMBER_ALIVE, MEMBER_SUSPECT, MEMBER_DEAD, MEMBER_STATES } member_state_t;

typedef struct {
    instance_id_t instance;
    char *name; /**< Unique in the cluster; survives restarts. */
    char *zone;
    char *address;      /**< IP number. */
    uint32_t peer_port; /**< TCP and UDP. */
    uint32_t http_port;
    uint64_t incarnation; /**< Raised by the member itself to refute news about it. */
    bool leaving;         /**< Has announced a planned stop. */
    member_state_t state;
    int64_t changed_ms; /**< Local time of the last change; not sent. */
} member_t;

typedef enum {
    MEMBERSHIP_REQUEST_PING,
    MEMBERSHIP_RESPONSE_PING,
    MEMBERSHIP_REQUEST_INDIRECT_PING,
    MEMBERSHIP_REQUEST_SYNC,
    MEMBERSHIP_RESPONSE_SYNC,
    MEMBERSHIP_MESSAGE_KINDS
} membership_message_kind_t;

typedef struct {
    membership_message_kind_t kind;
    bool reliable;                   /**< Goes over TCP; not sent. */
    char *address;                   /**< Destination; not sent. */
    uint32_t port;                   /**< Destination; not sent. */
    uint64_t sequence;               /**< Pairs a ping with its answer. */
    instance_id_t target;            /**< Indirect ping: whom to ping. */
    uint64_t configuration_revision; /**< In force at the sender. */
    GPtrArray *members;              /**< Of member_t; the first is the sender. */
} membership_message_t;

typedef struct {
    int64_t period_ms;       /**< Between pings. */
    int64_t ping_timeout_ms; /**< Before indirect pings. */
    int64_t suspicion_ms;    /**< From suspicion to death. */
    int64_t sync_ms; /**< Between exchanges of whole tables of up to sync_members; larger ones go
                          less often, so that their traffic stays level. */
    uint32_t sync_members;
    int64_t forget_dead_ms;   /**< How long the dead are remembered. */
    uint32_t indirect_count;  /**< Helpers asked to ping. */
    uint32_t updates_maximum; /**< News on one datagram. */
} membership_options_t;

extern const membership_options_t membership_default_options;

/** What a call produced: messages to send and members that changed. */
typedef struct {
    GPtrArray *messages; /**< Of membership_message_t. */
    GPtrArray *changed;  /**< Of member_t, copies. */
} membership_output_t;

typedef struct membership membership_t;

typedef struct {
    char *address;
    uint32_t port;
} membership_seed_t;

/** @p self is copied. Seeds are contacted until they answer, and now and then afterwards. */
membership_t *membership_new(const member_t *self, const membership_seed_t *seeds,
                             size_t seed_count, uint64_t random_seed,
                             const membership_options_t *options);
void membership_free(membership_t *membership);
void membership_tick(membership_t *membership, int64_t now_ms, membership_output_t *output);
/** @p from_address and port answer a ping of a sender that is not known yet. */
void membership_receive(membership_t *membership, const membership_message_t *message,
                        int64_t now_ms, membership_output_t *output);
/** Announces a planned stop of this node. */
void membership_leave(membership_t *membership, membership_output_t *output);
/** The revision that pings carry. */
void membership_set_revision(membership_t *membership, uint64_t revision);

const member_t *membership_self(const membership_t *membership);
const member_t *membership_find(const membership_t *membership, instance_id_t instance);
const member_t *membership_find_name(const membership_t *membership, const char *name);
/** All known members, this node too, ordered by name; valid until the next call that changes. */
const GPtrArray *membership_all(const membership_t *membership);

void membership_output_init(membership_output_t *output);
void membership_output_clear(membership_output_t *output);
member_t *member_copy(const member_t *member);
void member_free(member_t *member);
void membership_message_free(membership_message_t *message);
void membership_message_codec(codec_t *codec, membership_message_t *message);
void member_codec(codec_t *codec, member_t *member);

#endif
