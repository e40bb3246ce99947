/**
 * rudderway-store-sim: sweeps seeds over simulated storage nodes and gateways. Each seed runs in
 * a process's worth of virtual time: half a minute of work under faults, recovery, and a reading
 * back of all that was acknowledged.
 */
#include "storesim/quota_workload.h"
#include "storesim/world.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    WORK_FROM_MS = 4000, /**< The group has been founded by then. */
    FAULTS_UNTIL_MS = 30000,
    WORK_UNTIL_MS = 32000,
    HEAL_AT_MS = 34000,
    CHECK_AT_MS = 46000, /**< The users' recovery time after the last fault. */
    END_AT_MS = 70000,
    SPARES = 4,
    GATEWAYS = 3,
    MEMORY_MEGABYTES = 1000, /**< Of a storage node: turns never fill it. */
    /* With --judge-room: what may be held at any time is at most 0.7 of a storage node's room, all
     * that is written is more than it. */
    ROOM_MEMORY_MEGABYTES = 1,
    ROOM_RETENTION_MS = 8000,
    /* With --judge-chains: turns outlive several outages by way of those that continue them. */
    CHAIN_RETENTION_MS = 20000,
    CHAIN_OUTAGES_UNTIL_MS = 44000,
    CHAIN_WORK_UNTIL_MS = 52000,
    CHAIN_CHECK_AT_MS = 60000,
    CHAIN_END_AT_MS = 85000,
};

const char *argp_program_version = "rudderway-store-sim " RUDDERWAY_VERSION;

typedef struct {
    uint64_t first;
    uint64_t last;
    unsigned stores;
    world_break_t broken;
    const char *only;
    bool judge_relays;
    bool judge_quotas;
    bool judge_room;
    bool judge_chains;
    bool watch_zones;
    bool stall_disks;
    bool hold_disks;
    bool overwrite_group;
    bool stop_in_series;
    bool all_faults;
} arguments_t;

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    arguments_t *arguments = state->input;
    char *end;
    switch (key) {
    case 's':
        arguments->first = strtoull(argument, &end, 10);
        arguments->last =
            strncmp(end, "..", 2) == 0 ? strtoull(end + 2, NULL, 10) : arguments->first;
        return 0;
    case 'n':
        arguments->stores = (unsigned)strtoul(argument, NULL, 10);
        return 0;
    case 'o':
        arguments->only = argument;
        return 0;
    case 'r':
        arguments->judge_relays = true;
        return 0;
    case 'z':
        arguments->watch_zones = true;
        return 0;
    case 'd':
        arguments->stall_disks = true;
        return 0;
    case 'l':
        arguments->hold_disks = true;
        return 0;
    case 'g':
        arguments->overwrite_group = true;
        return 0;
    case 'a':
        arguments->all_faults = true;
        return 0;
    case 'p':
        arguments->stop_in_series = true;
        return 0;
    case 'q':
        arguments->judge_quotas = true;
        return 0;
    case 'm':
        arguments->judge_room = true;
        return 0;
    case 'c':
        arguments->judge_chains = true;
        return 0;
    case 'b':
        if (strcmp(argument, "sync") == 0)
            arguments->broken = BREAK_SYNC;
        else if (strcmp(argument, "identity") == 0)
            arguments->broken = BREAK_IDENTITY;
        else if (strcmp(argument, "catch-up") == 0)
            arguments->broken = BREAK_CATCH_UP;
        else if (strcmp(argument, "reconciliation") == 0)
            arguments->broken = BREAK_RECONCILIATION;
        else if (strcmp(argument, "quota-full") == 0)
            arguments->broken = BREAK_QUOTA_BEGINS_FULL;
        else if (strcmp(argument, "quota-ends") == 0)
            arguments->broken = BREAK_QUOTA_ENDS;
        else if (strcmp(argument, "spill") == 0)
            arguments->broken = BREAK_SPILL;
        else if (strcmp(argument, "group-following") == 0)
            arguments->broken = BREAK_GROUP_FOLLOWING;
        else
            argp_error(state, "--break takes sync, identity, catch-up, reconciliation, "
                              "quota-full, quota-ends, spill or group-following");
        return 0;
    case ARGP_KEY_ARG:
        argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"seeds", 's', "A..B", 0, "Seeds to run; default: 1..200", 0},
    {"stores", 'n', "N", 0, "Storage nodes at the start; default: 3 and 4 in turn", 0},
    {"only", 'o', "KIND", 0, "Only faults of this kind, and no spare nodes", 0},
    {"judge-relays", 'r', NULL, 0,
     "With --only cut_gateway: judge how soon other gateways help, not how soon the cut is noticed",
     0},
    {"watch-zones", 'z', NULL, 0, "Gateways find out whether their zone is cut off", 0},
    {"stall-disks", 'd', NULL, 0, "Also stall disks for up to 6 s, several of them at once", 0},
    {"long-stalls", 'l', NULL, 0,
     "Also let disks stand still for 5 to 45 s, at one, several or all storage nodes", 0},
    {"overwrite-group", 'g', NULL, 0,
     "Also put odd values at the key of the storage group, and cut storage nodes off from the "
     "key-value service",
     0},
    {"planned-stops", 'p', NULL, 0,
     "Stop storage nodes as planned, in series that overlap with one another, with joins, "
     "retirements, wiped disks and stalled disks; other faults only with --all-faults",
     0},
    {"all-faults", 'a', NULL, 0, "With --planned-stops: also all other faults", 0},
    {"judge-quotas", 'q', NULL, 0,
     "Also let tenants ask for three times their limits, and judge every window", 0},
    {"judge-room", 'm', NULL, 0,
     "Keep turns for 8 s, and judge that no turn is refused because expired ones take the room", 0},
    {"judge-chains", 'c', NULL, 0,
     "Keep turns for 20 s, let one storage node after the other be away, then lose all power and a "
     "disk, and judge that chains are whole",
     0},
    {"break", 'b', "WHAT", 0,
     "Break the code on purpose: sync (acknowledge before it), identity (an emptied disk keeps "
     "it), catch-up (copy nothing), reconciliation (members never copy what they missed), spill "
     "(the key-value service forgets turns of nodes whose "
     "disks stall), group-following (storage nodes believe to have seen each value of a listed "
     "key); with --judge-quotas: quota-full (a member that starts grants as if it were "
     "full), quota-ends (grants are used after their end)",
     0},
    {0}};
