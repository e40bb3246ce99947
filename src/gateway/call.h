/**
 * @file call.h
 * One call, from its arrival to the end of its response. call.c decides what the caller gets,
 * call_send.c exchanges requests and responses with back ends, call_retry.c decides on retries,
 * call_quota.c applies the tenant's rate limit, call_speed.c measures the speed of back ends, and
 * call_turn.c handles the budget of a program's turn, its previous turns and its storage.
 *
 * Thread safety: everything here runs on the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_CALL_H
#define RUDDERWAY_GATEWAY_CALL_H

#include "gateway/call_fields.h"
#include "gateway/event_stream.h"
#include "gateway/gateway.h"

/** Why a call ended as it did; logged by name. */
typedef enum {
    CALL_ANSWERED,
    CALL_NO_CONFIGURATION,
    CALL_NO_ROUTE,
    CALL_MALFORMED,
    CALL_NO_BACKEND,
    CALL_BACKEND_REFUSED,
    CALL_BACKEND_LOST,
    CALL_BAD_ANSWER,
    CALL_TIMED_OUT,
    CALL_OVER_BUDGET,
    CALL_BUDGET_UNKNOWN, /**< No quorum of storage nodes decided on the reserve. */
    CALL_BUDGET_NOT_DURABLE,
    CALL_NO_SUCH_TURN,
    CALL_TURN_UNKNOWN, /**< The previous turns could not be read, or storage is out of reach. */
    CALL_TURN_NOT_STORED,
    CALL_NO_SPACE,  /**< Too few storage nodes have free space for the reserve or the turn. */
    CALL_DISKS_LAG, /**< Too few storage nodes are expected to write the turn in time. */
    CALL_CALLER_DISCONNECTED,
    CALL_STOPPING,
    CALL_UNKNOWN_KEY,
    CALL_OTHER_TENANT, /**< The previous turn belongs to another tenant. */
    CALL_OVER_QUOTA,
    CALL_QUOTA_UNKNOWN,   /**< No storage node decided on the quota. */
    CALL_BACKENDS_ENDED,  /**< Too many back ends have ended under the request. */
    CALL_VERSION_UNKNOWN, /**< No back end is known to run the version that began the stream. */
    CALL_VERSION_GONE,    /**< No back end runs the version that began the stream. */
    CALL_TURN_TOO_LARGE,  /**< Its turn would exceed what one message to a storage node holds. */
    CALL_NO_MEMORY,       /**< This gateway can't hold its turn or its response. */
    CALL_REASON_COUNT,
} call_reason_t;

/** Affinity of a program's call to the engine that has the program's prompt; logged by name. */
typedef enum {
    AFFINITY_NONE,  /**< Not sent to an engine. */
    AFFINITY_NEW,   /**< No engine is known to have the prompt. */
    AFFINITY_KEPT,  /**< Sent to the engine that has it. */
    AFFINITY_MOVED, /**< Sent to another engine, which processes the whole prompt. */
    AFFINITY_COUNT,
} engine_affinity_t;

/** Storage state of a program's turn: budget reserve, previous turns, storing of the turn. */
typedef struct {
    bool budgeted;        /**< The program's budget bounds this call. */
    bool reserved;        /**< A reserve was requested and must be settled. */
    bool program_started; /**< The program has charges or reserves of other calls. */
    bool reserve_durable; /**< The reserve is on disk: the call may be sent. */
    uint64_t max_tokens;  /**< Maximum number of tokens that the call may generate. */
    store_operation_t *reserve_operation;
    store_operation_t *chain_operation;
    store_operation_t *put_operation;
    char *missing_turn;          /**< Id of the turn being read from the storage nodes. */
    unsigned chain_reads;        /**< From the storage nodes, for this call. */
    uint64_t chain_requested_at; /**< Loop time of the latest such read. */
    bool previous_read;          /**< The previous turn was read from the storage nodes. */
    uint64_t extended_until;     /**< Until when storage nodes are asked to keep the chain. */
    bool prompt_ready;
    GBytes *output;        /**< Of the complete stream. */
    size_t stored_bytes;   /**< In the memory account, for the request that will store the turn. */
    size_t read_bytes;     /**< In the memory account, for the read of previous turns. */
    uint64_t stored_until; /**< Until when storage nodes keep the call's own turn at least. */
} call_turn_t;

