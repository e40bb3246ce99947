/**
 * @file engine_limit.h
 * Estimates how many calls an engine accepts before it refuses one.
 *
 * The directory does not publish this limit. After a refusal the engine counts as full until its
 * load has fallen, or until the known loads have been updated. The load at a refusal is also
 * an observation of the limit. Since known loads lag, the estimate follows these observations
 * gradually; an accepted call at a higher load raises it. Estimates belong to one incarnation of
 * the engine.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_LIMIT_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialized: nothing is known. */
typedef struct {
    uint64_t incarnation;   /**< The engine's incarnation that the rest applies to. */
    double limit;           /**< Load at which calls are refused; 0: unknown. */
    unsigned refused_load;  /**< Load at the latest refusal. */
    uint64_t refused_until; /**< Until then the engine is full unless its load has fallen. */
} engine_limit_t;

/** The engine refused a call; @p load does not include that call. */
void engine_limit_record_refused(engine_limit_t *limit, uint64_t incarnation, unsigned load,
                                 unsigned slots, uint64_t now);
/** The engine ran a call that was sent at load @p load. */
void engine_limit_record_accepted(engine_limit_t *limit, uint64_t incarnation, unsigned load);
/** True if the engine refused a call recently and its load has not fallen since. */
bool engine_limit_is_refusing(const engine_limit_t *limit, uint64_t incarnation, unsigned load,
                              uint64_t now);
/** Estimated maximum number of queued calls; 0: unknown. */
unsigned engine_limit_queue(const engine_limit_t *limit, uint64_t incarnation, unsigned slots);

#endif
