/* Faults of gateways, of the key-value service, and of the way between them, drawn with time and
 * place. */
#include "directorysim/world.h"

#include <stdio.h>

typedef enum {
    FAULT_POWER_GATEWAY,
    FAULT_KILL_GATEWAY,
    FAULT_PAUSE_GATEWAY,
    FAULT_CUT_GATEWAY,
    FAULT_REFUSE_SOME,
    FAULT_POWER_ALL,
    FAULT_ROLL,
    FAULT_SERVICE_DOWN,
    FAULT_SERVICE_REFUSES,
    FAULT_LOSE_ANSWERS,
    FAULT_FORGET_HISTORY,
    FAULT_KINDS,
} fault_kind_t;

static const char *const fault_names[FAULT_KINDS] = {
    "power_gateway",   "kill_gateway", "pause_gateway",  "cut_gateway",
    "refuse_some",     "power_all",    "roll",           "service_down",
    "service_refuses", "lose_answers", "forget_history",
};

enum {
    PAUSE_LEAST_MS = 300, /**< Between two faults. */
    PAUSE_MOST_MS = 9000,
    DOWN_LEAST_MS = 500,
    DOWN_MOST_MS = 8000,
    ON_DUTY_PERCENT = 60, /**< A gateway that watches for others is struck in so many cases. */
    REFUSED_PERCENT = 33,
    ROLL_MS = 700,      /**< Between two gateways that are restarted in turn; */
    ROLL_DOWN_MS = 200, /**< each is down for so long at least. */
    LOST_PERCENT = 40,
    REPEAT_MS = 100, /**< A disturbance that goes on is noted this often. */
};

static uint64_t counts[FAULT_KINDS];
static uint64_t faults_until;
static int only_kind; /**< The only kind drawn; -1: all are. */

static uint64_t duration(void) {
    return virtual_random(DOWN_LEAST_MS, DOWN_MOST_MS);
}

static world_gateway_t *gateway_at(guint index) {
    return g_ptr_array_index(world.gateways, index);
}

static bool is_up(const world_gateway_t *gateway) {
    return gateway->gateway != NULL && gateway->process->paused_until <= virtual_now();
}

/** One that is up, often one on duty; NULL: none was found. */
static world_gateway_t *draw_gateway(void) {
    bool renewing = virtual_chance(ON_DUTY_PERCENT);
    guint first = (guint)virtual_random(0, world.gateways->len - 1);
    for (guint i = 0; i < world.gateways->len; i++) {
        world_gateway_t *gateway = gateway_at((first + i) % world.gateways->len);
        if (is_up(gateway) && (!renewing || gateway->gateway->renewing))
            return gateway;
    }
    return NULL;
}

static void start_again(void *data) {
    world_gateway_t *gateway = data;
    if (gateway->gateway == NULL)
        world_start_gateway(gateway);
}

static void end_gateway(world_gateway_t *gateway, bool silent, uint64_t down) {
    world_end_gateway(gateway, silent);
    virtual_after(down, NULL, start_again, gateway);
}

static void end_all(void) {
    uint64_t down = duration();
    judge_note_service(false);
    for (guint i = 0; i < world.gateways->len; i++) {
        world_gateway_t *gateway = gateway_at(i);
        if (gateway->gateway != NULL)
            end_gateway(gateway, true, down + virtual_random(0, 300));
    }
}

static void restart_next(void *data) {
    guint *index = data;
    if (*index >= world.gateways->len) {
        g_free(index);
        return;
    }
    world_gateway_t *gateway = gateway_at((*index)++);
    if (gateway->gateway != NULL)
        end_gateway(gateway, false, virtual_random(ROLL_DOWN_MS, ROLL_MS));
    virtual_after(ROLL_MS, NULL, restart_next, index);
}

static void wake(void *data) {
    ((world_gateway_t *)data)->struck_at = virtual_now();
}

/* The service, towards some gateways or all. */

static void join_gateway(void *data) {
    world_gateway_t *gateway = data;
    gateway->cut_off = false;
    gateway->struck_at = virtual_now();
    virtual_service_set_manner_to(gateway->process, SERVICE_SERVES);
}

static void cut_gateway(world_gateway_t *gateway, service_manner_t manner, uint64_t ms) {
    gateway->cut_off = true;
    virtual_service_set_manner_to(gateway->process, manner);
    virtual_after(ms, NULL, join_gateway, gateway);
}

/** Disturbances of the service, which are noted for as long as they last. */
typedef struct {
    bool hard;
    uint64_t until;
} disturbance_t;

static disturbance_t soft = {.hard = false};
static disturbance_t hard = {.hard = true};