/** Rate limit state of a call. */
typedef struct {
    quota_request_t *pending;  /**< Request in progress; NULL: none. */
    bool token_held;           /**< A token was granted and not yet used by a send. */
    uint64_t token_expires_at; /**< Loop time in ms. */
    uint32_t retry_after_ms;
} call_quota_t;

/** The version of a resumable stream; see call_version.c. */
typedef struct {
    uint64_t key;               /**< See stream_version_key. */
    software_version_t version; /**< VERSION_ANY while the caller has no event. */
    stream_request_t *pending;  /**< Request in progress; NULL: none. */
} call_stream_t;

/** Registration of the call's sends at storage nodes; see call_registration.c. */
typedef struct {
    key_request_t *pending; /**< A send waits for it; NULL: none does. */
    void (*then)(struct call *call);
    bool registered;
} call_registration_t;

/** Event times of the current send, in ms of loop time; see call_speed.c. */
typedef struct {
    uint64_t sent_at;      /**< Identifies the send that this belongs to. */
    uint64_t first_at;     /**< Arrival of the send's first events. */
    unsigned first_events; /**< The call's event count at first_at. */
    uint64_t last_at;      /**< Arrival of the latest events. */
    unsigned events;       /**< The call's event count at last_at. */
} call_speed_t;

typedef struct call {
    gateway_t *gateway;
    http_caller_t *caller; /**< NULL once answered or disconnected. */
    const http_request_t *request;
    directory_configuration_t *configuration;
    const route_t *route;
    const service_t *service;
    const char *service_name;
    const char *id;         /**< As the caller names it. */
    const char *record_id;  /**< Its key at storage nodes; see record_key.h. */
    const char *program;    /**< Key of its program; NULL: the call belongs to none. */
    const char *previous;   /**< Key of the turn that it continues; NULL: it continues none. */
    GPtrArray *long_keys;   /**< Those of these keys that belong to the call; NULL: none. */
    const tenant_t *tenant; /**< NULL: the route is open to all, or there are no tenants. */
    uint64_t request_id;    /**< The same for all of the caller's attempts; see call_identity. */
    uint64_t arrived_at;
    uint64_t deadline; /**< Loop time in ms. */
    uv_timer_t deadline_timer;
    GList active_link; /**< In gateway_t.active_calls until the call ends. */
    bool ended;
    engine_affinity_t affinity;
    uint64_t last_engine; /**< Hash of the engine that last ran the program; 0: unknown. */

    /* Cost-based placement; see call_placement.h. */
    unsigned engine_load;              /**< Other calls at the engine when this one was sent. */
    uint32_t engine_recomputed_tokens; /**< Prompt tokens processed again after a move. */
    uint32_t engine_wait_ms;           /**< Time until an engine can accept the call; 0: unknown. */

    /* Sends to back ends. */
    backend_t *backend; /**< Back end of the current send; NULL: none. */
    http_client_t *client;
    GPtrArray *tried; /**< Back ends that failed or refused; holds a reference to each. */
    unsigned sends;   /**< Sends of which any byte may have reached a back end. */
    uint64_t sent_at; /**< Start of the current send, loop time in ms. */
    unsigned connects_failed;
    unsigned backends_sent;  /**< Back ends that any byte may have reached. */
    unsigned backends_ended; /**< Of these, the ones that have ended or are unreachable. */
    unsigned repeats;        /**< Resends to the same back end. */
    bool repeating;          /**< The current send is a resend to the same back end. */
    unsigned repeat_connects_failed;
    uint64_t repeat_failed_at; /**< When the first of these connections failed. */
    bool suspect;              /**< The current send counts in backend_t.suspects. */
    bool left_on_suspicion;    /**< The current send was left though its response may come. */
    uint64_t last_received_at; /**< When something that the caller can use was last received;
                                  initially `sent_at`. */
    bool version_recorded;     /**< The version of the back end of this send; call_version.c. */
    bool answered;             /**< A response to the current send has begun. */
    bool misdirected;          /**< The back end's address now belongs to another instance. */
    bool may_have_run;         /**< Some back end may have run the call. */
    call_reason_t lost_reason; /**< Why the outcome of the last send is unknown. */
    GPtrArray *prompt;         /**< Of GBytes: the prompt made of the previous turns. */
    call_registration_t registration;

    /* The response. */
    unsigned status;
    bool not_run;      /**< The back end reports that it did not run the call. */
    bool streaming;    /**< Forwarded event by event. */
    bool head_sent;    /**< The response head was sent to the caller. */
    GString *fields;   /**< Response header lines for the caller. */
    GString *body;     /**< A complete response, or events to be forwarded. */
    size_t held_bytes; /**< Of a response that is not streamed; counted in gateway_t. */
    event_stream_t events;
    size_t stream_bytes;    /**< Of `events`, as counted in the memory account. */
    bool paused;            /**< The back end is held up until the caller has read its events. */
    bool was_paused;        /**< During the current send, whose pace is the caller's then. */
    unsigned events_before; /**< Events of the sends before the current one. */
    call_speed_t speed;
    call_turn_t turn;
    call_stream_t stream;
    call_quota_t quota;
} call_t;

