/**
 * @file call.h
 * One call from its arrival to the end of its answer. call.c decides what the caller gets,
 * call_send.c takes the call to back ends, call_turn.c does what a turn of a program needs
 * besides: its budget, the turns it goes on from, and keeping it.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_CALL_H
#define RUDDERWAY_GATEWAY_CALL_H

#include "gateway/call_fields.h"
#include "gateway/event_stream.h"
#include "gateway/gateway.h"

/** Why a call ended as it did; named in the log. */
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
    CALL_BUDGET_UNSURE,
    CALL_BUDGET_NOT_DURABLE,
    CALL_NO_SUCH_TURN,
    CALL_TURN_UNSURE,
    CALL_TURN_NOT_KEPT,
    CALL_NO_ROOM,
    CALL_CALLER_GONE,
    CALL_STOPPING,
    CALL_UNKNOWN_KEY,
    CALL_OTHER_TENANT,
    CALL_OVER_QUOTA,
    CALL_QUOTA_UNSURE,
    CALL_REASON_COUNT,
} call_reason_t;

/** How a program's engine was chosen; named in the log. */
typedef enum {
    PLACING_NONE,  /**< No engine, or none yet. */
    PLACING_NEW,   /**< None was known to hold its prompt. */
    PLACING_KEPT,  /**< The one that holds it. */
    PLACING_MOVED, /**< Another one, which reads it again. */
    PLACING_COUNT,
} placing_t;

/** What a turn of a program needs besides the way to a back end. */
typedef struct {
    bool counted;  /**< The program's budget bounds this call. */
    bool reserved; /**< The reserve was asked for; it must be settled. */
    bool granted;
    bool begun;    /**< Its program has made other calls, as its charges show. */
    bool durable;  /**< The reserve survives a loss of power: pieces may go out. */
    uint64_t most; /**< Tokens that the call may make. */
    store_operation_t *reserve;
    store_operation_t *chain;
    store_operation_t *keep;
    char *missing; /**< The turn that is being read. */
    bool prompt_ready;
    bool stream_ended; /**< The engine's stream has ended well; the turn is being kept. */
} call_turn_t;

/** What a call needs of its tenant's limit. */
typedef struct {
    quota_ask_t *ask; /**< Under way. */
    bool granted;     /**< A token is held that no send has used. */
    uint64_t until;   /**< Its end, loop time in ms. */
    uint32_t come_back_ms;
} call_quota_t;

/** When the present send's events came; see call_pace.c. */
typedef struct {
    uint64_t sent_at;      /**< Of the send that this is of. */
    uint64_t first_at;     /**< When its first events had come, loop time in ms, */
    unsigned first_events; /**< and how many events there were by then. */
    uint64_t last_at;
    unsigned events; /**< By then. */
} call_pace_t;

typedef struct call {
    gateway_t *gateway;
    http_caller_t *caller; /**< NULL once answered or gone. */
    const http_request_t *request;
    directory_configuration_t *configuration;
    const route_t *route;
    const service_t *service;
    const char *service_name;
    const char *id;
    const char *program;    /**< NULL: a plain call. */
    const tenant_t *tenant; /**< NULL: nobody's, on a route open to all or without tenants. */
    uint64_t arrived_at;
    uint64_t limit; /**< Loop time until which an answer may come, ms. */
    uv_timer_t timer;
    bool ended;
    placing_t placing;
    uint64_t place; /**< Back end at which the program last ran (its hash); 0: unknown. */

    /* At an engine that is chosen by cost; see engine_turn.h. */
    unsigned engine_load;         /**< Other calls there when this one was sent. */
    uint32_t engine_again_tokens; /**< Of the prompt, read there although another engine has it. */
    uint32_t engine_free_ms;      /**< Time until some engine has room; 0: not known. */

    /* The way to back ends. */
    backend_t *backend; /**< Where the call is now; NULL: nowhere. */
    http_client_t *client;
    GPtrArray *tried; /**< Back ends that failed or refused; each with a reference. */
    unsigned sends;   /**< Times that any byte may have reached a back end. */
    uint64_t sent_at; /**< When the present send began, loop time in ms. */
    unsigned connects_failed;
    unsigned backends_sent;  /**< Back ends that any byte may have reached. */
    unsigned backends_ended; /**< Of these, the ones that have ended or can't be reached. */
    unsigned repeats;        /**< Times it went to the same back end again. */
    bool repeating;          /**< The present send is such a time. */
    unsigned same_connects_failed;
    uint64_t heard_at; /**< When the answer's latest bytes came; or `sent_at`. */
    bool answered;     /**< An answer to the present send has begun. */
    bool misdirected;  /**< The back end's address belongs to another now. */
    bool may_have_run; /**< Some back end may have run it. */
    GString *prompt;   /**< The turns that this one goes on from. */

    /* The answer. */
    unsigned status;
    bool not_run;    /**< The back end says that it did not run the call. */
    bool streaming;  /**< Passed on as events. */
    bool head_sent;  /**< The caller has the answer's head. */
    GString *fields; /**< The answer's header lines for the caller. */
    GString *body;   /**< A whole answer, or events that wait for the budget. */
    event_stream_t events;
    call_pace_t pace;
    call_turn_t turn;
    call_quota_t quota;
} call_t;