static const struct argp argp = {
    options, parse_option, NULL, "Simulates storage nodes and gateways under faults.",
    NULL,    NULL,         NULL};

/** What became of the quotas of all seeds. */
static quota_workload_result_t quotas;

static uint64_t judge_quotas(const arguments_t *arguments, uint64_t seed) {
    if (!arguments->judge_quotas)
        return 0;
    const quota_workload_result_t *result = quota_workload_judge(&world_quota_bounds);
    quotas.used += result->used;
    quotas.ended += result->ended;
    quotas.over += result->over;
    quotas.unsure += result->unsure;
    quotas.over_limit += result->over_limit;
    quotas.fullest = MAX(quotas.fullest, result->fullest);
    if (result->over_limit > 0)
        printf("seed %" G_GUINT64_FORMAT ": over the limit: %" G_GUINT64_FORMAT
               " tenants, fullest window %.2f of what is allowed\n",
               (guint64)seed, (guint64)result->over_limit, result->fullest);
    return result->over_limit;
}

static void print_quotas(void) {
    printf("quotas: used %" G_GUINT64_FORMAT " ended %" G_GUINT64_FORMAT " over %" G_GUINT64_FORMAT
           " unsure %" G_GUINT64_FORMAT " over_limit %" G_GUINT64_FORMAT
           " fullest window %.2f of what is allowed\n",
           (guint64)quotas.used, (guint64)quotas.ended, (guint64)quotas.over,
           (guint64)quotas.unsure, (guint64)quotas.over_limit, quotas.fullest);
}

static uint64_t violations_of(const workload_result_t *result) {
    return result->turns_lost + result->turns_wrong + result->turns_invented +
           result->turns_not_read + result->budgets_exceeded + result->connects_late +
           result->cuts_unnoticed + result->cuts_unserved + result->no_room + result->groups_split;
}

static void check_all(void *data) {
    (void)data;
    workload_check_all();
}

static void heal(void *data) {
    faults_heal(data);
}

static world_t *new_world(uint64_t seed, const arguments_t *arguments) {
    world_shape_t shape = {
        .stores = arguments->stores > 0 ? arguments->stores : 3 + (unsigned)(seed % 2),
        .spares = arguments->only == NULL ? SPARES : 0,
        .gateways = GATEWAYS,
        .store_memory_megabytes = arguments->judge_room ? ROOM_MEMORY_MEGABYTES : MEMORY_MEGABYTES,
        .broken = arguments->broken,
    };
    return world_new(seed, &shape);
}

/** Chains that grow while one storage node after the other is away, and a final fault. */
static workload_result_t run_chains(uint64_t seed, const arguments_t *arguments) {
    world_t *world = new_world(seed, arguments);
    virtual_run(WORK_FROM_MS);
    workload_start(world, CHAIN_WORK_UNTIL_MS, CHAIN_RETENTION_MS);
    workload_continue_conversations();
    faults_start_single_outages(world, CHAIN_OUTAGES_UNTIL_MS);
    virtual_after(CHAIN_CHECK_AT_MS - WORK_FROM_MS, NULL, check_all, NULL);
    virtual_run(CHAIN_END_AT_MS);
    return *workload_result();
}

