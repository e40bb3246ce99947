/**
 * @file space_reservations.h
 * Space that a storage node reserves for the turns of calls in progress. A call that has reserved
 * budget may write a turn once the engine has generated it. Until then the turn occupies no space,
 * so without reservations the same free space would be promised to all concurrent calls. The size
 * of a future turn is estimated by the mean of earlier ones.
 *
 * Decision code: no I/O, clock or thread; times are in ms of one clock.
 */
#ifndef RUDDERWAY_CORE_TURNS_SPACE_RESERVATIONS_H
#define RUDDERWAY_CORE_TURNS_SPACE_RESERVATIONS_H

#include <glib.h>
#include <stdint.h>

/**
 * A reservation expires after this, in ms, if its call has neither written a turn nor been settled:
 * its gateway has probably failed. A turn that arrives later is still accepted while there is
 * space.
 */
enum { SPACE_RESERVATION_TIMEOUT_MS = 60000 };

typedef struct {
    GHashTable *calls;    /**< Call id to its link in @c order. */
    GQueue order;         /**< One reservation per call, oldest first. */
    double mean_bytes;    /**< Moving average of the turn size of completed calls. */
    uint64_t completed;   /**< Number of calls in that average. */
    uint64_t known_bytes; /**< Of the turns that are known to be large. */
} space_reservations_t;

void space_reservations_init(space_reservations_t *reservations);
void space_reservations_clear(space_reservations_t *reservations);
/** Reserves space for the turn of @p call; no effect if it has a reservation already. */
void space_reservations_add(space_reservations_t *reservations, const char *call, uint64_t now);
/** As space_reservations_add(), for a turn that is known to have @p bytes more than the mean. */
void space_reservations_add_large(space_reservations_t *reservations, const char *call,
                                  uint64_t bytes, uint64_t now);
/** The size given to space_reservations_add_large() for the call; 0: none. */
uint64_t space_reservations_known_bytes(const space_reservations_t *reservations, const char *call);
/** Ends the reservation of a call that wrote a turn of @p turn_bytes; 0: it wrote none. */
void space_reservations_complete(space_reservations_t *reservations, const char *call,
                                 uint64_t turn_bytes);
/** Ends the reservation of a call that was not run; the average is unaffected. */
void space_reservations_cancel(space_reservations_t *reservations, const char *call);
/** Removes reservations that are SPACE_RESERVATION_TIMEOUT_MS old or older. */
void space_reservations_expire(space_reservations_t *reservations, uint64_t now);
/** Bytes reserved for all calls; @p initial_mean is used until a call has completed. */
uint64_t space_reservations_bytes(const space_reservations_t *reservations, uint64_t initial_mean);

#endif
