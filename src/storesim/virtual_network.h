/**
 * @file virtual_network.h
 * Frames between simulated processes, in the place of net/frame_connection.c: delays, cuts,
 * processes that end with a reset or in silence.
 *
 * Thread safety: the simulator has one thread.
 */
#ifndef RUDDERWAY_STORESIM_VIRTUAL_NETWORK_H
#define RUDDERWAY_STORESIM_VIRTUAL_NETWORK_H

#include "net/frame_connection.h"
#include "storesim/virtual_loop.h"

void virtual_network_start(void);
/** Ends all connections of a process that ended; @p silent: without a word to the others. */
void virtual_network_process_ended(virtual_process_t *process, bool silent);
/** Serial numbers restart, so that a seed runs the same alone and behind others. */
void virtual_network_restart_serials(void);
/** Bytes of the largest frame that has come anywhere since the start. */
size_t virtual_network_largest_frame(void);
/** Bytes of all frames that have come anywhere since the start. */
uint64_t virtual_network_delivered_bytes(void);
/** After so long in ms the kernel finds a silent peer of a connection that carries nothing; 0:
 * never. */
void virtual_network_keep_alive(uint64_t ms);
/** Cuts two processes from one another, or joins them again. */
void virtual_network_cut(virtual_process_t *a, virtual_process_t *b, bool cut);

/**
 * A fault of the simulated code, for the sweep's own test: a member that catches up is shown
 * nothing, and takes that for everything.
 */
void virtual_network_break_catch_up(void);

/** Another one: a process that has started grants tokens at first, as if its buckets were full. */
void virtual_network_break_quotas(void);

#endif
