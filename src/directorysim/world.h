/**
 * @file world.h
 * Simulated gateways, as far as they keep the key-value service in view for themselves and for one
 * another: the gateways' own code of duty, watch, feed, follow and load sharing, over a virtual
 * service and network. The storage nodes are played here: they tell gateways of one another and
 * keep a directory.
 *
 * Thread safety: the simulator has one thread.
 */
#ifndef RUDDERWAY_DIRECTORYSIM_WORLD_H
#define RUDDERWAY_DIRECTORYSIM_WORLD_H

#include "directorysim/virtual_service.h"
#include "gateway/gateway.h"
#include "store/gateway_registry.h"
#include "storesim/virtual_loop.h"
#include "storesim/virtual_network.h"

/** How busy the gateways are: it decides how often they tell one another. */
typedef enum {
    LOAD_IDLE,  /**< No calls. */
    LOAD_LIGHT, /**< Calls, and no back end half full. */
    LOAD_HEAVY, /**< Back ends are half full. */
    LOAD_KINDS,
} load_t;

struct store_client;

/** A gateway's machine. */
typedef struct {
    unsigned number;
    virtual_process_t *process;
    process_settings_t settings;
    gateway_t *gateway;          /**< NULL while it is down. */
    struct store_client *stores; /**< What it knows of the storage nodes; see stubs.c. */
    uint64_t listed_as;          /**< Serial number among the gateways that storage nodes know. */
    uint64_t struck_at;          /**< When something last happened to it, or ended; ms. */
    bool cut_off;                /**< From the key-value service. */
} world_gateway_t;

typedef struct {
    GPtrArray *gateways; /**< Of world_gateway_t. */
    load_t load;
    bool log; /**< Print the gateways' events, faults, and what is judged late. */
} world_t;

/** The only one. */
extern world_t world;

/** A deployment of @p gateways in @p zones zones, all started at time 0. */
void world_begin(uint64_t seed, unsigned gateways, unsigned zones);
void world_start_gateway(world_gateway_t *gateway);
/** @p silent: its machine loses power, so that no word comes from it. */
void world_end_gateway(world_gateway_t *gateway, bool silent);
/** The directory that storage nodes keep; NULL: none. */
GBytes *world_kept_directory(void);
void world_keep_directory(GBytes *bytes);

/** The version of the configuration in force at a gateway; 0: none, or it is down. */
uint64_t world_version(const world_gateway_t *gateway);

/* virtual_datagrams.c */

void virtual_datagrams_start(void);

/* stubs.c */

/** The way to the storage nodes of a gateway that has just started. */
struct store_client *stub_store_client_new(world_gateway_t *gateway);

/* judge.c */

/** Bounds within which a configuration must be in force, in ms. */
enum {
    APPLY_MS = 2000,   /**< After it was acknowledged, */
    CONTACT_MS = 3000, /**< at gateways that were untouched for so long, as was the service; */
    OUTER_MS = 5000,   /**< so much more while the service is not calm. */
};

typedef struct {
    uint64_t versions;  /**< That an operator wrote. */
    uint64_t looks;     /**< At gateways that had to be up to date. */
    uint64_t late;      /**< Of these, at gateways with a version that was too old. */
    uint64_t back;      /**< Gateways whose version went back. */
    uint64_t latest_ms; /**< The greatest age of a version that a gateway lacked. */
    uint64_t service_calls;
} judgement_t;

void judge_start(uint64_t from);
/** A version was acknowledged. */
void judge_note_version(uint64_t version);
/** The service was disturbed until now; @p hard: down, slow, or it lost answers. */
void judge_note_service(bool hard);
const judgement_t *judge_result(void);

/* faults.c */

/** Draws faults until @p until; of one kind if @p only names it. False: there is no such kind. */
bool faults_start(uint64_t until, const char *only);
void faults_heal(void);
void faults_describe(GString *text);
void faults_clear_counts(void);

#endif
