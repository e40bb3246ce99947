/*
 * Design. A gateway must be up to date at a moment if nothing has happened to it, nor to its way to
 * the service, for CONTACT_MS: then the version in force is no older than the newest one that was
 * acknowledged APPLY_MS before, or OUTER_MS earlier while the service is not calm. While the
 * service is down, slow or loses answers, and CONTACT_MS after, nothing is asked.
 */
#include "directorysim/world.h"

#include <stdio.h>

enum { LOOK_MS = 10, NEVER = 0 };

typedef struct {
    uint64_t version;
    uint64_t acknowledged_at;
} known_version_t;

static GArray *versions;      /**< Of known_version_t. */
static uint64_t hard_until;   /**< The service was last down, slow or lost answers then. */
static uint64_t soft_until;   /**< It was last disturbed otherwise. */
static GHashTable *last_seen; /**< Of each incarnation of a gateway: gateway_t to its version. */
static judgement_t judgement;

void judge_note_version(uint64_t version) {
    known_version_t known = {version, virtual_now()};
    g_array_append_val(versions, known);
    judgement.versions++;
}

void judge_note_service(bool hard) {
    if (hard)
        hard_until = virtual_now();
    soft_until = virtual_now();
}

static bool lately(uint64_t when) {
    return when != NEVER && virtual_now() < when + CONTACT_MS;
}

/** The oldest version that a gateway with @p version lacks; NULL: none. */
static const known_version_t *oldest_lacking(uint64_t version) {
    for (guint i = versions->len; i > 0; i--) {
        const known_version_t *known = &g_array_index(versions, known_version_t, i - 1);
        if (known->version <= version)
            return i == versions->len ? NULL : &g_array_index(versions, known_version_t, i);
    }
    return versions->len == 0 ? NULL : &g_array_index(versions, known_version_t, 0);
}

static void look_whether_back(const world_gateway_t *gateway, uint64_t version) {
    uint64_t *seen = g_hash_table_lookup(last_seen, gateway->gateway);
    if (seen == NULL) {
        seen = g_new0(uint64_t, 1);
        g_hash_table_insert(last_seen, gateway->gateway, seen);
    }
    judgement.back += version < *seen;
    *seen = version;
}

static bool in_touch(const world_gateway_t *gateway) {
    return gateway->gateway != NULL && gateway->process->paused_until <= virtual_now() &&
           !gateway->cut_off && virtual_now() >= gateway->struck_at + CONTACT_MS;
}

static void look_at_gateway(const world_gateway_t *gateway) {
    uint64_t version = world_version(gateway);
    if (version == 0)
        return;
    look_whether_back(gateway, version);
    if (!in_touch(gateway) || lately(hard_until))
        return;
    judgement.looks++;
    const known_version_t *lacking = oldest_lacking(version);
    if (lacking == NULL)
        return;
    uint64_t age = virtual_now() - lacking->acknowledged_at;
    uint64_t bound = lately(soft_until) ? APPLY_MS + OUTER_MS : APPLY_MS;
    if (bound == APPLY_MS)
        judgement.latest_ms = MAX(judgement.latest_ms, age);
    if (age <= bound)
        return;
    judgement.late++;
    if (world.log)
        printf("%9.3f %-12s LATE version=%" G_GUINT64_FORMAT " lacks=%" G_GUINT64_FORMAT
               " age_ms=%" G_GUINT64_FORMAT "\n",
               (double)virtual_now() / 1000, gateway->process->name, (guint64)version,
               (guint64)lacking->version, (guint64)age);
}

static void look(void *data) {
    virtual_after(LOOK_MS, NULL, look, data);
    for (guint i = 0; i < world.gateways->len; i++)
        look_at_gateway(g_ptr_array_index(world.gateways, i));
}

void judge_start(uint64_t from) {
    versions = g_array_new(FALSE, FALSE, sizeof(known_version_t));
    last_seen = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    hard_until = NEVER;
    soft_until = NEVER;
    judgement = (judgement_t){0};
    virtual_after(from, NULL, look, NULL);
}

const judgement_t *judge_result(void) {
    judgement.service_calls = virtual_service_calls();
    return &judgement;
}