/* call.c */

/** Ends the call with a response generated by the gateway. */
void call_refuse(call_t *call, unsigned status, call_reason_t reason);
/** Ends the call with the back end's complete response. */
void call_answer(call_t *call);
/**
 * Ends the call as failed. If the response has begun, aborts the connection so that the response
 * does not look complete; otherwise answers 502 or 504, or 503 if the call has not run.
 */
void call_fail(call_t *call, call_reason_t reason);
/** Ends a call whose stream is complete. */
void call_finish_stream(call_t *call);
/** Forwards the buffered events. */
void call_forward_events(call_t *call);
/** Milliseconds until the call's deadline. */
uint64_t call_time_left(const call_t *call);
/** How long a call of the route may be held past its deadline, from its arrival, in ms. */
uint64_t call_hold_time(const route_t *route);
/** Milliseconds until the route's timeout, for which the call may be held past its deadline. */
uint64_t call_hold_time_left(const call_t *call);
const char *call_field(const call_t *call, call_field_t field);
/**
 * Ends each call in progress with what is known of it, as call_fail(): its outcome could not be
 * delivered any more. Returns their number.
 */
unsigned call_end_all(const gateway_t *gateway);
/** Logs each call in progress as cut off, at the exit of the process; returns their number. */
unsigned call_log_cut_off(const gateway_t *gateway);

/* call_identity.c */

/** Hash that is the same for all attempts of one caller for the same request. */
uint64_t call_identity(const call_t *call);

/* call_send.c */

/** Sends the call to a back end that it has not been sent to; fails it if there is none. */
void call_send(call_t *call);
/** Head of the request as its current back end gets it; the caller frees it. */
GString *call_build_head(const call_t *call);
/** Body of that request: an array of GBytes, not copied; NULL: it has none. */
GPtrArray *call_build_body(const call_t *call);
/** Resends the call to its current back end. */
void call_send_same_backend(call_t *call);
/** True if there is a back end other than the current one that the call has not been sent to. */
bool call_has_other_backend(const call_t *call);
/** Releases the current back end and excludes it from further choices for this call. */
void call_exclude_backend(call_t *call);
/** Discards what has been received of a response that is not streamed. */
void call_clear_body(call_t *call);
/** Stops reading from the back end if the caller has left many events unread. */
void call_pause_if_unread(call_t *call);
/** Reads from the back end again, since the caller has read all forwarded events. */
void call_resume(call_t *call);
/** Closes the connection to the back end, whose answer is not complete. */
void call_close_client(call_t *call);
/** Closes the exchange with the back end, which cancels its work, and releases the back end. */
void call_cancel_exchange(call_t *call);

/* call_speed.c */

/** Records the response time of a back end that does not answer with a stream. */
void call_speed_record_head(const call_t *call, unsigned status);
/** Records the arrival time of events. */
void call_speed_record_events(call_t *call);
/** Records the time per event of a completed stream. */
void call_speed_record_stream(const call_t *call);

/* call_retry.c */

/** True if the call may run more than once. */
bool call_repeatable(const call_t *call);
/**
 * True if so many back ends have ended under the request, or may yet (crash_watch_exposure), that
 * it must not be sent, to call->backend if there is one.
 */
