/**
 * @file call_fields.h
 * Header fields of calls and responses. Their names on the wire are defined by the platform
 * adapter: platform/ implements call_field_name.
 */
#ifndef RUDDERWAY_GATEWAY_CALL_FIELDS_H
#define RUDDERWAY_GATEWAY_CALL_FIELDS_H

#include <stdbool.h>

typedef enum {
    FIELD_CALL_ID,          /**< Identifies one attempt of a caller; echoed by every response. */
    FIELD_DEADLINE_MS,      /**< Remaining time of the caller, in ms. */
    FIELD_EXPECT_INSTANCE,  /**< Back end instance that the call is sent to. */
    FIELD_SIGNATURE,        /**< Back end's signature of its response. */
    FIELD_NOT_RUN,          /**< Present if the back end did not run the call. */
    FIELD_PROGRAM,          /**< Program that the call belongs to. */
    FIELD_SESSION,          /**< Conversation within the program. */
    FIELD_BUDGET,           /**< Maximum number of tokens of all calls of the program. */
    FIELD_TOKENS,           /**< "PROMPT,MAX": prompt tokens, and maximum of generated tokens. */
    FIELD_PREVIOUS_TURN,    /**< Turn that this one continues. */
    FIELD_RESUMES,          /**< Caller's attempt that brought the first event of the stream. */
    FIELD_LAST_EVENT,       /**< Last event of a stream that the caller received. */
    FIELD_PRIORITY,         /**< 0 (highest) to 9 at an engine. */
    FIELD_PROMPT_PARTS,     /**< "ID:TOKENS,...": the prompt's parts in order. */
    FIELD_PROGRAM_DEADLINE, /**< Remaining time of the program, in ms. */
    FIELD_TENANT,           /**< Tenant of the call; sent to back ends. */
    FIELD_KEY,              /**< Caller's key, in the form that call_field_parse_key parses. */
    FIELD_COUNT,
} call_field_t;

/** The name of @p field on the wire. */
const char *call_field_name(call_field_t field);
/**
 * True for a field that only the gateway may set, because back ends act on it or trust it. A
 * caller's value of such a field is dropped: it could name reservations or memory of others, and
 * engines refuse such calls. All other fields of a caller are forwarded.
 */
bool call_field_is_gateway_only(const char *name);
/** The key in a value of FIELD_KEY; NULL if there is none. */
const char *call_field_parse_key(const char *value);
/** URL path of the gateway's readiness check. */
const char *readiness_check_path(void);

#endif
