/**
 * @file quota_choice.h
 * Selects the member of the store group that a gateway asks for a token of a tenant.
 *
 * A limit is split among the first reachable members by the tenant's ranking (all of them unless
 * the limit is small). The gateway asks a random one of these that is not known to be out of
 * tokens, so that the buckets drain evenly. A call is refused once all of them are out of tokens.
 *
 * Decision code: no I/O, clock or threads. Times are ms of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_QUOTA_QUOTA_CHOICE_H
#define RUDDERWAY_CORE_QUOTA_QUOTA_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/** A gateway's view of a member, for one tenant. */
typedef struct {
    bool reachable;
    bool asked;           /**< Already asked for this call, without success. */
    uint64_t rank;        /**< Position in the tenant's ranking; lower comes first. */
    uint64_t empty_until; /**< The member has reported that it is out of tokens until then. */
} quota_member_t;

typedef enum {
    QUOTA_ASK,         /**< Ask the member chosen. */
    QUOTA_REFUSE,      /**< All members are out of tokens. */
    QUOTA_UNREACHABLE, /**< No member is reachable, or the reachable ones do not respond. */
} quota_step_t;

typedef struct {
    quota_step_t step;
    unsigned member;  /**< The member to ask; on refusal, the first to have a token. */
    uint32_t wait_ms; /**< On refusal, the time until then. */
} quota_decision_t;

/** True if the member at @p index is among the first @p shares reachable members. */
bool quota_holds_share(const quota_member_t *members, unsigned count, unsigned shares,
                       unsigned index);
/**
 * Chooses among @p count members, with the limit split among @p shares of them; @p random selects
 * among equal candidates.
 */
quota_decision_t quota_choose(const quota_member_t *members, unsigned count, unsigned shares,
                              uint64_t now, uint32_t random);

#endif
