/**
 * @file main.c
 * rudderwayd: command line, signals, start and stop of a node.
 */
#include "common/event.h"
#include "node/node.h"

#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum { EXIT_SETTINGS = 2, OPTION_CHECK = 1000, OPTION_DESCRIBE };

typedef struct {
    const char *file;
    GArray *overrides; /**< Of settings_override_t. */
    bool check_only;
} arguments_t;

const char *argp_program_version = "rudderwayd " RUDDERWAY_VERSION;

static const struct argp_option option_table[] = {
    {"settings", 'f', "FILE", 0, "read settings from FILE", 0},
    {"set", 's', "GROUP.KEY=VALUE", 0, "override one setting; may be repeated", 0},
    {"check-settings", OPTION_CHECK, NULL, 0, "check the settings and exit", 0},
    {"describe-settings", OPTION_DESCRIBE, NULL, 0, "print every setting and exit", 0},
    {0},
};

static void add_override(arguments_t *arguments, char *text, struct argp_state *state) {
    char *equals = strchr(text, '=');
    if (equals == NULL)
        argp_failure(state, EXIT_SETTINGS, 0, "--set needs GROUP.KEY=VALUE");
    if (equals == NULL)
        return;
    *equals = '\0';
    settings_override_t override = {.key = text, .value = equals + 1};
    g_array_append_val(arguments->overrides, override);
}

static error_t parse_option(int key, char *value, struct argp_state *state) {
    arguments_t *arguments = state->input;
    switch (key) {
    case 'f':
        arguments->file = value;
        return 0;
    case 's':
        add_override(arguments, value, state);
        return 0;
    case OPTION_CHECK:
        arguments->check_only = true;
        return 0;
    case OPTION_DESCRIBE:
        settings_describe(stdout);
        exit(EXIT_SUCCESS);
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void report_mistakes(const GPtrArray *mistakes) {
    for (guint i = 0; i < mistakes->len; i++) {
        const settings_mistake_t *mistake = g_ptr_array_index(mistakes, i);
        fprintf(stderr, "rudderwayd: %s: %s = \"%s\": allowed is %s\n", mistake->source,
                mistake->key, mistake->value, mistake->allowed);
    }
}

static settings_t *read_settings(const arguments_t *arguments) {
    GPtrArray *mistakes = g_ptr_array_new_with_free_func((GDestroyNotify)settings_mistake_free);
    settings_t *settings = settings_read(
        arguments->file, (const settings_override_t *)(void *)arguments->overrides->data,
        arguments->overrides->len, mistakes);
    report_mistakes(mistakes);
    if (mistakes->len > 0)
        g_clear_pointer(&settings, settings_free);
    g_ptr_array_unref(mistakes);
    return settings;
}

static void *wait_for_signal(void *argument) {
    node_t *node = argument;
    sigset_t signals;
    int number;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigwait(&signals, &number);
    node_request_stop(node);
    return NULL;
}

static void block_signals(void) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
}

static int run(settings_t *settings) {
    GError *error = NULL;
    pthread_t signal_thread;
    block_signals();
    event_open("rudderwayd", settings->log_level);
    node_t *node = node_start(settings, &error);
    if (node == NULL) {
        event_log(NODE_FAILED, error_name((error_code_t)error->code), error->message);
        g_error_free(error);
        return EXIT_FAILURE;
    }
    pthread_create(&signal_thread, NULL, wait_for_signal, node);
    pthread_detach(signal_thread);
    unsigned cut_off = node_run(node);
    if (cut_off > 0)
        return EXIT_FAILURE;
    node_free(node);
    event_close();
    return EXIT_SUCCESS;
}

int main(int argc, char **argv) {
    static const struct argp parser = {
        option_table,
        parse_option,
        NULL,
        "A node of Rudderway, the scheduler for agent programs.\vExit status: 0 after a planned "
        "stop that cut nothing off, 1 on failure, 2 if the settings are not valid.",
        NULL,
        NULL,
        NULL};
    arguments_t arguments = {.overrides = g_array_new(FALSE, FALSE, sizeof(settings_override_t))};
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    settings_t *settings = read_settings(&arguments);
    g_array_unref(arguments.overrides);
    if (settings == NULL)
        return EXIT_SETTINGS;
    if (arguments.check_only) {
        settings_free(settings);
        return EXIT_SUCCESS;
    }
    return run(settings);
}
