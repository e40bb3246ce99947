#include "gateway/backend_survival.h"

#include "gateway/backend_versions.h"

enum {
    /** What a process sent before it ended arrives within this time after the end is noticed. */
    IN_FLIGHT_MS = 50,
};

void backend_record_survival(backend_t *backend, uint64_t first_received_at) {
    bool overlaps = backend->survived_from > 0 && first_received_at <= backend->survived_until;
    if (!overlaps)
        backend->survived_from = first_received_at;
    else
        backend->survived_from = MIN(backend->survived_from, first_received_at);
    backend->survived_until = uv_now(backend->loop);
}

survival_t backend_survival_since(const backend_t *backend, uint64_t at) {
    if (backend->added_at >= at || backend->incarnation_since >= at)
        return SURVIVAL_REPLACED;
    bool answered = backend->survived_from > 0 && backend->survived_from < at &&
                    backend->survived_until >= at + IN_FLIGHT_MS;
    if (answered)
        return SURVIVAL_ANSWERED;
    bool listed =
        backend->expiry_grace_end == 0 && backend->owner->confirmed_at >= at + VERSION_DOUBT_MS;
    return listed ? SURVIVAL_LISTED : SURVIVAL_UNKNOWN;
}
