/**
 * @file service_choice.h
 * Chooses the back end of a service for a call.
 *
 * The candidate with the lowest expected delay wins. Calls in progress add to the delay, and much
 * more so beyond the back end's slots; so do a new connection and another zone. An avoided back end
 * (slow to respond or probably down) is used only if there is no other. If more than a third are
 * avoided, failure detection is considered unreliable and avoidance only adds to the cost.
 *
 * Where speeds are measured, delays scale with the back end's speed, and another zone is used only
 * when the call would be queued in the local one, which keeps traffic between zones low.
 *
 * Ties are broken by a hash of gateway and back end. With the same order at all gateways, which
 * learn of each other's calls late, all would send to the same back end: in a model of 145 gateways
 * and 555 back ends with 6 slots, at 120 calls per second of 70 ms each, 0.76 of the calls found
 * the slots occupied. With an order per gateway none did, with as many connections
 * (tests/unit/service_choice_test.cc).
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_ROUTING_SERVICE_CHOICE_H
#define RUDDERWAY_CORE_ROUTING_SERVICE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/** A back end that can run the call. */
typedef struct {
    uint64_t id;   /**< Hash of the back end's instance. */
    unsigned load; /**< Known calls in progress from all gateways. */
    unsigned slots;
    bool connected; /**< An idle connection is open. */
    bool local;     /**< In the gateway's zone. */
    bool avoided;
    unsigned speed_percent; /**< Of the service's typical speed; 0: speeds are not measured. */
    unsigned answer_ms;     /**< Typical response time of the service; 0: unknown. */
} service_candidate_t;

/** Cost of a back end in another zone where speeds are not measured, in units of service_cost. */
enum { SERVICE_REMOTE_COST = 80 };

/**
 * Expected delay at a back end that is not avoided, in units of 0.1 ms, relative to an idle back
 * end of typical speed in the local zone; negative for a faster one.
 */
int service_cost(const service_candidate_t *candidate);
/**
 * True if no back end of another zone can be better than @p candidate, the best one of the local
 * zone. Where speeds are measured, that is while it has a free slot.
 */
bool service_stays_local(const service_candidate_t *candidate);

/**
 * Sets @p chosen to the index of the best candidate. False if there is none.
 * @param seed Of this gateway; breaks ties.
 */
bool service_choose(const service_candidate_t *candidates, unsigned count, uint64_t seed,
                    unsigned *chosen);

#endif
