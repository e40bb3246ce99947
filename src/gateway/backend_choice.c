/*
 * Design. The back ends of the local zone are considered first. Those of remote zones are added
 * only if no local one is usable, if so many local ones are avoided that the cause may be the zone
 * itself, or if a remote one may be better in spite of its distance.
 */
#include "gateway/backends.h"
#include "gateway/backend_versions.h"
#include "gateway/engine_load.h"

#include "core/routing/service_choice.h"

#include <string.h>
#include <xxhash.h>

enum {
    /** Remote back ends are considered too if more than one in this many candidates is avoided. */
    AVOIDED_DOUBT_DIVISOR = 3,
};

/** Candidates, either services or engines, with their back ends at the same indices. */
typedef struct {
    GArray *services;    /**< Of service_candidate_t. */
    GArray *engines;     /**< Of engine_candidate_t. */
    GPtrArray *backends; /**< Of backend_t. */
    unsigned avoided;
    bool speeds; /**< The speeds of the service's back ends are measured. */
} candidates_t;

static void candidates_init(candidates_t *candidates) {
    candidates->services = g_array_new(FALSE, FALSE, sizeof(service_candidate_t));
    candidates->engines = g_array_new(FALSE, FALSE, sizeof(engine_candidate_t));
    candidates->backends = g_ptr_array_new();
    candidates->avoided = 0;
    candidates->speeds = false;
}

static void candidates_clear(candidates_t *candidates) {
    g_array_free(candidates->services, TRUE);
    g_array_free(candidates->engines, TRUE);
    g_ptr_array_free(candidates->backends, TRUE);
}

static bool usable(const backend_t *backend, const backend_choice_t *choice) {
    bool expired =
        backend->expiry_grace_end > 0 && uv_now(backend->loop) >= backend->expiry_grace_end;
    if (backend->record->leaving || expired)
        return false;
    if (choice->version != VERSION_ANY && (backend->version != choice->version ||
                                           (choice->certain && !backend_version_certain(backend))))
        return false;
    return choice->excluded == NULL ||
           !g_ptr_array_find((GPtrArray *)choice->excluded, backend, NULL);
}

static bool any_other_usable(const GPtrArray *list, const backend_choice_t *choice,
                             const backend_t *backend) {
    for (guint i = 0; i < list->len; i++) {
        const backend_t *other = g_ptr_array_index(list, i);
        if (other != backend && usable(other, choice))
            return true;
    }
    return false;
}

bool backends_have_other(const backends_t *backends, const backend_choice_t *choice,
                         const backend_t *backend) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, choice->service);
    return members != NULL && (any_other_usable(members->local, choice, backend) ||
                               any_other_usable(members->remote, choice, backend));
}

static void add_service(candidates_t *candidates, backend_t *backend,
                        const backend_choice_t *choice, bool avoided) {
    service_candidate_t candidate = {
        .id = backend->id_hash,
        .load = backend_load(backend),
        .slots = backend_slots(backend, choice->slots),
        .connected = backend->idle->len > 0,
        .local = backend->local,
        .avoided = avoided,
        .speed_percent = candidates->speeds ? backend_speed(backend) : 0,
        .answer_ms = candidates->speeds ? backend_typical_answer_ms(backend) : 0,
    };
    g_array_append_val(candidates->services, candidate);
}

static void add_engine(candidates_t *candidates, backend_t *backend, const backend_choice_t *choice,
                       bool avoided) {
    engine_candidate_t candidate = {
        .id = backend->id_hash,
        .load = backend_load(backend),
        .slots = backend_slots(backend, choice->slots),
        .local = backend->local,
        .avoided = avoided,
        .down = backend_is_down(backend),
    };
    g_array_append_val(candidates->engines, candidate);
}

typedef void (*add_candidate_t)(candidates_t *candidates, backend_t *backend,
                                const backend_choice_t *choice, bool avoided);

static void add_one(candidates_t *candidates, backend_t *backend, const backend_choice_t *choice,
                    add_candidate_t add) {
    if (!usable(backend, choice))
        return;
    bool avoided = backend_is_avoided(backend);
    candidates->avoided += avoided;
    g_ptr_array_add(candidates->backends, backend);
    add(candidates, backend, choice, avoided);
}

static void add_list(candidates_t *candidates, const GPtrArray *list,
                     const backend_choice_t *choice, add_candidate_t add) {
    for (guint i = 0; i < list->len; i++)
        add_one(candidates, g_ptr_array_index(list, i), choice, add);
}

/** True if too many candidates are avoided to trust the evidence against them. */
static bool avoidance_is_doubtful(const candidates_t *candidates) {
    return candidates->avoided * AVOIDED_DOUBT_DIVISOR > candidates->backends->len;
}

