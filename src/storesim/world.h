/**
 * @file world.h
 * A simulated deployment: storage nodes and gateways as processes, and what happens to them.
 *
 * Thread safety: the simulator has one thread.
 */
#ifndef RUDDERWAY_STORESIM_WORLD_H
#define RUDDERWAY_STORESIM_WORLD_H

#include "gateway/quota_client.h"
#include "gateway/store_client.h"
#include "store/store.h"
#include "storesim/virtual_disk.h"
#include "storesim/virtual_key_value.h"
#include "storesim/virtual_loop.h"
#include "storesim/virtual_network.h"

struct world;

/** A machine with a disk. */
typedef struct {
    struct world *world;
    virtual_process_t *process;
    process_settings_t settings;
    store_t *store;                 /**< NULL while it is down. */
    bool gone;                      /**< It never comes back. */
    bool exists;                    /**< False: a spare that has not been added yet. */
    uint64_t lost_until;            /**< It counts as lost until then. */
    uint64_t complete_when_stopped; /**< Generation it was complete in at a planned stop; or 0. */
} world_store_t;

typedef struct {
    const struct world *world;
    virtual_process_t *process;
    store_client_t *client; /**< NULL while it is down. */
    quota_client_t *quotas;
    GArray *crashes;   /**< Of crash_report_t: those that storage nodes have passed on. */
    GArray *withdrawn; /**< Of crash_report_t: crashes that they have withdrawn. */
    GArray *left;      /**< Of crash_report_t: sends that other gateways' calls have left. */
    GArray *stops;     /**< Of crash_report_t: stops that they have passed on. */
} world_gateway_t;

/** Faults of the code itself, for the sweep's own test. */
typedef enum {
    BREAK_NOTHING,
    BREAK_SYNC,
    BREAK_IDENTITY,
    BREAK_CATCH_UP,
    BREAK_QUOTA_BEGINS_FULL, /**< A member that has lost its memory grants as if it were full. */
    BREAK_QUOTA_ENDS,        /**< Grants are used after their end. */
    BREAK_RECONCILIATION,    /**< Members never copy what they missed. */
    BREAK_GROUP_FOLLOWING,   /**< Storage nodes believe to have seen each value of a listed key. */
    BREAK_SPILL,             /**< The key-value service forgets turns that it has acknowledged. */
} world_break_t;

/** What is simulated. */
typedef struct {
    unsigned stores; /**< Storage nodes at the start. */
    unsigned spares; /**< And so many that may be added. */
    unsigned gateways;
    uint64_t store_memory_megabytes; /**< That each storage node may use. */
    world_break_t broken;
} world_shape_t;

typedef struct world {
    world_break_t broken;
    bool relays; /**< Gateways pass frames on for one that is cut off. */
    bool watches_zones;
    uint64_t turns_refused_for_space; /**< Turns for which storage nodes that have ended since had
                                         no room. */
    GPtrArray *stores;                /**< Of world_store_t. */
    GPtrArray *gateways;              /**< Of world_gateway_t. */
} world_t;

/** How exactly tenants' limits are held in the simulated deployment. */
extern const quota_bounds_t world_quota_bounds;

/** A moment that counts as recovery: what was lost counts as back after it. */
enum { CATCH_UP_MS = 4300 };

world_t *world_new(uint64_t seed, const world_shape_t *shape);
/** From now on gateways find out whether their zone is cut off. */
void world_watch_zones(world_t *world);
/** Starts a machine's processes. */
void world_start_store(world_store_t *store, bool first_start);
void world_start_gateway(world_gateway_t *gateway);
/** How a process ends. */
typedef enum { END_KILLED, END_POWER_LOST, END_DISK_LOST } world_end_t;
void world_end_store(world_store_t *store, world_end_t end);
void world_end_gateway(world_gateway_t *gateway);
/** True if every member of the group is up and complete, and nothing counts as lost. */
bool world_is_sound(const world_t *world);
/** Turns for which storage nodes had no room, because they held too many. */
uint64_t world_turns_refused_for_space(const world_t *world);
/** Writes of a group that is neither the latest one nor its successor. */
uint64_t world_groups_split(void);
/** The newest group that any running storage node knows; NULL: none. */
const store_group_t *world_group(const world_t *world);

/* workload.c */

/** Turns are kept for so long in ms, unless the workload is to judge that they are forgotten. */
enum { WORKLOAD_RETENTION_MS = 1000000000 };

/** Lets the gateways write, read and reserve until @p until; turns are kept for @p keep_turns_ms.
 */
void workload_start(world_t *world, uint64_t until, uint32_t keep_turns_ms);
/** From now on turns continue a few long conversations. */
void workload_continue_conversations(void);
/** Also judges how soon gateways reach the storage nodes; only while no link is harmed. */
void workload_judge_connects(void);
/** Also judges how soon gateways notice that they are cut off from storage nodes. */
void workload_judge_cuts(void);
/** Judges instead how soon a gateway that is cut off is connected through another one. */
void workload_judge_relays(void);
/** Begins reading back everything that was acknowledged. */
void workload_check_all(void);

typedef struct {
    uint64_t turns_acknowledged;
    uint64_t turns_given_up;
    uint64_t reserves_granted;
    uint64_t reserves_refused;
    uint64_t reads;
    uint64_t turns_lost;       /**< "No such turn" for an acknowledged one. */
    uint64_t turns_wrong;      /**< Another turn's content. */
    uint64_t turns_invented;   /**< A turn that nobody wrote. */
    uint64_t turns_not_read;   /**< Acknowledged, and not readable with its chain at the end. */
    uint64_t budgets_exceeded; /**< Programs that could hand out more than their budget. */
    uint64_t connects_late;    /**< Gateways still without storage nodes when all had been up. */
    uint64_t cuts_unserved;    /**< Gateways behind a cut whom no other gateway helped. */
    uint64_t cuts_unnoticed;   /**< Gateways that believed in storage nodes behind a cut. */
    uint64_t no_room;          /**< Turns refused for room that expired ones took. */
    uint64_t groups_split;     /**< Groups that did not follow the latest one. */
} workload_result_t;
const workload_result_t *workload_result(void);

/* faults.c */

/**
 * Draws faults from now until @p until; of one kind if @p only names it. False: there is no such
 * kind.
 */
bool faults_start(world_t *world, uint64_t until, const char *only);
/**
 * Begins outages of single storage nodes instead, one after the other, each once the last one
 * counts as over; at @p until all power is lost, and one disk with it.
 */
void faults_start_single_outages(world_t *world, uint64_t until);
/** Also stalls disks, one or several at a time, until the end of the faults that were started. */
void faults_stall_disks(void);
/** Also lets disks stand still for longer than callers wait, at one, several or all nodes. */
void faults_hold_disks(void);
/**
 * Also puts odd values at the key of the storage group, and cuts storage nodes off from the
 * key-value service, until the end of the faults that were started.
 */
void faults_overwrite_group(void);
/**
 * Also stops storage nodes as planned until @p until, one after the other, in series that overlap
 * with one another, with joins, retirements, wiped disks and stalled disks.
 */
void faults_stop_in_series(world_t *world, uint64_t until);
/** Ends all faults: everything that is not gone comes back. */
void faults_heal(world_t *world);
/** How often each kind of fault was injected, as "name count" lines appended to @p text. */
void faults_describe(GString *text);
void faults_clear_counts(void);

#endif
