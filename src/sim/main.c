/**
 * @file main.c
 * rudderway-sim: the project's own model and its tools. So far: trace, the generator.
 */
#include "sim/trace_generator.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

enum { EXIT_USAGE = 2, OPTION_DEPLOYMENT = 1000, OPTION_SEED, OPTION_PROGRAMS, OPTION_DURATION };

typedef struct {
    const char *command;
    trace_options_t trace;
} arguments_t;

const char *argp_program_version = "rudderway-sim " RUDDERWAY_VERSION;

static const struct argp_option option_table[] = {
    {"deployment", OPTION_DEPLOYMENT, "NAME", 0, "merrimack or comptoir", 0},
    {"seed", OPTION_SEED, "N", 0, "seed of everything random (1)", 0},
    {"programs", OPTION_PROGRAMS, "N", 0, "programs in the trace (20)", 0},
    {"duration-ms", OPTION_DURATION, "MS", 0, "time over which they begin (60000)", 0},
    {0},
};

static error_t parse_option(int key, char *value, struct argp_state *state) {
    arguments_t *arguments = state->input;
    switch (key) {
    case OPTION_DEPLOYMENT:
        if (!trace_deployment(value, &arguments->trace.deployment))
            argp_error(state, "no such deployment: %s", value);
        return 0;
    case OPTION_SEED:
        arguments->trace.seed = (uint32_t)strtoul(value, NULL, 10);
        return 0;
    case OPTION_PROGRAMS:
        arguments->trace.programs = (uint32_t)strtoul(value, NULL, 10);
        return 0;
    case OPTION_DURATION:
        arguments->trace.duration_ms = strtoll(value, NULL, 10);
        return 0;
    case ARGP_KEY_ARG:
        arguments->command = value;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char **argv) {
    static const struct argp parser = {option_table,
                                       parse_option,
                                       "COMMAND",
                                       "Model and tools of Rudderway.\vCommands:\n  trace  write a "
                                       "seeded trace to standard output",
                                       NULL,
                                       NULL,
                                       NULL};
    arguments_t arguments = {.command = "",
                             .trace = {.seed = 1, .programs = 20, .duration_ms = 60000}};
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    if (strcmp(arguments.command, "trace") == 0) {
        trace_generate(&arguments.trace, stdout);
        return EXIT_SUCCESS;
    }
    fprintf(stderr, "rudderway-sim: no such command; see rudderway-sim --help\n");
    return EXIT_USAGE;
}