static unsigned count_down(const GPtrArray *list) {
    unsigned down = 0;
    for (guint i = 0; i < list->len; i++)
        down += backend_is_down(g_ptr_array_index(list, i));
    return down;
}

bool backends_mostly_unreachable(const backends_t *backends, const char *service) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, service);
    if (members == NULL)
        return false;
    unsigned down = count_down(members->local) + count_down(members->remote);
    return down * AVOIDED_DOUBT_DIVISOR > members->local->len + members->remote->len;
}

static backend_t *take_candidate(const candidates_t *candidates, bool found, unsigned index) {
    if (!found)
        return NULL;
    backend_t *backend = g_ptr_array_index(candidates->backends, index);
    backend_acquire(backend);
    return backend;
}

static bool choose_service(const candidates_t *candidates, uint64_t seed, unsigned *index) {
    return service_choose((const service_candidate_t *)candidates->services->data,
                          candidates->services->len, seed, index);
}

/** True if no remote back end can be better than the candidate at @p index. */
static bool local_is_best(const candidates_t *candidates, unsigned index) {
    return service_stays_local(&g_array_index(candidates->services, service_candidate_t, index));
}

backend_t *backends_choose(backends_t *backends, const backend_choice_t *choice) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, choice->service);
    if (members == NULL)
        return NULL;
    candidates_t candidates;
    unsigned index = 0;
    candidates_init(&candidates);
    candidates.speeds = backends_report_start_times(backends, choice->service);
    add_list(&candidates, members->local, choice, add_service);
    bool found = choose_service(&candidates, backends->seed, &index);
    if (!found || avoidance_is_doubtful(&candidates) || !local_is_best(&candidates, index)) {
        add_list(&candidates, members->remote, choice, add_service);
        found = choose_service(&candidates, backends->seed, &index);
    }
    backend_t *backend = take_candidate(&candidates, found, index);
    candidates_clear(&candidates);
    return backend;
}

/** Order of two back ends for a request under which back ends have ended. */
static bool suits_suspect_better(const backend_t *backend, const backend_t *other,
                                 const service_candidate_t *candidate,
                                 const service_candidate_t *best, uint64_t request) {
    if (candidate->avoided != best->avoided)
        return !candidate->avoided;
    if (backend->suspects != other->suspects)
        return backend->suspects < other->suspects;
    if (candidate->load != best->load)
        return candidate->load < best->load;
    return XXH64(&candidate->id, sizeof candidate->id, request) <
           XXH64(&best->id, sizeof best->id, request);
}

backend_t *backends_choose_for_suspect(backends_t *backends, const backend_choice_t *choice,
                                       uint64_t request) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, choice->service);
    if (members == NULL)
        return NULL;
    candidates_t candidates;
    candidates_init(&candidates);
    add_list(&candidates, members->local, choice, add_service);
    add_list(&candidates, members->remote, choice, add_service);
    const service_candidate_t *all = (const service_candidate_t *)candidates.services->data;
    unsigned best = 0;
    for (unsigned i = 1; i < candidates.services->len; i++)
        if (suits_suspect_better(g_ptr_array_index(candidates.backends, i),
                                 g_ptr_array_index(candidates.backends, best), &all[i], &all[best],
                                 request))
            best = i;
    backend_t *backend = take_candidate(&candidates, candidates.services->len > 0, best);
    candidates_clear(&candidates);
    return backend;
}

static bool choose_engine(const candidates_t *candidates, const engine_request_t *request,
                          unsigned *index) {
    return engine_choose((const engine_candidate_t *)candidates->engines->data,
                         candidates->engines->len, request, index);
}

/** The engine that has the program's prompt, if it is in a remote zone; else NULL. */
static backend_t *remote_last_engine(const backends_t *backends, const backend_choice_t *choice,
                                     const engine_request_t *request) {
    backend_t *last_engine =
        request->place == 0 ? NULL : backends_find_hash(backends, request->place);
    bool of_service =
        last_engine != NULL && strcmp(last_engine->record->service, choice->service) == 0;
    return of_service && !last_engine->local ? last_engine : NULL;
}

/**
 * True if remote engines need not be considered: the chosen engine is local, or is the program's
 * engine and not crowded.
 */
static bool local_engine_suffices(const candidates_t *candidates, const engine_request_t *request,
                                  unsigned index) {
    const engine_candidate_t *chosen =
        &g_array_index(candidates->engines, engine_candidate_t, index);
    bool is_last_engine = request->place != 0 && chosen->id == request->place;
    if (avoidance_is_doubtful(candidates))
        return false;
    return is_last_engine ? !engine_overloaded(chosen) : chosen->local;
}

