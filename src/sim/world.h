/**
 * @file world.h
 * The simulator: nodes, network, back ends, platform and callers in virtual time, from one seed.
 *
 * The nodes run the product's own decision code (node/decision.h and all below it). What it
 * calls for I/O is replaced when the simulator is linked: mailbox.h, peer_transport.h,
 * http_server.h and the adapters (shell.c, platform.c). A job for the pool runs at once, but
 * what it posts arrives after the delay that the stand-in of the adapter sets.
 *
 * One simulation at a time in a thread (sim_world), since those interfaces carry no context.
 */
#ifndef RUDDERWAY_SIM_WORLD_H
#define RUDDERWAY_SIM_WORLD_H

#include "node/decision.h"
#include "sim/history.h"

typedef enum {
    FAULT_KILL,
    FAULT_KILL_TWO,
    FAULT_ZONE_LOSS,
    FAULT_PAUSE,
    FAULT_CUT_ZONE,
    FAULT_ONE_WAY_CUT,
    FAULT_FLAP,
    FAULT_LAG,
    FAULT_PLANNED_STOP,
    FAULT_KEY_VALUE_OUTAGE,
    FAULT_KEY_VALUE_LOST_ANSWER,
    FAULT_ENGINE_LOSS,
    FAULT_ENGINE_LOST_ANSWER,
    FAULT_TOOL_HANG,
    FAULT_TOOL_LOST_ANSWER,
    FAULT_BACKEND_LEAVING,
    FAULT_EDIT_RACE,
    FAULT_KINDS
} fault_kind_t;

/** What a scenario file says; docs/SIMULATOR.md describes it. */
typedef struct {
    uint32_t zones;
    uint32_t nodes_per_zone;
    uint32_t engines;
    uint32_t programs;
    uint32_t partitions;
    uint32_t voters;
    int64_t duration_ms;       /**< While programs begin and faults strike. */
    int64_t settle_ms;         /**< Afterwards, without faults. */
    int64_t fault_interval_ms; /**< Between heavy faults, time to repair included. */
    int64_t edit_interval_ms;
    int64_t key_value_outage_ms; /**< 0, or an outage of this length after the start. */
    bool rolling_restart;        /**< Restart every node in turn instead of drawing faults. */
    bool faults[FAULT_KINDS];
} scenario_t;

typedef struct {
    char *name;
    char *zone;
    uint32_t zone_index;
    uint32_t port;
    node_t *node; /**< NULL while it is dead. */
    bootstrap_t *bootstrap;
    uint32_t generation;
    int64_t paused_until_ms;
    int64_t disturbed_until_ms; /**< Cut, paused or new until then. */
    int64_t stop_started_ms;    /**< 0: no planned stop. */
    uint64_t revision;          /**< Last seen in force. */
    int64_t clock_skew_ms;
    GPtrArray *requests; /**< Of http_request_t, not answered. */
} machine_t;

typedef struct {
    backend_kind_t kind;
    char *name;
    char *offers;
    char *zone;
    uint32_t zone_index;
    uint32_t port;
    int64_t dead_until_ms;
    int64_t leaving_since_ms; /**< 0: it stays. */
    unsigned hang;            /**< Requests still to be swallowed. */
    unsigned lose_answer;     /**< Answers still to be lost after execution. */
    GHashTable *held;         /**< Programs that it caches for. */
} sim_backend_t;

typedef struct {
    char *value;
    uint64_t version;
} key_value_entry_t;

typedef struct sim sim_t;
typedef void (*sim_task_t)(sim_t *sim, void *data);

/** Figures of one run. */
typedef struct {
    uint64_t faults[FAULT_KINDS];
    uint64_t programs;
    uint64_t programs_completed;
    uint64_t calls_issued;
    uint64_t calls_answered;
    uint64_t calls_failed; /**< Without an answer in the end, or with an error. */
    uint64_t edits_accepted;
    uint64_t messages;
    uint64_t groups_below_strength; /**< At the end: led by nobody, or without full live voters. */
    uint64_t cut_off;               /**< By planned stops. */
    uint64_t stops;
    GArray *recovery_ms; /**< Of int64_t: kill of a node to the next answer of a program it ran. */
    GArray *repair_ms;   /**< Of int64_t: heavy fault to every group led and at full strength. */
    GArray *spread_ms;   /**< Of int64_t: edit accepted to in force everywhere reachable. */
} sim_figures_t;

struct sim {
    scenario_t scenario;
    GRand *random;
    int64_t now_ms;
    uint64_t next_event;
    GPtrArray *events; /**< A heap. */
    int64_t job_delay_ms;
    GPtrArray *machines; /**< Of machine_t. */
    GPtrArray *backends; /**< Of sim_backend_t. */
    GHashTable *entries; /**< Key-value service: key → key_value_entry_t. */
    uint64_t version;
    int64_t key_value_down_until_ms;
    unsigned key_value_lose_answer;
    int64_t machine_list_lag_ms;
    int64_t extra_latency_ms;
    double loss;
    bool cut[16][16]; /**< From zone, to zone. */
    int64_t
        *link_times; /**< Time of the last frame from one machine to another: they keep order. */
    history_t *history;
    sim_figures_t figures;
    unsigned programs_open;
};

extern _Thread_local sim_t *sim_world;

/** Reads a scenario; false and an error naming the field. */
bool scenario_read(const char *file, scenario_t *scenario, GError **error);
const char *fault_name(fault_kind_t kind);

/** Runs @p scenario with @p seed to its end. */
sim_t *sim_run(const scenario_t *scenario, uint64_t seed);
void sim_free(sim_t *sim);

/* --- Between the simulator's files ---------------------------------------------------------- */

void sim_at(sim_t *sim, int64_t time_ms, sim_task_t task, void *data);
void sim_after(sim_t *sim, int64_t delay_ms, sim_task_t task, void *data);
int64_t sim_between(const sim_t *sim, int64_t low, int64_t high);
/** Sets the node's clocks and returns it, or NULL if the machine is dead or paused. */
node_t *machine_node(const sim_t *sim, const machine_t *machine);
void machine_start(sim_t *sim, machine_t *machine);
void machine_kill(sim_t *sim, machine_t *machine);
/** The machine's unanswered requests see their connections break. */
void machine_drop_requests(sim_t *sim, machine_t *machine);
machine_t *sim_random_machine(const sim_t *sim, bool alive);
sim_backend_t *sim_find_backend(const sim_t *sim, uint32_t port);

/** How many groups are led by nobody or lack live voters. */
uint32_t sim_groups_below_strength(const sim_t *sim);

void callers_start(sim_t *sim);
/** Notes which callers wait for a program that @p machine, about to die, leads. */
void callers_note_loss(sim_t *sim, const machine_t *machine);
void operators_start(sim_t *sim);
void faults_start(sim_t *sim);
void operator_submit_edit(sim_t *sim);

/** An HTTP request of a simulated caller or operator. */
typedef void (*response_t)(sim_t *sim, void *data, unsigned status, const char *body);
struct http_request {
    machine_t *machine;
    response_t respond;
    void *data;
    GBytes *body;
};
http_request_t *sim_request_new(machine_t *machine, response_t respond, void *data);

#endif
