/**
 * @file engine_limit.h
 * How many calls an engine takes before it turns one away.
 *
 * No directory tells it. An engine that turned a call away is known as full: nothing goes there
 * until its load has fallen, or what is known of its load has had time to come. The load at that
 * moment is also what its queue holds. Loads are known late, so that one such load says little;
 * the bound follows them by parts, and a call that was taken at a higher load moves it up. It is
 * learned for one life of the engine: another one starts with nothing known.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_LIMIT_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed: nothing is known. */
typedef struct {
    uint64_t born;          /**< Of the life that this was learned in. */
    double bound;           /**< Load at which calls are turned away; 0: unknown. */
    unsigned refused_load;  /**< When it last turned a call away. */
    uint64_t refused_until; /**< Until then it counts as full unless its load has fallen. */
} engine_limit_t;

/** It turned a call away when its load, without that call, was @p load. */
void engine_limit_note_refused(engine_limit_t *limit, uint64_t born, unsigned load, unsigned slots,
                               uint64_t now);
/** It ran a call that was sent when its load was @p load. */
void engine_limit_note_taken(engine_limit_t *limit, uint64_t born, unsigned load);
/** True if it turned a call away and its load has not fallen since. */
bool engine_limit_turns_away(const engine_limit_t *limit, uint64_t born, unsigned load,
                             uint64_t now);
/** Calls that it lets wait; 0: unknown. */
unsigned engine_limit_queue(const engine_limit_t *limit, uint64_t born, unsigned slots);

#endif
