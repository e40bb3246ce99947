/**
 * @file service_choice.h
 * At which of a service's back ends a call runs.
 *
 * Each has an expected delay, and the least wins: calls under way add to it, and much more so
 * beyond the back end's slots; a new connection takes time and is paid for; another zone is farther
 * away. One that is avoided (slow to answer, or it seems to be down) is taken only if there is no
 * other, unless so many are avoided that the sign is doubtful.
 *
 * Where speeds are measured, calls under way and the call itself count as longer at a slow back
 * end, and another zone is only used when a call would queue in this one: so calls follow what
 * back ends can do, and bytes between zones are spent only when that saves a wait.
 *
 * Of equals each gateway has an order of its own, by a hash of gateway and back end. With one order
 * for all, 145 gateways of a zone, which hear of one another's calls only after these have ended,
 * sent all to one back end: on a model of 120 calls a second of 70 ms each at 555 back ends with 6
 * slots, 0.76 of the calls found the slots taken; with orders of their own none did, over as many
 * connections (tests/unit/service_choice_test.cc).
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_ROUTING_SERVICE_CHOICE_H
#define RUDDERWAY_CORE_ROUTING_SERVICE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/** One back end that could run the call. */
typedef struct {
    uint64_t id;   /**< Hash of its instance. */
    unsigned load; /**< Calls under way there, of all gateways as far as known. */
    unsigned slots;
    bool connected; /**< A kept connection is free. */
    bool near;      /**< In this gateway's zone. */
    bool avoided;
    unsigned speed_percent; /**< Of the service's typical speed; 0: speeds are not measured. */
    unsigned answer_ms;     /**< Usual time of the service's answers; 0: unknown. */
} service_candidate_t;

/** What a back end of another zone costs more, as service_cost; a nearer one below it is better. */
enum { SERVICE_FAR_COST = 80 };

/**
 * Expected delay at a back end that is not avoided, in units of 0.1 ms, against an idle one of
 * typical speed of this zone; less than 0 at a faster one.
 */
int service_cost(const service_candidate_t *candidate);
/**
 * True if no back end of another zone is worth it when @p candidate is the best of this zone. Where
 * speeds are measured, that is as long as it has a free slot.
 */
bool service_stays_near(const service_candidate_t *candidate);

/**
 * Chooses among @p count candidates: @p chosen is the index. False if there is none.
 * @param seed The gateway's own; gives its order of equals.
 */
bool service_choose(const service_candidate_t *candidates, unsigned count, uint64_t seed,
                    unsigned *chosen);

#endif
