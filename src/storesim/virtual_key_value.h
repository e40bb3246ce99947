/**
 * @file virtual_key_value.h
 * The key-value service in virtual time, in the place of cluster/key_value_watch.c and of the
 * adapter: it can be down, and lose the answer of a write that takes effect.
 *
 * Thread safety: the simulator has one thread.
 */
#ifndef RUDDERWAY_STORESIM_VIRTUAL_KEY_VALUE_H
#define RUDDERWAY_STORESIM_VIRTUAL_KEY_VALUE_H

#include "cluster/key_value_watch.h"
#include "storesim/virtual_loop.h"

void virtual_key_value_start(void);
void virtual_key_value_set_down(bool down);
/** Cuts a process off from the service, or ends that. */
void virtual_key_value_cut(const virtual_process_t *process, bool cut);
/** Called before each write that is done. */
typedef void (*virtual_key_value_observer_t)(const char *key, GBytes *value);
void virtual_key_value_observe(virtual_key_value_observer_t written);
/**
 * A fault of the watch, for the sweep's own test: what is found in a listing seems to come from a
 * watch without a gap.
 */
void virtual_key_value_hide_listings(bool on);
/** So many in 100 writes are done and not answered. */
void virtual_key_value_lose_answers(unsigned percent);
/** Drops the watches of a process that ended. */
void virtual_key_value_process_ended(const virtual_process_t *process);
/** Writes a key as an operator does. */
void virtual_key_value_put(const char *key, GBytes *value);
/** Removes a key as an operator does. */
void virtual_key_value_remove(const char *key);
/** The value of @p key; NULL: there is none. */
GBytes *virtual_key_value_get(const char *key);
/** Number of keys that begin with @p prefix. */
unsigned virtual_key_value_count(const char *prefix);
/**
 * A fault of the service, for the sweep's own test: it acknowledges writes of turns that storage
 * nodes keep there while their disks stall, and forgets them.
 */
void virtual_key_value_forget_turns(bool on);

#endif