backend_t *backends_choose_engine(backends_t *backends, const backend_choice_t *choice,
                                  const engine_request_t *request) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, choice->service);
    if (members == NULL)
        return NULL;
    candidates_t candidates;
    unsigned index = 0;
    candidates_init(&candidates);
    add_list(&candidates, members->local, choice, add_engine);
    backend_t *last_engine = remote_last_engine(backends, choice, request);
    if (last_engine != NULL)
        add_one(&candidates, last_engine, choice, add_engine);
    bool found = choose_engine(&candidates, request, &index);
    if (!found || !local_engine_suffices(&candidates, request, index)) {
        for (guint i = 0; i < members->remote->len; i++)
            if (g_ptr_array_index(members->remote, i) != last_engine)
                add_one(&candidates, g_ptr_array_index(members->remote, i), choice, add_engine);
        found = choose_engine(&candidates, request, &index);
    }
    backend_t *backend = take_candidate(&candidates, found, index);
    candidates_clear(&candidates);
    return backend;
}

/* Choice by cost. */

/** Engines for the placement of a turn, with their back ends at the same indices. */
typedef struct {
    GArray *options;     /**< Of engine_option_t. */
    GPtrArray *backends; /**< Of backend_t. */
    const engine_baseline_t *baseline;
} engine_options_t;

static void add_option(engine_options_t *engines, backend_t *backend,
                       const backend_choice_t *choice) {
    if (!usable(backend, choice))
        return;
    engine_option_t option = {
        .id = backend->id_hash,
        .state = engine_load_state(backend, engines->baseline, choice->slots),
        .local = backend->local,
        .avoided = backend_is_avoided(backend),
        .down = backend_is_down(backend),
    };
    g_array_append_val(engines->options, option);
    g_ptr_array_add(engines->backends, backend);
}

/** Adds a sample of the remote engines, evenly spaced from a random start. */
static void add_sampled_remote(engine_options_t *engines, const GPtrArray *remote,
                               const backend_t *last_engine, const backend_choice_t *choice,
                               uint64_t sample) {
    bool all = choice->version != VERSION_ANY; /* A sample may have none of the version. */
    guint count = all ? remote->len : MIN(remote->len, REMOTE_ENGINE_SAMPLES);
    for (guint i = 0; i < count; i++) {
        guint index = (guint)((sample + (uint64_t)i * remote->len / count) % remote->len);
        backend_t *backend = g_ptr_array_index(remote, index);
        if (backend != last_engine)
            add_option(engines, backend, choice);
    }
}

static placement_t place_among(const engine_options_t *engines,
                               const placement_request_t *request) {
    return engine_place((const engine_option_t *)engines->options->data, engines->options->len,
                        request);
}

static void describe_service(backends_t *backends, service_members_t *members,
                             placement_request_t *request) {
    uint64_t count = members->sample_counter++;
    request->random_bits = XXH64(&count, sizeof count, backends->seed);
    request->turn.turn_ms = engine_baseline_turn_ms(&members->baseline);
    request->turn.tokens_per_ms = engine_baseline_tokens_per_ms(&members->baseline);
}

/** Places the turn in the local zone, or also considers remote engines if that is not enough. */
static placement_t place_in_zones(engine_options_t *engines, const service_members_t *members,
                                  backend_t *last_engine, const backend_choice_t *choice,
                                  const placement_request_t *request) {
    for (guint i = 0; i < members->local->len; i++)
        add_option(engines, g_ptr_array_index(members->local, i), choice);
    if (last_engine != NULL)
        add_option(engines, last_engine, choice);
    placement_t placement = place_among(engines, request);
    if (placement.outcome == PLACEMENT_FOUND && !placement.try_remote)
        return placement;
    add_sampled_remote(engines, members->remote, last_engine, choice, request->random_bits);
    return place_among(engines, request);
}

backend_t *backends_place_engine(backends_t *backends, const backend_choice_t *choice,
                                 placement_request_t *request, placement_t *placement) {
    service_members_t *members = g_hash_table_lookup(backends->by_service, choice->service);
    *placement = (placement_t){.outcome = PLACEMENT_NONE};
    if (members == NULL)
        return NULL;
    describe_service(backends, members, request);
    engine_options_t engines = {
        .options = g_array_new(FALSE, FALSE, sizeof(engine_option_t)),
        .backends = g_ptr_array_new(),
        .baseline = &members->baseline,
    };
    const engine_request_t last_request = {.place = request->place};
    *placement = place_in_zones(
        &engines, members, remote_last_engine(backends, choice, &last_request), choice, request);
    backend_t *backend = NULL;
    if (placement->outcome == PLACEMENT_FOUND) {
        backend = g_ptr_array_index(engines.backends, placement->chosen);
        backend_acquire(backend);
    }
    g_array_free(engines.options, TRUE);
    g_ptr_array_free(engines.backends, TRUE);
    return backend;
}
