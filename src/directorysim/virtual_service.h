/**
 * @file virtual_service.h
 * The key-value service in virtual time, in the place of net/http_client.c and of the adapter, so
 * that cluster/key_value_watch.c runs unchanged. It can be down, turn single processes away, lose
 * answers and forget its history.
 *
 * Thread safety: the simulator has one thread.
 */
#ifndef RUDDERWAY_DIRECTORYSIM_VIRTUAL_SERVICE_H
#define RUDDERWAY_DIRECTORYSIM_VIRTUAL_SERVICE_H

#include "storesim/virtual_loop.h"

/** How the service treats a process. */
typedef enum {
    SERVICE_SERVES,
    SERVICE_REFUSES, /**< Answers at once that it does nothing. */
    SERVICE_SILENT,  /**< Takes requests and says nothing. */
} service_manner_t;

void virtual_service_start(void);
/** How it treats everybody from now on. */
void virtual_service_set_manner(service_manner_t manner);
/** How it treats one process; the general manner goes first if that is not to serve. */
void virtual_service_set_manner_to(const virtual_process_t *process, service_manner_t manner);
/** So many in 100 answers are lost, after which their connections say nothing more. */
void virtual_service_lose_answers(unsigned percent);
/** Forgets all changes so far: watches that begin before are told so. */
void virtual_service_forget_history(void);
/** Writes a key as an operator or a back end does; NULL removes it. Returns the revision. */
uint64_t virtual_service_put(const char *key, const char *value);
/** Calls that it has answered or left unanswered. */
uint64_t virtual_service_calls(void);
/** Drops the connections of a process that has ended. */
void virtual_service_process_ended(const virtual_process_t *process);

#endif
