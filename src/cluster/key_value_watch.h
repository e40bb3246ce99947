/**
 * @file key_value_watch.h
 * Keeps one prefix of the key-value service in view: lists it, watches it, and lists again
 * whenever the watch may have missed something. Also writes single keys.
 *
 * Failures. The service may refuse, be slow, fall silent, cut a watch or forget its history; an
 * answer may be lost, after which that connection says nothing more. Each call has a time limit
 * and each failure a pause with jitter before the next, on a new connection.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_CLUSTER_KEY_VALUE_WATCH_H
#define RUDDERWAY_CLUSTER_KEY_VALUE_WATCH_H

#include "cluster/key_value.h"

#include <uv.h>

typedef struct key_value_watch key_value_watch_t;

typedef struct {
    /** A key was written or, with a NULL value, is gone. */
    void (*on_item)(void *owner, const key_value_item_t *item);
    /**
     * A listing is complete; @p keys holds its keys as a set. Others exist no more. NULL: all since
     * the revision of key_value_watch_resume was seen instead.
     */
    void (*on_listed)(void *owner, GHashTable *keys);
    /** The service answers again, or no longer. */
    void (*on_reachable)(void *owner, bool reachable);
} key_value_watch_handler_t;

/** @p wait_ms: how long one watch waits for a change. */
key_value_watch_t *key_value_watch_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                        const char *host, const char *prefix, uint32_t wait_ms,
                                        const key_value_watch_handler_t *handler, void *owner);

/** The same, held: nothing is asked before key_value_watch_go_on. */
key_value_watch_t *key_value_watch_open_held(uv_loop_t *loop, const struct sockaddr_in *address,
                                             const char *host, const char *prefix, uint32_t wait_ms,
                                             const key_value_watch_handler_t *handler, void *owner);
/** Since when it is held, in loop time; 0: it is not, or all was seen elsewhere since. */
uint64_t key_value_watch_held_since(const key_value_watch_t *watch);
/**
 * While it is held: what stood there at @p revision is known from elsewhere, so that it will begin
 * with a watch from there. If the service has forgotten what came since, all is listed.
 */
void key_value_watch_resume(key_value_watch_t *watch, uint64_t revision);
/** Begins to list and watch. */
void key_value_watch_go_on(key_value_watch_t *watch);
/** How long the next watch waits for a change, in ms. */
void key_value_watch_set_wait(key_value_watch_t *watch, uint32_t wait_ms);
/** Gives up the watch that waits now, if one does, for a new one from the same revision, which is
 * answered at once; ends a rest. */
void key_value_watch_renew(key_value_watch_t *watch);
/** Least time between two watches, in ms, beside the pauses that a watch makes anyway. */
void key_value_watch_set_pause(key_value_watch_t *watch, uint32_t pause_ms);
/** A patient watch asks seldom while the service does not answer: others find out when it does. */
void key_value_watch_set_patient(key_value_watch_t *watch, bool patient);
/** Loop time of the latest failure; 0: the service has answered since, or never failed. */
uint64_t key_value_watch_failed_at(const key_value_watch_t *watch);
/** Stops listing and watching until key_value_watch_renew. */
void key_value_watch_rest(key_value_watch_t *watch);
bool key_value_watch_rests(const key_value_watch_t *watch);
/**
 * While it rests: all changes up to the one at revision @p changed have been seen elsewhere; the
 * next watch begins from there.
 */
void key_value_watch_advance(key_value_watch_t *watch, uint64_t changed);
/** True unless a listing is due or under way. */
bool key_value_watch_listed(const key_value_watch_t *watch);
/** Everything up to this revision has been seen; 0 before the first listing. */
uint64_t key_value_watch_known(const key_value_watch_t *watch);
/** The latest revision at which a change was seen. */
uint64_t key_value_watch_changed(const key_value_watch_t *watch);
/** Loop time of the latest well-formed answer, and of the present call's beginning; 0: none. */
uint64_t key_value_watch_answered_at(const key_value_watch_t *watch);
uint64_t key_value_watch_begun_at(const key_value_watch_t *watch);

/**
 * Writes a key on a connection of its own; @p done says what became of it. A refusal includes
 * "no answer": the write may still happen.
 */
void key_value_write(uv_loop_t *loop, const struct sockaddr_in *address, GString *request,
                     void (*done)(void *owner, key_value_outcome_t outcome), void *owner);

#endif
