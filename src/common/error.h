/**
 * @file error.h
 * The one table of error codes. Every failure in every program is a GError of the
 * domain RUDDERWAY_ERROR with one of these codes; the HTTP interfaces report the
 * code's name, its HTTP status and the outcome the caller may rely on.
 *
 * Thread safety: all functions may be called from any thread.
 */
#ifndef RUDDERWAY_COMMON_ERROR_H
#define RUDDERWAY_COMMON_ERROR_H

#include <glib.h>

/** What is known about the execution of a refused request. */
typedef enum {
    OUTCOME_NOT_RUN, /**< Provably not executed, and no copy of it ever will be. */
    OUTCOME_UNKNOWN, /**< May or may not have been executed. */
    OUTCOME_FAILED,  /**< Executed; the back end answered with an error. */
} outcome_t;

/* name, stable JSON code, HTTP status, outcome, text */
#define ERROR_TABLE(X)                                                                             \
    X(NONE, "none", 200, FAILED, "no error")                                                       \
    X(BAD_REQUEST, "bad_request", 400, NOT_RUN, "the request is malformed")                        \
    X(BAD_JSON, "bad_json", 400, NOT_RUN, "the body is not valid JSON")                            \
    X(UNKNOWN_FIELD, "unknown_field", 400, NOT_RUN, "the body has a field that is not known")      \
    X(BAD_FIELD, "bad_field", 400, NOT_RUN,                                                        \
      "a field is missing, of the wrong type or out of range")                                     \
    X(BODY_TOO_LARGE, "body_too_large", 413, NOT_RUN, "the body is larger than the limit")         \
    X(UNAUTHORIZED, "unauthorized", 401, NOT_RUN, "no valid bearer token")                         \
    X(NO_SUCH_ROUTE, "no_such_route", 404, NOT_RUN, "no such path")                                \
    X(METHOD_NOT_ALLOWED, "method_not_allowed", 405, NOT_RUN, "the path has no such method")       \
    X(NO_SUCH_PROGRAM, "no_such_program", 404, NOT_RUN, "no such program of this tenant")          \
    X(NO_SUCH_CALL, "no_such_call", 404, NOT_RUN, "the program has no call of this number")        \
    X(NO_SUCH_TEMPLATE, "no_such_template", 404, NOT_RUN, "no such template for this tenant")      \
    X(NO_SUCH_SERVICE, "no_such_service", 404, NOT_RUN, "no back end offers this service")         \
    X(NO_SUCH_OBJECT, "no_such_object", 404, NOT_RUN, "no such configuration object")              \
    X(CALL_MISMATCH, "call_mismatch", 409, NOT_RUN,                                                \
      "the call number was used for another request")                                              \
    X(PROGRAM_MISMATCH, "program_mismatch", 409, NOT_RUN,                                          \
      "the program id was used for another start")                                                 \
    X(OUT_OF_ORDER, "out_of_order", 409, NOT_RUN, "earlier calls of the program have not run")     \
    X(PROGRAM_ENDED, "program_ended", 409, NOT_RUN, "the program has ended")                       \
    X(BUDGET_EXCEEDED, "budget_exceeded", 402, NOT_RUN, "the call could exceed the budget")        \
    X(TURN_LIMIT, "turn_limit", 409, NOT_RUN, "the program has used all its turns")                \
    X(LOOP_DETECTED, "loop_detected", 409, NOT_RUN, "the program repeats the same call")           \
    X(OVERLOADED, "overloaded", 503, NOT_RUN, "the node's queue is full")                          \
    X(TENANT_LIMIT, "tenant_limit", 429, NOT_RUN, "the tenant has reached its limit")              \
    X(MEMORY_LIMIT, "memory_limit", 503, NOT_RUN,                                                  \
      "the node holds as much program state as it may")                                            \
    X(STOPPING, "stopping", 503, NOT_RUN, "the node is stopping")                                  \
    X(NO_BACKEND, "no_backend", 503, NOT_RUN, "no back end can take the call")                     \
    X(NOT_READY, "not_ready", 503, NOT_RUN, "the node is not ready yet")                           \
    X(NOT_LEADER, "not_leader", 503, UNKNOWN, "another node leads the partition")                  \
    X(UNAVAILABLE, "unavailable", 503, UNKNOWN, "the partition has no quorum in reach")            \
    X(TIMED_OUT, "timed_out", 504, UNKNOWN, "no answer before the deadline")                       \
    X(CONNECTION_LOST, "connection_lost", 502, UNKNOWN, "the connection to the back end broke")    \
    X(RUNNER_LOST, "runner_lost", 502, UNKNOWN, "the node that ran the call was lost")             \
    X(CALL_RUNNING, "call_running", 202, UNKNOWN, "the call has no answer yet")                    \
    X(CANNOT_CONNECT, "cannot_connect", 502, NOT_RUN, "the back end accepts no connection")        \
    X(BACKEND_FAILED, "backend_failed", 502, FAILED, "the back end answered with an error")        \
    X(BACKEND_PROTOCOL, "backend_protocol", 502, FAILED, "the back end's answer is malformed")     \
    X(EDIT_CONFLICT, "edit_conflict", 409, NOT_RUN, "the object was changed by another edit")      \
    X(EDIT_INVALID, "edit_invalid", 422, NOT_RUN, "the edit is not valid")                         \
    X(EDIT_UNKNOWN, "edit_unknown", 504, UNKNOWN,                                                  \
      "the key-value service did not say whether it wrote")                                        \
    X(KEY_VALUE_UNAVAILABLE, "key_value_unavailable", 503, NOT_RUN,                                \
      "the key-value service refuses")                                                             \
    X(KEY_VALUE_CONFLICT, "key_value_conflict", 409, NOT_RUN,                                      \
      "the key was changed by another writer")                                                     \
    X(SETTINGS_INVALID, "settings_invalid", 400, NOT_RUN, "a setting is not valid")                \
    X(FRAME_INVALID, "frame_invalid", 400, NOT_RUN, "a peer frame is malformed or not authentic")  \
    X(SYSTEM, "system", 500, UNKNOWN, "the operating system refused an operation")

/** Error codes of the domain RUDDERWAY_ERROR. */
typedef enum {
#define X(name, code, status, outcome, text) RUDDERWAY_ERROR_##name,
    ERROR_TABLE(X)
#undef X
        RUDDERWAY_ERROR_COUNT
} error_code_t;

#define RUDDERWAY_ERROR (rudderway_error_quark())

/** The GError domain of all programs. */
GQuark rudderway_error_quark(void);

/** The stable name of @p code as it stands in JSON, for example "bad_json". */
const char *error_name(error_code_t code);

/** The HTTP status that reports @p code. */
unsigned error_http_status(error_code_t code);

/** What a refusal with @p code says about execution. */
outcome_t error_outcome(error_code_t code);

/** One English sentence for @p code. */
const char *error_text(error_code_t code);

/** The code with the stable name @p name; RUDDERWAY_ERROR_SYSTEM if there is none. */
error_code_t error_from_name(const char *name);

/** The name of @p outcome in JSON: "not_run", "unknown" or "failed". */
const char *outcome_name(outcome_t outcome);

/** Sets @p error to @p code with the table's text followed by a formatted detail. */
void error_set(GError **error, error_code_t code, const char *format, ...) G_GNUC_PRINTF(3, 4);

#endif
