/**
 * @file program.h
 * What the gateway's and the storage node's programs share: command line, settings, log, signals.
 *
 * Thread safety: called from main and the loop's thread.
 */
#ifndef RUDDERWAY_CLUSTER_PROGRAM_H
#define RUDDERWAY_CLUSTER_PROGRAM_H

#include "cluster/process_settings.h"

#include <uv.h>

typedef struct {
    const char *name;
    const char *version; /**< As --version prints it. */
    const char *purpose; /**< One line for --help. */
    process_kind_t kind;
    /** Runs until the process should end; returns its exit status. */
    int (*run)(const process_settings_t *settings);
} program_t;

/** Reads command line and settings, opens the log and runs; returns the exit status. */
int program_main(const program_t *program, int argc, char **argv);

/** The signals of a planned stop, and the one that says that the settings file has changed. */
typedef struct {
    uv_signal_t terminate;
    uv_signal_t interrupt;
    uv_signal_t reload;
} program_signals_t;

/** Calls @p stop, with @p owner in the handle's data, when a planned stop is asked for. */
void program_watch_signals(program_signals_t *signals, uv_loop_t *loop, uv_signal_cb stop,
                           void *owner);

#endif
