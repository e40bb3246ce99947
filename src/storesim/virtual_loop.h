/**
 * @file virtual_loop.h
 * Virtual time: one queue of events for all simulated processes. Defines the few functions of
 * libuv that the simulated code calls, so that its timers run in this time.
 *
 * Thread safety: the simulator has one thread.
 */
#ifndef RUDDERWAY_STORESIM_VIRTUAL_LOOP_H
#define RUDDERWAY_STORESIM_VIRTUAL_LOOP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** A simulated process; what it holds in memory is gone when it ends. */
typedef struct {
    char *name;
    char *zone;
    char *address_text;
    struct sockaddr_in address;
    uv_loop_t loop; /**< Only names the process: its data points here. */
    bool up;
    bool dark;            /**< Its machine has no power: nothing refuses a connection to it. */
    uint64_t incarnation; /**< Counts starts. */
    uint64_t paused_until;
    GHashTable *cut_from; /**< Processes that it can't reach, nor they it; see virtual_network.h. */
} virtual_process_t;

typedef void (*virtual_action_t)(void *data);

/** Begins at time 0 with this seed. */
void virtual_loop_start(uint64_t seed);
uint64_t virtual_now(void);
/** A number from @p low to @p high, both included. */
uint64_t virtual_random(uint64_t low, uint64_t high);
/** True with a chance of @p percent in 100. */
bool virtual_chance(unsigned percent);

/** Runs @p action after @p delay ms; not if @p process has ended, and later if it is paused. */
void virtual_after(uint64_t delay, virtual_process_t *process, virtual_action_t action, void *data);
/** The process whose event runs now; NULL: none's. */
const virtual_process_t *virtual_running(void);
/** True if the timer is to fire. */
bool virtual_timer_runs(const uv_timer_t *timer);
/** Runs events until @p until. */
void virtual_run(uint64_t until);

virtual_process_t *virtual_process_new(const char *name, const char *zone, unsigned number);
void virtual_process_begin(virtual_process_t *process);
/** Ends the process: its timers and events are gone. */
void virtual_process_end(virtual_process_t *process);

#endif
