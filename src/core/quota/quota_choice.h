/**
 * @file quota_choice.h
 * Which member of the store group a gateway asks for a tenant's token.
 *
 * A limit is split among the first members by the tenant's own ranking that can be reached (all of
 * them for all but the smallest limits). Any of these may be asked; one that is not known to be out
 * of tokens is chosen by lot, so that the members' buckets empty alike. A tenant is refused once
 * every one of them is out of tokens.
 *
 * Decision code: no I/O, clock or thread. Times are milliseconds of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_QUOTA_QUOTA_CHOICE_H
#define RUDDERWAY_CORE_QUOTA_QUOTA_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/** What a gateway knows of a member, for one tenant. */
typedef struct {
    bool reachable;
    bool asked;           /**< For the present call, in vain. */
    uint64_t rank;        /**< By the tenant's ranking: the lower, the earlier. */
    uint64_t empty_until; /**< It said that it has no token until then. */
} quota_member_t;

typedef enum {
    QUOTA_ASK,         /**< Ask the member chosen. */
    QUOTA_REFUSE,      /**< Every one is out of tokens. */
    QUOTA_UNREACHABLE, /**< None can be reached, or those that can do not answer. */
} quota_step_t;

typedef struct {
    quota_step_t step;
    unsigned member;  /**< The member to ask; of a refusal, the first to have a token again, */
    uint32_t wait_ms; /**< and in how long. */
} quota_decision_t;

/** True if the member at @p index is among the first @p shares that can be reached. */
bool quota_holds_share(const quota_member_t *members, unsigned count, unsigned shares,
                       unsigned index);
/**
 * What to do for a call: @p members are @p count, the limit is split among @p shares of them;
 * @p random decides among equals.
 */
quota_decision_t quota_choose(const quota_member_t *members, unsigned count, unsigned shares,
                              uint64_t now, uint32_t random);

#endif
