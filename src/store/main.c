/** Entry point of the storage node: settings, loop, signals. */
#include "cluster/program.h"
#include "common/event.h"
#include "store/store.h"

#include <stdlib.h>

enum { STOP_TIMEOUT_MS = 1000 };

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
    uv_timer_start(&store->upkeep, on_stop_timer, record_log_idle(store->log) ? 0 : STOP_TIMEOUT_MS,
                   0);
}

static int run(const process_settings_t *settings) {
    /* Static: the disk thread may still use the loop for a write while the process exits. */
    static uv_loop_t loop;
    store_t store = {.loop = &loop, .settings = settings};
    GError *error = NULL;
    uv_loop_init(&loop);
    frame_loop_start(&loop);
    if (!store_open(&store, &error)) {
        event_log(NODE_FAILED, error_name(RUDDERWAY_ERROR_SYSTEM), error->message);
        return EXIT_FAILURE;
    }
    metrics_page_t metrics;
    if (!store_serve_metrics(&store, &metrics)) {
        char *text = g_strdup_printf("cannot listen for metrics on port %u",
                                     ntohs(settings->metrics.sin_port));
        event_log(NODE_FAILED, error_name(RUDDERWAY_ERROR_SYSTEM), text);
        g_free(text);
        return EXIT_FAILURE;
    }
    program_signals_t signals;
    program_watch_signals(&signals, &loop, on_stop_signal, &store);
    uv_run(&loop, UV_RUN_DEFAULT);
    event_log(STORE_STOPPED, record_log_idle(store.log) ? 0U : 1U);
    return EXIT_SUCCESS;
}

int main(int argc, char **argv) {
    static const program_t program = {
        .name = "rudderway-store",
        .version = "rudderway-store " RUDDERWAY_VERSION,
        .purpose = "Rudderway's storage node: keeps turns and budgets on disk.",
        .kind = PROCESS_STORE,
        .run = run,
    };
    /* One thread is enough: only record_log.c uses the pool, with one batch at a time. */
    setenv("UV_THREADPOOL_SIZE", "1", 1);
    return program_main(&program, argc, argv);
}
