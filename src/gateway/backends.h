/**
 * @file backends.h
 * The back ends that this gateway knows, what it has under way at each, and its kept connections
 * to them. Chooses the back end for a call.
 *
 * Choice (backend_choice.c). An engine is chosen as core/routing/engine_choice.h says, any other
 * back end as core/routing/service_choice.h does. Those of the gateway's own zone are looked at
 * first, and all of them only if those will not do: of 10,000 back ends in six zones a choice looks
 * at some hundreds, and the same holds of what is summed up and told.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_BACKENDS_H
#define RUDDERWAY_GATEWAY_BACKENDS_H

#include "cluster/service_directory.h"
#include "core/routing/ejection.h"
#include "core/retry/silence.h"
#include "core/routing/engine_choice.h"
#include "core/routing/engine_limit.h"
#include "core/routing/engine_usual.h"
#include "net/http_client.h"

/** The back ends of one service. */
typedef struct {
    GPtrArray *near; /**< In the gateway's zone; of backend_t. */
    GPtrArray *far;
    engine_usual_t usual;  /**< Of its turns; engine_load.h. */
    unsigned lives_told;   /**< Of those that don't leave, how many say when they were born, */
    unsigned lives_untold; /**< and how many do not. */
    uint64_t draws;        /**< Counts what was drawn. */
} service_members_t;

typedef struct {
    backend_record_t *record;
    GPtrArray *list; /**< Of service_members_t, in which it stands; NULL: it is gone. */
    guint list_index;
    bool near;             /**< In the gateway's zone. */
    gint references;       /**< The table and the calls at this back end. */
    bool gone;             /**< It left the directory. */
    uint64_t lapsed_until; /**< Its entry is gone, but it is used until then; 0: it is there. */
    uint64_t id_hash;      /**< Of the instance; names it among gateways. */
    unsigned under_way;    /**< Calls of this gateway. */
    unsigned elsewhere;    /**< Calls of the other gateways, as they last told. */
    ejection_t ejection;   /**< Whether it seems to be down. */
    bool told_out;         /**< Left out by what others told, when last looked at. */
    uint64_t life_id;      /**< Hash of instance and life; 0: it does not tell its life. */
    uint64_t life_at;      /**< When its life was found to be a new one; 0: never. */
    struct backend_life_pace *pace; /**< See backend_paces.h; NULL: nothing is known. */
    GQueue unanswered; /**< Sends without a word of an answer, oldest first: their times, ms. */
    backend_signs_t signs;
    http_client_t *probe; /**< See backend_probe.h; NULL: none is under way. */
    uint64_t probed_at;
    unsigned probe_failures;
    uint64_t unreachable_at; /**< When it was last found unreachable; 0: never. */
    engine_limit_t limit;    /**< Of an engine: when it turns calls away. */
    bool overdue;            /**< The oldest of them is overdue, when last looked at. */
    GPtrArray *idle;         /**< Kept connections, the latest used last; of http_client_t. */
    uv_loop_t *loop;
    struct backends *owner;
} backend_t;

typedef struct backends {
    uv_loop_t *loop;
    char *zone;
    GHashTable *by_instance; /**< Of backend_t. */
    GHashTable *by_hash;     /**< Of backend_t. */
    GHashTable *by_service;  /**< Name to service_members_t. */
    GHashTable *lapsed;      /**< Set of backend_t whose entries are gone, but that are used. */
    GHashTable *used;        /**< Set of backend_t of which the others may have to be told. */
    GHashTable *told_of;     /**< Set of backend_t of which others told something that counts. */
    struct backend_paces *paces;
    uint64_t seed; /**< This gateway's own; see core/routing/service_choice.h. */
    uint64_t connections_opened;
    uint64_t changes; /**< Counts beginnings and ends of calls. */
} backends_t;

/** What a choice depends on. */
typedef struct {
    const char *service;
    const GPtrArray *excluded; /**< Back ends tried already; of backend_t. */
    unsigned slots;            /**< Of an engine; 0: unknown. */
} backend_choice_t;

/** @p gateway: this gateway's name; gives its order of equal back ends. */
void backends_init(backends_t *backends, uv_loop_t *loop, const char *zone, const char *gateway);
/** Forgets all back ends; none may have a call under way. */
void backends_clear(backends_t *backends);
/**
 * Takes over @p record as what is known of its instance now. If it has started again, all that was
 * observed of its life before is forgotten.
 */
void backends_update(backends_t *backends, backend_record_t *record);
void backends_remove(backends_t *backends, const char *instance);
/** Its entry is gone; it is used until @p until, unless it was leaving. False: it is removed. */
bool backends_lapse(backends_t *backends, const char *instance, uint64_t until);
/** Removes those whose entries have not come back in time; returns how many. */
unsigned backends_expire_lapsed(backends_t *backends);
/** Removes all whose instance is not in @p instances. */
void backends_retain(backends_t *backends, GHashTable *instances);
/** NULL if no back end has this hash. */
backend_t *backends_find_hash(const backends_t *backends, uint64_t id_hash);
unsigned backends_count(const backends_t *backends);

/** Calls that a back end runs at once; @p usual if it does not say, 0: unknown. */
unsigned backend_slots(const backend_t *backend, unsigned usual);
/** Its speed in percent of what is typical of its service; 100 while too little is known. */
unsigned backend_speed(backend_t *backend);
/** Usual time of its service's plain answers, in ms; 0: unknown, or nothing is known of it. */
unsigned backend_usual_answer_ms(const backend_t *backend);
/** True if it can't be connected to, or owes an answer and says nothing at all. */
bool backend_down(backend_t *backend);
/** True if it gets a call only if there is no other: it seems to be down, or is slow to answer. */
bool backend_avoided(backend_t *backend);
/** True if some back end has half of its slots taken, as far as is known here. */
bool backends_half_full(const backends_t *backends);

/** The back end for a call, with a reference and counted under way; NULL if there is none. */
backend_t *backends_choose(backends_t *backends, const backend_choice_t *choice);
/** The engine for a call, as from backends_choose. */
backend_t *backends_choose_engine(backends_t *backends, const backend_choice_t *choice,
                                  const engine_request_t *request);
/** Counts one more call at a back end that a call is at. */
void backend_take(backend_t *backend);
/** Ends what backends_choose or backends_choose_engine began. */
void backend_release(backend_t *backend);
/** For how long the other gateways should hear that it is left out, in ms; 0: not at all. */
uint32_t backend_tell_out_ms(backend_t *backend);
/** A request is sent; @p sent_at stays where it is until the answer begins or the call gives up. */
void backend_send_begun(backend_t *backend, const uint64_t *sent_at);
/** The answer begins. */
void backend_send_answered(backend_t *backend, const uint64_t *sent_at);
/** The call gives up waiting; nothing happens if the answer had begun. */
void backend_send_ended(backend_t *backend, const uint64_t *sent_at);
/** Notes that a call's connection ended too soon for any work: the back end may be down. */
void backend_note_reset(backend_t *backend);

/** A connection to use: a kept one if there is one. NULL if none can be opened. */
http_client_t *backend_connect(backends_t *backends, backend_t *backend);
/** Keeps a connection for the next call if it can be used again. */
void backend_keep(backend_t *backend, http_client_t *client);

#endif