/* call.c */

/** Ends the call with an answer of the gateway's own. */
void call_refuse(call_t *call, unsigned status, call_reason_t reason);
/** Ends the call with the back end's whole answer. */
void call_answer(call_t *call);
/** Ends a call whose answer has begun, so that it can't look complete; or answers 502. */
void call_fail(call_t *call, call_reason_t reason);
/** Ends a call whose stream has gone out whole. */
void call_finish_stream(call_t *call);
/** Passes on the events that may go out now. */
void call_pass_events(call_t *call);
/** Milliseconds until the call's limit. */
uint64_t call_time_left(const call_t *call);
const char *call_field(const call_t *call, call_field_t field);

/* call_send.c */

/** Sends the call to a back end, or to another one; refuses it if there is none. */
void call_send(call_t *call);
/** Sends the call to the back end where it is once more. */
void call_send_same(call_t *call);
/** Leaves the present back end, and does not choose it again for this call. */
void call_leave_backend(call_t *call);
/** Ends the exchange with the back end, which stops its work. */
void call_stop_backend(call_t *call);

/* call_pace.c */

/** The answer's head has come: measures the back end, unless it answers by events. */
void call_pace_note_head(const call_t *call, unsigned status);
/** Events have come. */
void call_pace_note_events(call_t *call);
/** The stream has ended well: measures the back end. */
void call_pace_note_stream(const call_t *call);

/* call_retry.c */

/** True if the call may run more than once. */
bool call_repeatable(const call_t *call);
/** True if it may, and its route allows one more back end. */
bool call_may_go_elsewhere(const call_t *call);
void call_log_send_failed(const call_t *call, const char *reason);
/** The last send's outcome is unknown: sends again if the call may run twice. */
void call_outcome_unknown(call_t *call, call_reason_t reason);
/** The last back end did not run the call: sends it to another if the route allows. */
void call_not_run(call_t *call);
/** No byte of the last send left this process. */
void call_not_sent(call_t *call);
/** Notes how long an answer took that has just begun. */
void call_note_answer_time(const call_t *call);
/** True if the answer to the present send is late and the call should be sent once more. */
bool call_answer_is_late(call_t *call, uint64_t now);
/** The back end goes on without this call. */
void call_lost_at_backend(call_t *call, const char *reason);
/** The back end can't be connected to any more. */
void call_backend_unreachable(call_t *call);

/* call_quota.c */

/** Asks for a token of the tenant's limit; false if the call has been refused. */
bool call_quota_begin(call_t *call);
/** True if the call may be sent now; if not, it is sent or refused later, or has been refused. */
bool call_quota_ready(call_t *call);
/** A send begins: it uses the token up. */
void call_quota_note_send(call_t *call);
/** The latest send was not run: its token may serve another one. */
void call_quota_note_not_run(call_t *call);
/** Ends what is under way, and gives back what was not used. */
void call_quota_end(call_t *call);

/* call_turn.c */

/**
 * Notes whether the call's program has a budget that bounds it. Refuses a call that needs storage
 * nodes while the zone is cut off, before it takes anything else; true if it did.
 */
bool call_turn_refuse_if_cut(call_t *call);

/** Sends the call if nothing that it needs is missing any more. */
void call_turn_send_if_ready(call_t *call);

/** Begins what a turn needs; sends the call once it may be sent. */
void call_turn_begin(call_t *call);
/** The stream has ended well: keeps the turn if need be, then ends the call. */
void call_turn_stream_ended(call_t *call);
/** Ends the operations under way and settles the budget. */
void call_turn_end(call_t *call);

#endif
