/** The storage node's program: settings, loop, signals. */
#include "common/event.h"
#include "store/store.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>

enum { STOP_MS = 1000 };

const char *argp_program_version = "rudderway-store " RUDDERWAY_VERSION;

static char *settings_path;

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    switch (key) {
    case 's':
        settings_path = argument;
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
static const struct argp argp = {
    options, parse_option, NULL, "Rudderway's storage node: keeps turns and budgets on disk.",
    NULL,    NULL,         NULL};

static void on_stop_timer(uv_timer_t *timer) {
    uv_stop(timer->loop);
}

static void on_stop_signal(uv_signal_t *handle, int number) {
    store_t *store = handle->data;
    if (store->stopping)
        return;
    store->stopping = true;
    event_log(STORE_STOPPING, number);
    uv_timer_stop(&store->upkeep);
    uv_timer_start(&store->upkeep, on_stop_timer, record_log_idle(store->log) ? 0 : STOP_MS, 0);
}

static void on_reload_signal(uv_signal_t *handle, int number) {
    (void)handle;
    event_log(SETTINGS_RELOADED, number);
}

static void watch_signal(store_t *store, uv_signal_t *handle, int number, uv_signal_cb action) {
    uv_signal_init(store->loop, handle);
    handle->data = store;
    uv_signal_start(handle, action, number);
}

static int run(const process_settings_t *settings) {
    uv_loop_t loop;
    store_t store = {.loop = &loop, .settings = settings};
    GError *error = NULL;
    uv_loop_init(&loop);
    frame_loop_start(&loop);
    if (!store_open(&store, &error)) {
        event_log(NODE_FAILED, error_name((error_code_t)error->code), error->message);
        return EXIT_FAILURE;
    }
    uv_signal_t signals[3];
    watch_signal(&store, &signals[0], SIGTERM, on_stop_signal);
    watch_signal(&store, &signals[1], SIGINT, on_stop_signal);
    watch_signal(&store, &signals[2], SIGHUP, on_reload_signal);
    uv_run(&loop, UV_RUN_DEFAULT);
    event_log(STORE_STOPPED, record_log_idle(store.log) ? 0U : 1U);
    return EXIT_SUCCESS;
}

int main(int argc, char **argv) {
    settings_path = getenv("RUDDERWAY_SETTINGS");
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    /* One thread waits for the disk. */
    setenv("UV_THREADPOOL_SIZE", "1", 1);
    signal(SIGPIPE, SIG_IGN);
    GError *error = NULL;
    process_settings_t *settings = NULL;
    if (settings_path == NULL)
        error_set(&error, RUDDERWAY_ERROR_SETTINGS_INVALID, "no settings file is named");
    else
        settings = process_settings_load(settings_path, PROCESS_STORE, &error);
    event_open("rudderway-store", settings == NULL ? "info" : settings->log_level);
    if (settings == NULL) {
        event_log(NODE_FAILED, error_name(RUDDERWAY_ERROR_SETTINGS_INVALID), error->message);
        return EXIT_FAILURE;
    }
    int status = run(settings);
    event_close();
    return status;
}
