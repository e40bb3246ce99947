/**
 * @file main.c
 * rudderway-sim: the simulator, the history checker and the trace generator.
 */
#include "sim/sweep.h"
#include "sim/trace_generator.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

enum {
    EXIT_USAGE = 2,
    OPTION_DEPLOYMENT = 1000,
    OPTION_SEED,
    OPTION_SEEDS,
    OPTION_PROGRAMS,
    OPTION_DURATION,
    OPTION_SCENARIO,
    OPTION_HISTORY,
};

typedef struct {
    const char *command;
    const char *file; /**< Second argument. */
    const char *scenario;
    const char *history;
    uint64_t first_seed;
    uint64_t last_seed;
    trace_options_t trace;
} arguments_t;

const char *argp_program_version = "rudderway-sim " RUDDERWAY_VERSION;

static const struct argp_option option_table[] = {
    {"deployment", OPTION_DEPLOYMENT, "NAME", 0, "merrimack or comptoir", 0},
    {"seed", OPTION_SEED, "N", 0, "seed of everything random (1)", 0},
    {"seeds", OPTION_SEEDS, "A..B", 0, "sweep: the seeds, both included", 0},
    {"scenario", OPTION_SCENARIO, "FILE", 0, "run, sweep: the scenario", 0},
    {"history", OPTION_HISTORY, "FILE", 0, "run: write the history to FILE", 0},
    {"programs", OPTION_PROGRAMS, "N", 0, "programs in the trace (20)", 0},
    {"duration-ms", OPTION_DURATION, "MS", 0, "time over which they begin (60000)", 0},
    {0},
};

static bool parse_seeds(const char *text, arguments_t *arguments) {
    char **parts = g_strsplit(text, "..", 2);
    bool valid =
        g_strv_length(parts) == 2 &&
        g_ascii_string_to_unsigned(parts[0], 10, 0, UINT32_MAX, &arguments->first_seed, NULL) &&
        g_ascii_string_to_unsigned(parts[1], 10, arguments->first_seed, UINT32_MAX,
                                   &arguments->last_seed, NULL);
    g_strfreev(parts);
    return valid;
}

static error_t parse_option(int key, char *value, struct argp_state *state) {
    arguments_t *arguments = state->input;
    switch (key) {
    case OPTION_DEPLOYMENT:
        if (!trace_deployment(value, &arguments->trace.deployment))
            argp_error(state, "no such deployment: %s", value);
        return 0;
    case OPTION_SEED:
        arguments->trace.seed = (uint32_t)strtoul(value, NULL, 10);
        arguments->first_seed = arguments->trace.seed;
        return 0;
    case OPTION_PROGRAMS:
        arguments->trace.programs = (uint32_t)strtoul(value, NULL, 10);
        return 0;
    case OPTION_DURATION:
        arguments->trace.duration_ms = strtoll(value, NULL, 10);
        return 0;
    case OPTION_SEEDS:
        if (!parse_seeds(value, arguments))
            argp_error(state, "--seeds needs A..B");
        return 0;
    case OPTION_SCENARIO:
        arguments->scenario = value;
        return 0;
    case OPTION_HISTORY:
        arguments->history = value;
        return 0;
    case ARGP_KEY_ARG:
        if (state->arg_num == 0)
            arguments->command = value;
        else
            arguments->file = value;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static int report(const GPtrArray *violations) {
    for (guint i = 0; i < violations->len; i++) {
        const violation_t *violation = g_ptr_array_index(violations, i);
        printf("broken: %s, program \"%s\", line %d and line %d\n", violation->promise,
               violation->program, violation->first + 1, violation->second + 1);
    }
    printf("%u violations\n", violations->len);
    return violations->len == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int check(const arguments_t *arguments) {
    GError *error = NULL;
    history_t *history = history_read(arguments->file != NULL ? arguments->file : "", &error);
    if (history == NULL) {
        fprintf(stderr, "rudderway-sim: %s\n", error->message);
        g_error_free(error);
        return EXIT_USAGE;
    }
    GPtrArray *violations = history_check(history);
    int status = report(violations);
    g_ptr_array_unref(violations);
    history_free(history);
    return status;
}

static bool read_scenario(const arguments_t *arguments, scenario_t *scenario) {
    GError *error = NULL;
    if (scenario_read(arguments->scenario != NULL ? arguments->scenario : "", scenario, &error))
        return true;
    fprintf(stderr, "rudderway-sim: scenario: %s\n", error->message);
    g_error_free(error);
    return false;
}

static bool write_history(const arguments_t *arguments, const history_t *history) {
    if (arguments->history == NULL)
        return true;
    FILE *output = fopen(arguments->history, "w");
    if (output == NULL) {
        perror(arguments->history);
        return false;
    }
    history_write(history, output);
    return fclose(output) == 0;
}

static int run(const arguments_t *arguments) {
    scenario_t scenario;
    if (!read_scenario(arguments, &scenario))
        return EXIT_USAGE;
    sim_t *sim = sim_run(&scenario, arguments->first_seed);
    bool written = write_history(arguments, sim->history);
    GPtrArray *violations = history_check(sim->history);
    int status = report(violations);
    printf("%" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " programs completed\n",
           sim->figures.programs_completed, sim->figures.programs);
    g_ptr_array_unref(violations);
    sim_free(sim);
    return written ? status : EXIT_USAGE;
}

static int sweep(const arguments_t *arguments) {
    scenario_t scenario;
    if (!read_scenario(arguments, &scenario))
        return EXIT_USAGE;
    uint64_t violations = sweep_run(&scenario, arguments->first_seed, arguments->last_seed, stdout);
    return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int trace(const arguments_t *arguments) {
    trace_generate(&arguments->trace, stdout);
    return EXIT_SUCCESS;
}

int main(int argc, char **argv) {
    static const struct argp parser = {
        option_table,
        parse_option,
        "COMMAND [FILE]",
        "Model and tools of Rudderway.\vCommands:\n"
        "  run         run a scenario with one seed and check its history\n"
        "  sweep       run a scenario with many seeds; the last line is JSON\n"
        "  check FILE  judge a history\n"
        "  trace       write a seeded trace to standard output",
        NULL,
        NULL,
        NULL};
    static const struct {
        const char *name;
        int (*run)(const arguments_t *arguments);
    } commands[] = {{"run", run}, {"sweep", sweep}, {"check", check}, {"trace", trace}};
    arguments_t arguments = {.command = "",
                             .first_seed = 1,
                             .last_seed = 1,
                             .trace = {.seed = 1, .programs = 20, .duration_ms = 60000}};
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
        if (strcmp(commands[i].name, arguments.command) == 0)
            return commands[i].run(&arguments);
    fprintf(stderr, "rudderway-sim: no such command; see rudderway-sim --help\n");
    return EXIT_USAGE;
}
