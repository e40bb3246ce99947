/**
 * @file load_sharing.h
 * What the gateways tell one another: how many calls each has under way at each back end, and
 * which back ends it finds down. A
 * gateway learns of the others from the storage nodes, to which all connect. Datagrams; a lost
 * one is made good by the next, and what a silent gateway said last is soon forgotten.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_LOAD_SHARING_H
#define RUDDERWAY_GATEWAY_LOAD_SHARING_H

#include "gateway/backends.h"

typedef struct load_sharing load_sharing_t;

/** NULL if @p address can't be used. */
load_sharing_t *load_sharing_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                  backends_t *backends);
/** Replaces the list of gateways by "IP:PORT" texts; its own address is left out. */
void load_sharing_set_gateways(load_sharing_t *sharing, const GPtrArray *addresses);
/** Tells the others now what this gateway knows; for news that can't wait. */
void load_sharing_tell_now(load_sharing_t *sharing);

#endif