bool call_crash_limit_reached(const call_t *call);
/** Logs that a send is withheld for back ends that may yet end; E868 tells of those that have. */
void call_log_withheld(const call_t *call);
/** True if the call is repeatable and its route allows one more back end. */
bool call_may_use_other_backend(const call_t *call);
void call_log_send_failed(const call_t *call, const char *reason);
/** Handles a send with an unknown outcome: resends a repeatable call, fails any other. */
void call_handle_unknown_outcome(call_t *call, call_reason_t reason);
/** Handles a response that the call was not run: tries another back end if the route allows it. */
void call_handle_not_run(call_t *call);
/** Handles a send that failed before any byte was sent. */
void call_handle_not_sent(call_t *call);
/** Records the time to a response that has just begun. */
void call_record_answer_time(const call_t *call);
/**
 * True if the response to the current send is late and the call should be resent. Takes one retry
 * from the late-response budget in that case.
 */
bool call_take_late_retry(call_t *call, uint64_t now);
/**
 * True if the call may be resent because the response to its current send may be lost. Otherwise it
 * waits for that response.
 */
bool call_may_resend_on_suspicion(const call_t *call);
/** Resends a call whose response is late or overtaken, and that may be resent on suspicion. */
void call_handle_suspicion(call_t *call, const char *reason);
/** Handles a back end that no longer accepts connections. */
void call_handle_backend_unreachable(call_t *call);

/* call_registration.c */

/** Registers a turn of a program at storage nodes, without a wait. */
void call_registration_begin(call_t *call);
/**
 * If back ends have ended under the request, registers the next send and calls @p then once storage
 * nodes have told what they know of the request; false if there is nothing to wait for.
 */
bool call_registration_await(call_t *call, void (*then)(call_t *call));
/**
 * Reports the end of the call's sends, until the next one is registered: before a crash is
 * reported, so that storage nodes don't count both.
 */
void call_registration_pause(call_t *call);
/** Cancels a wait and reports the end of the call's sends. */
void call_registration_end(call_t *call);

/* call_quota.c */

/** Requests a token of the tenant's rate limit; false if the call has been refused. */
bool call_quota_begin(call_t *call);
/**
 * True if the call may be sent now. Otherwise it waits for a token, or has been refused. Requests a
 * new token if the granted one has expired.
 */
bool call_quota_ready(call_t *call);
/** Uses up the held token for a send, or charges the send if none is held. */
void call_quota_record_send(call_t *call);
/** Makes the token used by the latest send available again, because the call was not run. */
void call_quota_record_not_run(call_t *call);
/** Cancels a pending request and gives an unused token back. */
void call_quota_end(call_t *call);

/* call_version.c */

/**
 * Finds the version of the stream that the call takes up, if it does; false if the call has been
 * refused. The call is not sent before the version is found.
 */
bool call_version_begin(call_t *call);
/** Cancels a pending request. */
void call_version_end(call_t *call);
/** True if the stream may go on at the back end of the current send. */
bool call_version_served_by_backend(const call_t *call);
/** Records the version of the stream; called before the first event of a send is forwarded. */
void call_version_record(call_t *call);
/** Asks which process serves at the call's back end, if its version is in doubt and matters. */
void call_version_check_process(const call_t *call);
/** Records that the version of the stream is not known if the back end's entry has changed. */
void call_version_check(call_t *call);

/* call_turn.c */

/**
 * Determines whether a program budget bounds the call. While the zone is isolated, refuses a call
 * that needs storage nodes before it acquires anything; true if refused.
 */
bool call_turn_refuse_if_isolated(call_t *call);

/** Sends the call if its prompt, budget reserve and quota token are available. */
void call_turn_send_if_ready(call_t *call);

/** Starts the reserve and the reads of previous turns; sends the call once it is ready. */
void call_turn_begin(call_t *call);
/** Handles a completed stream: stores the turn if the route requires it, then ends the call. */
void call_turn_stream_completed(call_t *call);
/** True if the caller has the whole stream but its end, which waits for the turn to be stored. */
bool call_turn_only_end_missing(const call_t *call);
/**
 * Fails a call whose deadline passes while its complete stream waits for the storage nodes; false
 * if the call waits for something else.
 */
bool call_turn_expire(call_t *call);
/** Cancels the operations in progress and settles the budget. */
void call_turn_end(call_t *call);

#endif