static workload_result_t run_seed(uint64_t seed, const arguments_t *arguments) {
    if (arguments->judge_chains)
        return run_chains(seed, arguments);
    world_t *world = new_world(seed, arguments);
    if (arguments->watch_zones)
        world_watch_zones(world);
    virtual_run(WORK_FROM_MS);
    workload_start(world, WORK_UNTIL_MS,
                   arguments->judge_room ? ROOM_RETENTION_MS : WORKLOAD_RETENTION_MS);
    if (arguments->judge_quotas)
        quota_workload_start(world, WORK_UNTIL_MS, arguments->broken == BREAK_QUOTA_ENDS);
    if (arguments->stop_in_series)
        faults_stop_in_series(world, FAULTS_UNTIL_MS);
    bool draw_others = !arguments->stop_in_series || arguments->all_faults;
    if (draw_others && !faults_start(world, FAULTS_UNTIL_MS, arguments->only)) {
        fprintf(stderr, "no such kind of fault: %s\n", arguments->only);
        exit(EXIT_FAILURE);
    }
    if (arguments->stall_disks)
        faults_stall_disks();
    if (arguments->hold_disks)
        faults_hold_disks();
    if (arguments->overwrite_group)
        faults_overwrite_group();
    if (g_strcmp0(arguments->only, "power_all") == 0)
        workload_judge_connects();
    /* A gateway that is helped does not notice that it is cut off, and need not. */
    bool judge_cuts = !arguments->judge_relays && g_strcmp0(arguments->only, "cut_gateway") == 0;
    world->relays = !judge_cuts;
    if (judge_cuts)
        workload_judge_cuts();
    if (arguments->judge_relays)
        workload_judge_relays();
    virtual_after(HEAL_AT_MS - WORK_FROM_MS, NULL, heal, world);
    virtual_after(CHECK_AT_MS - WORK_FROM_MS, NULL, check_all, NULL);
    virtual_run(END_AT_MS);
    workload_result_t result = *workload_result();
    result.no_room = world_turns_refused_for_space(world);
    result.groups_split = world_groups_split();
    return result;
}

static void add_result(workload_result_t *sum, const workload_result_t *result) {
    sum->turns_acknowledged += result->turns_acknowledged;
    sum->turns_given_up += result->turns_given_up;
    sum->reserves_granted += result->reserves_granted;
    sum->reserves_refused += result->reserves_refused;
    sum->reads += result->reads;
    sum->turns_lost += result->turns_lost;
    sum->turns_wrong += result->turns_wrong;
    sum->turns_invented += result->turns_invented;
    sum->turns_not_read += result->turns_not_read;
    sum->budgets_exceeded += result->budgets_exceeded;
    sum->connects_late += result->connects_late;
    sum->cuts_unnoticed += result->cuts_unnoticed;
    sum->cuts_unserved += result->cuts_unserved;
    sum->no_room += result->no_room;
    sum->groups_split += result->groups_split;
}

static void print_result(const char *name, const workload_result_t *result) {
    const struct {
        const char *name;
        uint64_t value;
    } figures[] = {
        {"acknowledged", result->turns_acknowledged},
        {"given_up", result->turns_given_up},
        {"granted", result->reserves_granted},
        {"refused", result->reserves_refused},
        {"reads", result->reads},
        {"lost", result->turns_lost},
        {"wrong", result->turns_wrong},
        {"invented", result->turns_invented},
        {"not_read", result->turns_not_read},
        {"over_budget", result->budgets_exceeded},
        {"connects_late", result->connects_late},
        {"cuts_unnoticed", result->cuts_unnoticed},
        {"cuts_unserved", result->cuts_unserved},
        {"no_room", result->no_room},
        {"groups_split", result->groups_split},
    };
    printf("%s:", name);
    for (size_t i = 0; i < G_N_ELEMENTS(figures); i++)
        printf(" %s %" G_GUINT64_FORMAT, figures[i].name, (guint64)figures[i].value);
    printf("\n");
}

int main(int argc, char **argv) {
    arguments_t arguments = {.first = 1, .last = 200};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    workload_result_t sum = {0};
    uint64_t bad_seeds = 0;
    faults_clear_counts();
    for (uint64_t seed = arguments.first; seed <= arguments.last; seed++) {
        workload_result_t result = run_seed(seed, &arguments);
        add_result(&sum, &result);
        if (violations_of(&result) + judge_quotas(&arguments, seed) == 0)
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
    if (arguments.judge_quotas)
        print_quotas();
    print_result("all", &sum);
    printf("seeds %" G_GUINT64_FORMAT " violations %" G_GUINT64_FORMAT "\n",
           (guint64)(arguments.last - arguments.first + 1), (guint64)bad_seeds);
    return bad_seeds == 0 && sum.turns_acknowledged > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
