/**
 * @file quota_client.h
 * A gateway's client of the token buckets of tenants with a limit: requests one token per call from
 * the members of the store group (core/quota/quota_choice.h) and reuses unused grants.
 *
 * While all members are out of tokens, the one that refills first is asked to promise its next
 * token if that is due soon; the call then waits for it. Otherwise the caller is refused with a
 * retry-after beyond that time.
 *
 * A program's call first goes to the program's home (core/admission/program_home.h), which may
 * refuse a new program. If the home admits it, the call proceeds like any other, but may wait
 * longer for a token.
 *
 * A grant expires, counted from the time of the request, so that a paused gateway or a delayed
 * response cannot use a token that the bucket has refilled since.
 *
 * Failures: a member that does not respond in time is skipped for a while. While no member is
 * reachable nothing is granted, since an isolated gateway cannot know what the others admit.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_QUOTA_CLIENT_H
#define RUDDERWAY_GATEWAY_QUOTA_CLIENT_H

#include "core/tenancy/tenancy.h"
#include "gateway/store_client.h"

typedef struct quota_client quota_client_t;
/** A pending request of a call. */
typedef struct quota_request quota_request_t;

typedef enum {
    QUOTA_GRANTED,
    QUOTA_EXCEEDED,    /**< The tenant is over its limit. */
    QUOTA_UNAVAILABLE, /**< No storage node responded. */
    QUOTA_PENDING,     /**< The outcome is reported by the callback. */
} quota_outcome_t;

typedef struct {
    quota_outcome_t outcome;
    uint64_t until;       /**< Of a grant: loop time in ms at which it expires. */
    uint32_t wait_ms;     /**< Over the limit: retry-after. */
    bool program_refused; /**< Over the limit: the home admits no new programs. */
} quota_result_t;

/** The call for which a token is requested. */
typedef struct {
    const char *program; /**< NULL: the call belongs to no program. */
    const char *route;
    bool begun; /**< Its program has already received a response. */
    bool late;  /**< Its program's deadline has passed. */
    uint32_t time_left_ms;
} quota_call_t;

typedef void (*quota_done_t)(void *owner, const quota_result_t *result);

quota_client_t *quota_client_new(uv_loop_t *loop, store_client_t *stores,
                                 const quota_bounds_t *bounds);
/**
 * Requests a token for one call of @p tenant, with the limit of configuration @p version. If the
 * outcome is QUOTA_PENDING, @p request is set and @p done is called once, later.
 */
quota_result_t quota_client_acquire(quota_client_t *client, const tenant_t *tenant,
                                    uint64_t version, const quota_call_t *call, quota_done_t done,
                                    void *owner, quota_request_t **request);
/** Ends a request without a callback. */
void quota_request_cancel(quota_request_t *request);
/** Returns an unused grant for another call of the tenant until it expires. */
void quota_client_return_grant(quota_client_t *client, const tenant_t *tenant, uint64_t until);
/**
 * Charges the tenant one token for a further send of an admitted call, without waiting for a grant:
 * uses up an unused grant, or else tells a member to charge its bucket.
 */
void quota_client_charge(quota_client_t *client, const tenant_t *tenant, uint64_t version);
/** Processes a member's response, including RESPONSE_OLD_GENERATION. */
void quota_client_handle_response(quota_client_t *client, unsigned member,
                                  const message_t *message);
/** Total number of requests sent to members. */
uint64_t quota_client_request_count(const quota_client_t *client);

#endif
