/**
 * @file peer_message.h
 * The messages between nodes. A message is a CBOR array of items: version, kind, sender,
 * receiver, then the record of that kind.
 */
#ifndef RUDDERWAY_NODE_PEER_MESSAGE_H
#define RUDDERWAY_NODE_PEER_MESSAGE_H

#include "core/configuration/configuration.h"
#include "core/membership/membership.h"
#include "node/operation.h"

enum {
    PEER_VERSION = 1,
    PEER_FRAME_MAXIMUM = 16 * 1024 * 1024, /**< Bytes of one frame on TCP. */
    PEER_DATAGRAM_MAXIMUM = 8 * 1024,      /**< Bytes of one datagram. */
    PEER_KEY_BYTES = 32,
    PEER_TAG_BYTES = 32, /**< HMAC-SHA-256. */
    PEER_NONCE_BYTES = 16,
};

typedef enum {
    PEER_MEMBERSHIP,
    PEER_RAFT,
    PEER_REQUEST_OPERATION,
    PEER_RESPONSE_OPERATION, /**< answer_t */
    PEER_RESPONSE_CHUNK,
    PEER_REQUEST_SETTLE, /**< A runner's RESULT command, for the partition's leader. */
    PEER_RESPONSE_SETTLE,
    PEER_REQUEST_NOTICE, /**< Asks a leader for the notice of a partition. */
    PEER_NOTICE_PARTITION,
    PEER_REQUEST_CONFIGURATION,
    PEER_RESPONSE_CONFIGURATION,
    PEER_KINDS
} peer_kind_t;

/** Who leads a partition. */
typedef struct {
    uint32_t partition;
    uint64_t term;
    uint64_t configuration_index;
    instance_id_t leader;
    bool answers; /**< It answers the receiver's own request. */
    raft_configuration_t configuration;
} partition_notice_t;

/** A runner's outcome of an attempt; repeated until it is acknowledged. */
typedef struct {
    uint64_t id;     /**< Unique at the runner. */
    GBytes *command; /**< Encoded COMMAND_RESULT; empty in the response. */
} settle_t;

/** Edits after a revision, or a whole configuration where the log no longer reaches back. */
typedef struct {
    uint64_t after_revision; /**< Request: what the asker has. */
    bool snapshot;           /**< The first edit is a whole configuration. */
    GPtrArray *edits;        /**< Response: of edit_t, owned. */
} configuration_news_t;

typedef struct {
    peer_kind_t kind;
    instance_id_t from;
    instance_id_t to; /**< 0: whoever has the address. */
    union {
        membership_message_t *membership;
        raft_message_t *raft;
        operation_t *operation;
        answer_t *answer;
        chunk_t *chunk;
        settle_t *settle;
        partition_notice_t *notice;
        configuration_news_t *configuration;
        void *record;
    };
} peer_message_t;

/** Takes ownership of @p record, which must be of the kind's type. */
peer_message_t *peer_message_new(peer_kind_t kind, void *record);
void peer_message_free(peer_message_t *message);
GBytes *peer_message_encode(peer_message_t *message);
/** NULL and FRAME_INVALID if the bytes are not one whole message of this version. */
peer_message_t *peer_message_decode(const void *data, size_t length, GError **error);

settle_t *settle_new(uint64_t id, GBytes *command);
configuration_news_t *configuration_news_new(uint64_t after_revision);

#endif
