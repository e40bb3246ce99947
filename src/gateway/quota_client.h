/**
 * @file quota_client.h
 * A gateway's way to the tokens of tenants whose calls are limited: asks members of the store group
 * for one a call (core/quota/quota_choice.h), and keeps the few that a call did not need for the
 * next one.
 *
 * While all are out of tokens, the one that will have one first is asked for that one, if it comes
 * soon: the call waits for it, and is then sent for certain. Callers who are refused come back
 * later than that.
 *
 * A program's call asks the program's home first (core/admission/program_home.h), which may refuse
 * it if the program is new; the rest goes as for any call, but that one of a program that the home
 * lets go on may wait longer.
 *
 * A grant has an end, counted from when it was asked for. So a gateway that was paused, or whose
 * answer was long on its way, sends nothing on a grant that the storage nodes have filled up since.
 *
 * Failures. A member that does not answer soon is passed over for a while. While no member can be
 * reached nothing is granted: a gateway that is cut off can't tell what others let through.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_QUOTA_CLIENT_H
#define RUDDERWAY_GATEWAY_QUOTA_CLIENT_H

#include "core/tenancy/tenancy.h"
#include "gateway/store_client.h"

typedef struct quota_client quota_client_t;
/** A call that waits for an answer. */
typedef struct quota_ask quota_ask_t;

typedef enum {
    QUOTA_GRANTED,
    QUOTA_OVER,    /**< The tenant has used up its limit. */
    QUOTA_UNSURE,  /**< No storage node says. */
    QUOTA_WAITING, /**< The outcome comes later. */
} quota_outcome_t;

typedef struct {
    quota_outcome_t outcome;
    uint64_t until;   /**< Of a grant: loop time in ms at which it ends. */
    uint32_t wait_ms; /**< Over the limit: when to come back. */
    bool not_begun;   /**< Over the limit: the program's home lets no new one begin. */
} quota_result_t;

/** What is known of a call when it asks. */
typedef struct {
    const char *program; /**< NULL: a plain call. */
    const char *route;
    bool begun; /**< The call shows that its program has had an answer. */
    bool late;  /**< The time by which its program should have ended is over. */
    uint32_t time_left_ms;
} quota_call_t;

typedef void (*quota_done_t)(void *owner, const quota_result_t *result);

quota_client_t *quota_client_new(uv_loop_t *loop, store_client_t *stores,
                                 const quota_bounds_t *bounds);
/**
 * Asks for one call of @p tenant, as the configuration of version @p version describes it. If the
 * outcome is QUOTA_WAITING, @p ask is set and @p done is called once, later.
 */
quota_result_t quota_client_ask(quota_client_t *client, const tenant_t *tenant, uint64_t version,
                                const quota_call_t *call, quota_done_t done, void *owner,
                                quota_ask_t **ask);
/** Ends an ask without a callback. */
void quota_ask_cancel(quota_ask_t *ask);
/** A grant was not used; it may serve another call of the tenant until its end. */
void quota_client_give_back(quota_client_t *client, const tenant_t *tenant, uint64_t until);
/** A back end may run the tenant's call once more, without a grant: lets a member count it. */
void quota_client_charge(quota_client_t *client, const tenant_t *tenant, uint64_t version);
/** Takes a member's answer, or its word that the group has changed. */
void quota_client_take_answer(quota_client_t *client, unsigned member, const message_t *message);
/** Requests sent to members so far. */
uint64_t quota_client_requests(const quota_client_t *client);

#endif
