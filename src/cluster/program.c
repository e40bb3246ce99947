#include "cluster/program.h"

#include "common/event.h"

#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>

enum {
    /** Blocks from this size on go back to the system as they are freed, and grow without a copy.
     */
    MAPPED_BLOCK_BYTES = 64 * 1024,
    /** Free memory at the end of the heap that the process keeps. */
    HEAP_SPARE_BYTES = 1024 * 1024,
};

/**
 * By default the C library raises its threshold to the largest block that was freed: bodies of a
 * burst then fragment the heap, which holds their memory long after them.
 */
static void configure_allocator(void) {
    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
    mallopt(M_TRIM_THRESHOLD, HEAP_SPARE_BYTES);
}

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    switch (key) {
    case 's':
        *(char **)state->input = argument;
        return 0;
    case ARGP_KEY_ARG:
        argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "Settings file; default: $RUDDERWAY_SETTINGS", 0}, {0}};

static process_settings_t *load_settings(const char *path, process_kind_t kind, GError **error) {
    if (path != NULL)
        return process_settings_load(path, kind, error);
    error_set(error, RUDDERWAY_ERROR_SETTINGS_INVALID, "no settings file is named");
    return NULL;
}

int program_main(const program_t *program, int argc, char **argv) {
    const struct argp argp = {options, parse_option, NULL, program->purpose, NULL, NULL, NULL};
    char *settings_path = getenv("RUDDERWAY_SETTINGS");
    argp_program_version = program->version;
    argp_parse(&argp, argc, argv, 0, NULL, &settings_path);
    signal(SIGPIPE, SIG_IGN);
    configure_allocator();
    GError *error = NULL;
    process_settings_t *settings = load_settings(settings_path, program->kind, &error);
    event_open(program->name, settings == NULL ? "info" : settings->log_level);
    int status = EXIT_FAILURE;
    if (settings == NULL)
        event_log(NODE_FAILED, error_name(RUDDERWAY_ERROR_SETTINGS_INVALID), error->message);
    else
        status = program->run(settings);
    event_close();
    process_settings_free(settings);
    g_clear_error(&error);
    return status;
}

static void on_reload(uv_signal_t *handle, int number) {
    (void)handle;
    event_log(SETTINGS_RELOADED, number);
}

static void watch_signal(uv_loop_t *loop, uv_signal_t *handle, int number, uv_signal_cb action,
                         void *owner) {
    uv_signal_init(loop, handle);
    handle->data = owner;
    uv_signal_start(handle, action, number);
}

void program_watch_signals(program_signals_t *signals, uv_loop_t *loop, uv_signal_cb stop,
                           void *owner) {
    watch_signal(loop, &signals->terminate, SIGTERM, stop, owner);
    watch_signal(loop, &signals->interrupt, SIGINT, stop, owner);
    watch_signal(loop, &signals->reload, SIGHUP, on_reload, owner);
}