static void note_disturbance(void *data) {
    const disturbance_t *disturbance = data;
    if (virtual_now() > disturbance->until)
        return;
    judge_note_service(disturbance->hard);
    virtual_after(REPEAT_MS, NULL, note_disturbance, data);
}

static void disturb(disturbance_t *disturbance, uint64_t ms) {
    disturbance->until = MAX(disturbance->until, virtual_now() + ms);
    note_disturbance(disturbance);
}

static void refuse_some(uint64_t ms) {
    disturb(&soft, ms);
    for (guint i = 0; i < world.gateways->len; i++) {
        world_gateway_t *gateway = gateway_at(i);
        bool leads = is_up(gateway) && gateway->gateway->renewing;
        if (!gateway->cut_off && (leads || virtual_chance(REFUSED_PERCENT)))
            cut_gateway(gateway, SERVICE_REFUSES, ms);
    }
}

static void service_back(void *data) {
    (void)data;
    virtual_service_set_manner(SERVICE_SERVES);
}

static void answers_back(void *data) {
    (void)data;
    virtual_service_lose_answers(0);
}

static bool inject_on_gateway(fault_kind_t kind, world_gateway_t *gateway) {
    if (gateway == NULL)
        return false;
    uint64_t ms = duration();
    switch (kind) {
    case FAULT_POWER_GATEWAY:
        end_gateway(gateway, true, ms);
        return true;
    case FAULT_KILL_GATEWAY:
        end_gateway(gateway, false, ms);
        return true;
    case FAULT_PAUSE_GATEWAY:
        gateway->process->paused_until = virtual_now() + ms;
        virtual_after(ms, NULL, wake, gateway);
        return true;
    case FAULT_CUT_GATEWAY:
        if (gateway->cut_off)
            return false;
        cut_gateway(gateway, SERVICE_SILENT, ms);
        return true;
    default:
        return false;
    }
}

static bool inject_elsewhere(fault_kind_t kind) {
    uint64_t ms = duration();
    switch (kind) {
    case FAULT_REFUSE_SOME:
        refuse_some(ms);
        return true;
    case FAULT_POWER_ALL:
        end_all();
        return true;
    case FAULT_ROLL:
        restart_next(g_new0(guint, 1));
        return true;
    case FAULT_SERVICE_DOWN:
    case FAULT_SERVICE_REFUSES:
        disturb(&hard, ms);
        virtual_service_set_manner(kind == FAULT_SERVICE_DOWN ? SERVICE_SILENT : SERVICE_REFUSES);
        virtual_after(ms, NULL, service_back, NULL);
        return true;
    case FAULT_LOSE_ANSWERS:
        disturb(&hard, ms);
        virtual_service_lose_answers(LOST_PERCENT);
        virtual_after(ms, NULL, answers_back, NULL);
        return true;
    case FAULT_FORGET_HISTORY:
        judge_note_service(false);
        virtual_service_forget_history();
        return true;
    default:
        return false;
    }
}

static void inject(void *data) {
    (void)data;
    if (virtual_now() >= faults_until)
        return;
    virtual_after(virtual_random(PAUSE_LEAST_MS, PAUSE_MOST_MS), NULL, inject, NULL);
    fault_kind_t kind =
        only_kind >= 0 ? (fault_kind_t)only_kind : (fault_kind_t)virtual_random(0, FAULT_KINDS - 1);
    world_gateway_t *gateway = draw_gateway();
    bool injected = inject_on_gateway(kind, gateway) || inject_elsewhere(kind);
    counts[kind] += injected;
    if (world.log && injected)
        printf("%9.3f FAULT %s, drawn: %s\n", (double)virtual_now() / 1000, fault_names[kind],
               gateway == NULL ? "-" : gateway->process->name);
}

bool faults_start(uint64_t until, const char *only) {
    faults_until = until;
    only_kind = -1;
    soft.until = 0;
    hard.until = 0;
    for (int i = 0; only != NULL && i < FAULT_KINDS; i++)
        if (g_strcmp0(fault_names[i], only) == 0)
            only_kind = i;
    if (only != NULL && only_kind < 0)
        return false;
    virtual_after(virtual_random(0, PAUSE_MOST_MS), NULL, inject, NULL);
    return true;
}

void faults_describe(GString *text) {
    for (unsigned i = 0; i < FAULT_KINDS; i++)
        g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n", fault_names[i],
                               (guint64)counts[i]);
}

void faults_clear_counts(void) {
    for (unsigned i = 0; i < FAULT_KINDS; i++)
        counts[i] = 0;
}
