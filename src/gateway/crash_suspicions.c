#include "gateway/crash_suspicions.h"

#include "common/event.h"
#include "gateway/backend_survival.h"
#include "gateway/backend_versions.h"

enum {
    SUSPICIONS_MAX = 4096,
    POLL_MS = 100,
    /** The directory mostly settles a suspicion within this time. */
    SETTLED_MS = VERSION_DOUBT_MS + 1000,
};

typedef struct {
    crash_report_t crash;
    uint64_t backend; /**< backend_t.id_hash. */
    uint64_t since;   /**< Evidence of the process must be later. */
} suspicion_t;

struct crash_suspicions {
    uv_loop_t *loop;
    backends_t *backends;
    GArray *entries; /**< Of suspicion_t, oldest first. */
    uv_timer_t timer;
    const crash_suspicions_handler_t *handler;
    void *owner;
};

static uint64_t now(const crash_suspicions_t *suspicions) {
    return uv_now(suspicions->loop);
}

static suspicion_t *entry_at(const crash_suspicions_t *suspicions, guint index) {
    return &g_array_index(suspicions->entries, suspicion_t, index);
}

crash_suspicions_t *crash_suspicions_new(uv_loop_t *loop, backends_t *backends,
                                         const crash_suspicions_handler_t *handler, void *owner) {
    crash_suspicions_t *suspicions = g_new0(crash_suspicions_t, 1);
    suspicions->loop = loop;
    suspicions->backends = backends;
    suspicions->entries = g_array_new(FALSE, FALSE, sizeof(suspicion_t));
    suspicions->handler = handler;
    suspicions->owner = owner;
    uv_timer_init(loop, &suspicions->timer);
    suspicions->timer.data = suspicions;
    return suspicions;
}

/** True if the suspicion is settled or has expired. */
static bool settle(const crash_suspicions_t *suspicions, suspicion_t *suspicion) {
    static const char *const names[SURVIVAL_COUNT] = {"expired", "answered", "listed", "replaced"};
    crash_report_t *crash = &suspicion->crash;
    backend_t *backend = backends_find_hash(suspicions->backends, suspicion->backend);
    survival_t survival =
        backend == NULL ? SURVIVAL_REPLACED : backend_survival_since(backend, suspicion->since);
    bool expired = now(suspicions) >= crash->at + CRASH_RETENTION_MS;
    if (survival == SURVIVAL_UNKNOWN && !expired)
        return false;
    event_log(BACKEND_CRASH_SETTLED, crash->request,
              backend == NULL ? "-" : backend->record->instance, names[survival],
              now(suspicions) - crash->at);
    if (survival == SURVIVAL_ANSWERED || survival == SURVIVAL_LISTED)
        suspicions->handler->on_survived(suspicions->owner, crash);
    else if (!expired)
        suspicions->handler->on_ended(suspicions->owner, crash);
    return true;
}

static void on_timer(uv_timer_t *timer) {
    const crash_suspicions_t *suspicions = timer->data;
    for (guint i = suspicions->entries->len; i > 0; i--)
        if (settle(suspicions, entry_at(suspicions, i - 1)))
            g_array_remove_index(suspicions->entries, i - 1);
    if (suspicions->entries->len == 0)
        uv_timer_stop(timer);
}

void crash_suspicions_keep(crash_suspicions_t *suspicions, const crash_report_t *crash,
                           uint64_t backend, uint64_t since) {
    if (suspicions->entries->len >= SUSPICIONS_MAX)
        g_array_remove_index(suspicions->entries, 0);
    const suspicion_t suspicion = {*crash, backend, since};
    g_array_append_val(suspicions->entries, suspicion);
    if (!uv_is_active((const uv_handle_t *)&suspicions->timer))
        uv_timer_start(&suspicions->timer, on_timer, POLL_MS, POLL_MS);
}

bool crash_suspicions_renew(crash_suspicions_t *suspicions, uint64_t request, uint64_t backend) {
    for (guint i = 0; i < suspicions->entries->len; i++) {
        suspicion_t *suspicion = entry_at(suspicions, i);
        if (suspicion->crash.request != request || suspicion->backend != backend)
            continue;
        suspicion->since = now(suspicions);
        return true;
    }
    return false;
}

void crash_suspicions_forget(crash_suspicions_t *suspicions, uint64_t request, uint64_t until) {
    for (guint i = suspicions->entries->len; i > 0; i--) {
        const crash_report_t *crash = &entry_at(suspicions, i - 1)->crash;
        if (crash->request == request && crash->at <= until)
            g_array_remove_index(suspicions->entries, i - 1);
    }
}

unsigned crash_suspicions_count(const crash_suspicions_t *suspicions, uint64_t request,
                                uint64_t *settled_at) {
    unsigned count = 0;
    uint64_t latest = 0;
    for (guint i = 0; i < suspicions->entries->len; i++) {
        const suspicion_t *suspicion = entry_at(suspicions, i);
        if (suspicion->crash.request != request)
            continue;
        count++;
        latest = MAX(latest, suspicion->since);
    }
    *settled_at = MAX(latest + SETTLED_MS, now(suspicions) + POLL_MS);
    return count;
}
