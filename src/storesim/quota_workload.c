/*
 * Design. Callers of a few tenants ask for far more than their limits at every gateway, through the
 * real quota_client.c, by plain calls and by programs' calls; each grant is used a moment later,
 * unless it has ended by then. The oracle notes each use and looks, at the end, for the window that
 * held most of them. Nothing excuses a window that holds more than is allowed: no fault of storage
 * nodes, gateways or the network.
 */
#include "storesim/quota_workload.h"

enum {
    USE_SOON_MS = 5,       /**< Calls use their grant so soon, */
    DEMAND = 3,            /**< come at so many times the rate, */
    CROWD_EACH_MS = 12000, /**< in crowds that begin this often, */
    CROWD_MS = 8000,       /**< and last so long: the buckets are full before. */
    STALL_FROM_MS = 1000,  /**< In every other crowd all calls wait for something else from here, */
    STALL_UNTIL_MS = 4000, /**< and are sent together here, if their grants still hold. */
    PLAIN_PERCENT = 30,    /**< Of the calls, so many belong to no program, */
    PROGRAM_ENDS_PERCENT = 15, /**< and after so many of the others their program ends. */
    FURTHER_SEND_PERCENT = 2,  /**< Of the calls that were sent, so many are sent once more. */
    MS_PER_S = 1000,
};

typedef struct {
    tenant_t tenant;
    GArray *used; /**< Of uint64_t: times of uses, in order. */
} workload_tenant_t;

static workload_tenant_t tenants[] = {
    {{.name = (char *)"large", .rate = 60, .burst = 60}, NULL},
    {{.name = (char *)"small", .rate = 12, .burst = 12}, NULL},
    {{.name = (char *)"tiny", .rate = 2, .burst = 1}, NULL},
};

/** Who calls for one tenant at one gateway, one program after the other. */
typedef struct {
    const world_gateway_t *gateway;
    workload_tenant_t *tenant;
    uint64_t program; /**< Its number; 0: none yet. */
    bool begun;       /**< It has had a grant. */
} caller_t;

/** One call. */
typedef struct {
    const world_gateway_t *gateway;
    workload_tenant_t *tenant;
    caller_t *caller;
    uint64_t program; /**< 0: a plain call. */
    uint64_t until;
} workload_call_t;

static const world_t *world;
static uint64_t work_until;
static bool ends_ignored;
static uint64_t programs; /**< Begun so far. */
static quota_workload_result_t result;

static void note_use(const workload_tenant_t *tenant) {
    uint64_t now = virtual_now();
    g_array_append_val(tenant->used, now);
}

static void use(void *data) {
    workload_call_t *call = data;
    if (virtual_now() <= call->until || ends_ignored) {
        note_use(call->tenant);
        result.used++;
        if (virtual_chance(FURTHER_SEND_PERCENT)) {
            quota_client_charge(call->gateway->quotas, &call->tenant->tenant, 1);
            note_use(call->tenant);
        }
    } else {
        result.ended++;
    }
    g_free(call);
}

/** How long all calls wait for something else from now on. */
static uint64_t stall_ms(void) {
    uint64_t since = virtual_now() % CROWD_EACH_MS;
    bool stalls = virtual_now() / CROWD_EACH_MS % 2 == 1 && since >= STALL_FROM_MS;
    return stalls && since < STALL_UNTIL_MS ? STALL_UNTIL_MS - since : 0;
}

static void take_result(workload_call_t *call, const quota_result_t *outcome) {
    if (outcome->outcome == QUOTA_GRANTED) {
        call->until = outcome->until;
        if (call->program == call->caller->program)
            call->caller->begun = true;
        virtual_after(virtual_random(0, USE_SOON_MS) + stall_ms(), call->gateway->process, use,
                      call);
        return;
    }
    result.over += outcome->outcome == QUOTA_EXCEEDED;
    result.unsure += outcome->outcome == QUOTA_UNAVAILABLE;
    g_free(call);
}

static void on_result(void *owner, const quota_result_t *outcome) {
    take_result(owner, outcome);
}

/** The caller's next call may be a new program's. */
static void choose_program(caller_t *caller) {
    if (caller->program > 0 && !virtual_chance(PROGRAM_ENDS_PERCENT))
        return;
    caller->program = ++programs;
    caller->begun = false;
}

static void begin_call(caller_t *caller) {
    workload_call_t *call = g_new0(workload_call_t, 1);
    call->gateway = caller->gateway;
    call->tenant = caller->tenant;
    call->caller = caller;
    quota_call_t asking = {.route = "route", .time_left_ms = MS_PER_S};
    char name[32];
    if (!virtual_chance(PLAIN_PERCENT)) {
        choose_program(caller);
        call->program = caller->program;
        g_snprintf(name, sizeof name, "program-%" G_GUINT64_FORMAT, call->program);
        asking.program = name;
        asking.begun = caller->begun;
    }
    quota_request_t *ask;
    quota_result_t outcome = quota_client_acquire(caller->gateway->quotas, &caller->tenant->tenant,
                                                  1, &asking, on_result, call, &ask);
    if (outcome.outcome != QUOTA_PENDING)
        take_result(call, &outcome);
}

static void step(void *data) {
    caller_t *caller = data;
    const world_gateway_t *gateway = caller->gateway;
    if (virtual_now() >= work_until)
        return;
    uint64_t mean_ms = MS_PER_S * (uint64_t)world->gateways->len /
                       ((uint64_t)caller->tenant->tenant.rate * DEMAND);
    virtual_after(virtual_random(0, 2 * mean_ms + 1), NULL, step, data);
    bool crowd = virtual_now() % CROWD_EACH_MS < CROWD_MS;
    if (crowd && gateway->client != NULL && gateway->process->paused_until <= virtual_now())
        begin_call(caller);
}

void quota_workload_start(const world_t *in_world, uint64_t until, bool ignore_ends) {
    world = in_world;
    work_until = until;
    ends_ignored = ignore_ends;
    programs = 0;
    result = (quota_workload_result_t){0};
    for (size_t i = 0; i < G_N_ELEMENTS(tenants); i++) {
        if (tenants[i].used != NULL)
            g_array_free(tenants[i].used, TRUE);
        tenants[i].used = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        for (guint j = 0; j < world->gateways->len; j++) {
            caller_t *caller = g_new0(caller_t, 1);
            caller->gateway = g_ptr_array_index(world->gateways, j);
            caller->tenant = &tenants[i];
            virtual_after(virtual_random(0, MS_PER_S), NULL, step, caller);
        }
    }
}

/** The most uses in any span of @p window_ms. */
static guint most_in_window(const GArray *used, uint64_t window_ms) {
    guint most = 0;
    guint first = 0;
    for (guint i = 0; i < used->len; i++) {
        while (g_array_index(used, uint64_t, i) - g_array_index(used, uint64_t, first) >= window_ms)
            first++;
        most = MAX(most, i - first + 1);
    }
    return most;
}

const quota_workload_result_t *quota_workload_judge(const quota_bounds_t *bounds) {
    for (size_t i = 0; i < G_N_ELEMENTS(tenants); i++) {
        const tenant_t *tenant = &tenants[i].tenant;
        double limit = (double)tenant->rate * bounds->window_ms / MS_PER_S + tenant->burst;
        double allowed = limit * (1 + bounds->overage) + bounds->slack;
        guint most = most_in_window(tenants[i].used, bounds->window_ms);
        result.over_limit += most > allowed;
        result.fullest = MAX(result.fullest, most / allowed);
    }
    return &result;
}
