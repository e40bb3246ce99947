/**
 * rudderway-directory-sim: sweeps seeds over simulated gateways that keep the key-value service in
 * view, and judges how soon each version of the configuration is in force.
 */
#include "common/event.h"
#include "directorysim/world.h"

#include <argp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    SETTLED_MS = 15000, /**< All have a view by then. */
    FAULTS_UNTIL_MS = 60000,
    END_AT_MS = 75000,
    ACKNOWLEDGED_MS = 5,   /**< After a version was written. */
    CHANGE_LEAST_MS = 300, /**< Between two versions while there is no series of them. */
    CHANGE_MOST_MS = 4000,
    SERIES_GAP_MS = 100,    /**< Between two of a series, */
    SERIES_LEAST_MS = 2000, /**< which lasts so long, */
    SERIES_MOST_MS = 15000,
    SERIES_PERCENT = 15, /**< and begins with so many of 100 changes. */
    GATEWAYS = 9,
    ZONES = 3,
};

const char *argp_program_version = "rudderway-directory-sim " RUDDERWAY_VERSION;

typedef struct {
    uint64_t first;
    uint64_t last;
    unsigned gateways;
    unsigned zones;
    const char *only;
} arguments_t;

static arguments_t arguments = {.first = 1, .last = 100, .gateways = GATEWAYS, .zones = ZONES};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    char *end;
    switch (key) {
    case 's':
        arguments.first = strtoull(argument, &end, 10);
        arguments.last = strncmp(end, "..", 2) == 0 ? strtoull(end + 2, NULL, 10) : arguments.first;
        return 0;
    case 'g':
        arguments.gateways = (unsigned)strtoul(argument, NULL, 10);
        return 0;
    case 'z':
        arguments.zones = (unsigned)strtoul(argument, NULL, 10);
        return 0;
    case 'o':
        arguments.only = argument;
        return 0;
    case 'l':
        world.log = true;
        return 0;
    case ARGP_KEY_ARG:
        argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"seeds", 's', "A..B", 0, "Seeds to run; default: 1..100", 0},
    {"gateways", 'g', "N", 0, "Gateways; default: 9", 0},
    {"zones", 'z', "N", 0, "Zones; default: 3", 0},
    {"only", 'o', "KIND", 0, "Only faults of this kind", 0},
    {"log", 'l', NULL, 0, "Print the gateways' events, faults, and what is judged late", 0},
    {0}};
static const struct argp argp = {
    options, parse_option, NULL, "Simulates gateways that share views of the key-value service.",
    NULL,    NULL,         NULL};

/* common/event.h, with virtual time and the process in front. */

void event_write(event_id_t id, const char *format, ...) {
    if (!world.log)
        return;
    va_list values;
    va_start(values, format);
    char *fields = g_strdup_vprintf(format, values);
    va_end(values);
    const virtual_process_t *process = virtual_running();
    printf("%9.3f %-12s E%03d %s\n", (double)virtual_now() / 1000,
           process == NULL ? "-" : process->name, (int)id, fields);
    g_free(fields);
}

/* The operator. */

static uint64_t last_version;
static uint64_t series_until;

static uint64_t acknowledged_version;

static void acknowledge(void *data) {
    (void)data;
    judge_note_version(++acknowledged_version);
}

static void change_configuration(void *data) {
    char text[32];
    g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, (guint64)++last_version);
    virtual_service_put("configuration", text);
    virtual_after(ACKNOWLEDGED_MS, NULL, acknowledge, NULL);
    if (virtual_now() >= series_until && virtual_chance(SERIES_PERCENT))
        series_until = virtual_now() + virtual_random(SERIES_LEAST_MS, SERIES_MOST_MS);
    bool series = virtual_now() < series_until;
    virtual_after(series ? SERIES_GAP_MS : virtual_random(CHANGE_LEAST_MS, CHANGE_MOST_MS), NULL,
                  change_configuration, data);
}

static judgement_t run_seed(uint64_t seed) {
    world_begin(seed, arguments.gateways, arguments.zones);
    last_version = 1;
    acknowledged_version = 1;
    series_until = 0;
    judge_start(SETTLED_MS);
    virtual_after(0, NULL, change_configuration, NULL);
    virtual_run(SETTLED_MS);
    if (!faults_start(FAULTS_UNTIL_MS, arguments.only)) {
        fprintf(stderr, "no such kind of fault: %s\n", arguments.only);
        exit(EXIT_FAILURE);
    }
    virtual_run(END_AT_MS);
    return *judge_result();
}

static void print_result(const char *name, const judgement_t *result) {
    printf("%s: versions %" G_GUINT64_FORMAT " looks %" G_GUINT64_FORMAT " late %" G_GUINT64_FORMAT
           " back %" G_GUINT64_FORMAT " latest_ms %" G_GUINT64_FORMAT " calls %" G_GUINT64_FORMAT
           "\n",
           name, (guint64)result->versions, (guint64)result->looks, (guint64)result->late,
           (guint64)result->back, (guint64)result->latest_ms, (guint64)result->service_calls);
}

static void add_result(judgement_t *sum, const judgement_t *result) {
    sum->versions += result->versions;
    sum->looks += result->looks;
    sum->late += result->late;
    sum->back += result->back;
    sum->latest_ms = MAX(sum->latest_ms, result->latest_ms);
    sum->service_calls += result->service_calls;
}

int main(int argc, char **argv) {
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    judgement_t sum = {0};
    uint64_t bad_seeds = 0;
    faults_clear_counts();
    for (uint64_t seed = arguments.first; seed <= arguments.last; seed++) {
        judgement_t result = run_seed(seed);
        add_result(&sum, &result);
        if (result.late + result.back == 0)
            continue;
        bad_seeds++;
        char name[64];
        g_snprintf(name, sizeof name, "seed %" G_GUINT64_FORMAT, (guint64)seed);
        print_result(name, &result);
    }
    GString *faults = g_string_new(NULL);
    faults_describe(faults);
    fputs(faults->str, stdout);
    g_string_free(faults, TRUE);
    print_result("all", &sum);
    printf("seeds %" G_GUINT64_FORMAT " violations %" G_GUINT64_FORMAT "\n",
           (guint64)(arguments.last - arguments.first + 1), (guint64)bad_seeds);
    return bad_seeds == 0 && sum.looks > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
