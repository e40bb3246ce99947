/*
 * Design. Active programs are kept in a queue ordered by their last call, so that idle ones are
 * found at its head. Ended and refused programs are kept in a second queue for a while, so that a
 * program that was only slow is recognized when it resumes. The end of a program is detected by an
 * idle timeout, and its further calls are counted with the same delay: otherwise a burst of new
 * programs would bias the distribution towards long ones. The demand of the active programs is
 * cached for a few ms and updated incrementally in between.
 */
#include "core/admission/program_ledger.h"

#include "core/admission/call_counts.h"

#include <glib.h>
#include <math.h>

enum {
    PROGRAMS_MAX = 10000, /**< Maximum number of tracked programs. */
    PENDING_MAX = 20000,  /**< Maximum number of pending counts; further ones are not recorded. */
    KINDS_MAX = 16,       /**< Kinds with their own counts; the rest share the overall counts. */
    DEMAND_CACHE_MS = 10, /**< Validity of the cached demand. */
    RETENTION_MS = 15000, /**< Of ended and refused programs. */
    IDLE_MIN_MS = 500,
    IDLE_MAX_MS = 5000,
    GAP_INITIAL_MS = 500, /**< Initial estimate of the time between calls of a program. */
    SOON_MS = 100,        /**< A token available within this time counts as available. */
    /**
     * If the refill rate sustains fewer active programs than this, admission checks only the demand
     * of those already active, without a margin.
     */
    FEW_PROGRAMS = 4,
    WAIT_MIN_MS = 100,
    WAIT_MAX_MS = 2000, /**< Callers wait a few seconds; capacity may become available earlier. */
};

/** Margin above the mean demand, in standard deviations (90th percentile). */
static const double MARGIN_DEVIATIONS = 1.28;
/** Maximum of this margin, as a fraction of the bucket size; the rest is left for bursts. */
static const double MARGIN_MAX_FRACTION = 0.5;
/** Gain of the EWMA of the gap, the time between calls of a program. */
static const double GAP_GAIN = 1.0 / 32;
/** A program is idle after the mean gap plus this many mean deviations. */
static const double GAP_DEVIATIONS = 6;

typedef enum { PROGRAM_ACTIVE, PROGRAM_ENDED, PROGRAM_REFUSED } program_state_t;

typedef struct {
    uint64_t id;
    uint64_t last_call_at;
    call_counts_t *counts; /**< Counts of its kind. */
    unsigned calls;
    program_state_t state;
    bool complete; /**< Tracked since its first call. */
    bool waited;   /**< No token was available for its latest call. */
    GList link;
} entry_t;

/** A call to be counted at a later time. */
typedef struct {
    call_counts_t *counts;
    unsigned calls;
    uint64_t due_at;
} pending_count_t;

typedef struct {
    double remaining_calls;
    double variance;
    double calls_per_ms;
} demand_t;

struct program_ledger {
    GHashTable *programs;
    GHashTable *kinds; /**< Kind hash to call_counts_t. */
    call_counts_t all;
    GQueue active;
    GQueue inactive; /**< Ended and refused programs. */
    GArray *pending; /**< Of pending_count_t, by due time. */
    double gap_ms;
    double gap_deviation_ms;
    demand_t demand;
    uint64_t demand_at;
    bool demand_valid;
};

program_ledger_t *program_ledger_new(void) {
    program_ledger_t *ledger = g_new0(program_ledger_t, 1);
    ledger->programs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    ledger->kinds = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    ledger->pending = g_array_new(FALSE, FALSE, sizeof(pending_count_t));
    ledger->gap_ms = GAP_INITIAL_MS;
    ledger->gap_deviation_ms = GAP_INITIAL_MS;
    return ledger;
}

void program_ledger_free(program_ledger_t *ledger) {
    g_hash_table_destroy(ledger->programs);
    g_hash_table_destroy(ledger->kinds);
    g_array_free(ledger->pending, TRUE);
    g_free(ledger);
}

unsigned program_ledger_size(const program_ledger_t *ledger) {
    return g_hash_table_size(ledger->programs);
}

static call_counts_t *obtain_counts(program_ledger_t *ledger, uint64_t kind) {
    call_counts_t *counts = g_hash_table_lookup(ledger->kinds, &kind);
    if (counts != NULL || kind == 0)
        return counts == NULL ? &ledger->all : counts;
    if (g_hash_table_size(ledger->kinds) >= KINDS_MAX)
        return &ledger->all;
    counts = g_new0(call_counts_t, 1);
    g_hash_table_insert(ledger->kinds, g_memdup2(&kind, sizeof kind), counts);
    return counts;
}

/** Counts for a forecast: those of the kind if sufficient, else the overall counts. */
static call_counts_t *counts_for_forecast(program_ledger_t *ledger, call_counts_t *counts) {
    return call_counts_sufficient(counts) ? counts : &ledger->all;
}

static uint64_t idle_timeout_ms(const program_ledger_t *ledger) {
    double idle_ms = ledger->gap_ms + GAP_DEVIATIONS * ledger->gap_deviation_ms;
    return (uint64_t)CLAMP(idle_ms, (double)IDLE_MIN_MS, (double)IDLE_MAX_MS);
}

/** Schedules counting of the latest call, if the program was tracked from its first call. */
static void schedule_count(program_ledger_t *ledger, const entry_t *entry, uint64_t now) {
    if (!entry->complete || ledger->pending->len >= PENDING_MAX)
        return;
    uint64_t idle_ms = idle_timeout_ms(ledger);
    uint64_t gap = MIN((uint64_t)ledger->gap_ms, idle_ms);
    pending_count_t pending = {entry->counts, entry->calls, now + idle_ms - gap};
    g_array_append_val(ledger->pending, pending);
}

static void apply_due_counts(program_ledger_t *ledger, uint64_t now) {
    guint done = 0;
    for (; done < ledger->pending->len; done++) {
        const pending_count_t *pending = &g_array_index(ledger->pending, pending_count_t, done);
        if (pending->due_at > now)
            break;
        call_counts_record_call(pending->counts, pending->calls);
        if (pending->counts != &ledger->all)
            call_counts_record_call(&ledger->all, pending->calls);
    }
    if (done > 0)
        g_array_remove_range(ledger->pending, 0, done);
}

static void record_end(program_ledger_t *ledger, const entry_t *entry, bool ended) {
    if (!entry->complete)
        return;
    call_counts_record_end(entry->counts, entry->calls, ended);
    if (entry->counts != &ledger->all)
        call_counts_record_end(&ledger->all, entry->calls, ended);
}

static GQueue *entry_queue(program_ledger_t *ledger, const entry_t *entry) {
    return entry->state == PROGRAM_ACTIVE ? &ledger->active : &ledger->inactive;
}

static void set_state(program_ledger_t *ledger, entry_t *entry, program_state_t state) {
    g_queue_unlink(entry_queue(ledger, entry), &entry->link);
    entry->state = state;
    g_queue_push_tail_link(entry_queue(ledger, entry), &entry->link);
}

static void expire(program_ledger_t *ledger, uint64_t now) {
    uint64_t idle_ms = idle_timeout_ms(ledger);
    apply_due_counts(ledger, now);
    for (entry_t *entry = g_queue_peek_head(&ledger->active);
         entry != NULL && entry->last_call_at + idle_ms < now;
         entry = g_queue_peek_head(&ledger->active)) {
        record_end(ledger, entry, true);
        set_state(ledger, entry, PROGRAM_ENDED);
    }
    for (entry_t *entry = g_queue_peek_head(&ledger->inactive);
         entry != NULL && entry->last_call_at + RETENTION_MS < now;
         entry = g_queue_peek_head(&ledger->inactive)) {
        g_queue_unlink(&ledger->inactive, &entry->link);
        g_hash_table_remove(ledger->programs, &entry->id);
    }
}

static entry_t *add_program(program_ledger_t *ledger, const program_call_t *call,
                            program_state_t state, uint64_t now) {
    if (g_hash_table_size(ledger->programs) >= PROGRAMS_MAX)
        return NULL;
    entry_t *entry = g_new0(entry_t, 1);
    entry->id = call->program;
    entry->last_call_at = now;
    entry->counts = obtain_counts(ledger, call->begun ? 0 : call->kind);
    entry->state = state;
    entry->complete = !call->begun;
    entry->link.data = entry;
    g_hash_table_insert(ledger->programs, &entry->id, entry);
    g_queue_push_tail_link(entry_queue(ledger, entry), &entry->link);
    return entry;
}

static void record_gap(program_ledger_t *ledger, double gap) {
    double deviation = fabs(gap - ledger->gap_ms);
    ledger->gap_ms += GAP_GAIN * (gap - ledger->gap_ms);
    ledger->gap_deviation_ms += GAP_GAIN * (deviation - ledger->gap_deviation_ms);
}

static void record_admitted_call(program_ledger_t *ledger, entry_t *entry, bool waited,
                                 uint64_t now) {
    if (entry->state == PROGRAM_ENDED)
        record_end(ledger, entry, false);
    /* Pauses of programs that waited for tokens would overestimate the gap and admit too many. */
    if (entry->calls > 0 && !entry->waited)
        record_gap(ledger, (double)(now - entry->last_call_at));
    entry->waited = waited;
    entry->calls++;
    entry->last_call_at = now;
    schedule_count(ledger, entry, now);
    set_state(ledger, entry, PROGRAM_ACTIVE);
}

static void record_refused_call(program_ledger_t *ledger, entry_t *entry, uint64_t now) {
    entry->last_call_at = now;
    set_state(ledger, entry, PROGRAM_REFUSED);
}

/** Mean gap, at least 1 ms, for use as a divisor. */
static double gap_ms(const program_ledger_t *ledger) {
    return fmax(ledger->gap_ms, 1);
}

static bool is_endless(program_ledger_t *ledger, const entry_t *entry) {
    call_counts_t *counts = counts_for_forecast(ledger, entry->counts);
    return call_counts_sufficient(counts) && entry->calls > call_counts_max_calls(counts);
}

static void add_entry_demand(program_ledger_t *ledger, demand_t *demand, const entry_t *entry,
                             uint64_t now) {
    if (is_endless(ledger, entry))
        return;
    call_forecast_t forecast =
        call_counts_forecast(counts_for_forecast(ledger, entry->counts), entry->calls);
    double idle = exp(-(double)(now - entry->last_call_at) / gap_ms(ledger));
    double alive = forecast.continue_probability * idle /
                   (forecast.continue_probability * idle + 1 - forecast.continue_probability);
    double mean = alive * forecast.mean;
    demand->remaining_calls += mean;
    demand->variance += fmax(alive * forecast.mean_square - mean * mean, 0);
    demand->calls_per_ms += alive / gap_ms(ledger);
}

static const demand_t *compute_demand(program_ledger_t *ledger, uint64_t now) {
    if (ledger->demand_valid && now < ledger->demand_at + DEMAND_CACHE_MS)
        return &ledger->demand;
    ledger->demand_valid = true;
    ledger->demand_at = now;
    ledger->demand = (demand_t){0};
    if (call_counts_sufficient(&ledger->all))
        for (GList *link = ledger->active.head; link != NULL; link = link->next)
            add_entry_demand(ledger, &ledger->demand, link->data, now);
    return &ledger->demand;
}

double program_ledger_remaining_calls(program_ledger_t *ledger, uint64_t now) {
    expire(ledger, now);
    ledger->demand_valid = false;
    return compute_demand(ledger, now)->remaining_calls;
}

/** Number of calls by which the share falls short of the demand; 0: it suffices. */
static double shortfall(const demand_t *demand, const program_share_t *share, double deviations) {
    if (demand->calls_per_ms <= 0)
        return 0;
    double gained = share->tokens_per_ms * demand->remaining_calls / demand->calls_per_ms;
    /* A larger margin could not be held by the bucket and would stay unused. */
    double margin =
        fmin(deviations * sqrt(demand->variance), MARGIN_MAX_FRACTION * share->max_tokens);
    double needed = demand->remaining_calls + margin;
    return fmax(needed - gained - share->tokens, 0);
}

static demand_t with_one_more(const program_ledger_t *ledger, const demand_t *demand,
                              const call_forecast_t *forecast) {
    return (demand_t){
        .remaining_calls = demand->remaining_calls + forecast->mean,
        .variance =
            demand->variance + fmax(forecast->mean_square - forecast->mean * forecast->mean, 0),
        .calls_per_ms = demand->calls_per_ms + 1 / gap_ms(ledger),
    };
}

/** Decides whether the capacity suffices for one more program. */
static program_admission_t evaluate_admission(program_ledger_t *ledger, call_counts_t *counts,
                                              const program_share_t *share, uint64_t now) {
    program_admission_t admission = {.active_programs = ledger->active.length};
    double missing = fmax(1 - share->tokens - share->tokens_per_ms * SOON_MS, 0);
    if (call_counts_sufficient(&ledger->all)) {
        const demand_t *demand = compute_demand(ledger, now);
        call_forecast_t forecast = call_counts_forecast(counts_for_forecast(ledger, counts), 0);
        demand_t more = with_one_more(ledger, demand, &forecast);
        bool few = share->tokens_per_ms * gap_ms(ledger) < FEW_PROGRAMS;
        if (ledger->active.length > 0)
            missing = fmax(missing, few ? shortfall(demand, share, 0)
                                        : shortfall(&more, share, MARGIN_DEVIATIONS));
        admission.remaining_calls = demand->remaining_calls;
        admission.expected_calls = forecast.mean;
        if (missing <= 0)
            ledger->demand = more;
    }
    admission.admitted = missing <= 0;
    if (!admission.admitted)
        admission.wait_ms = (uint32_t)CLAMP(ceil(missing / fmax(share->tokens_per_ms, 1e-6)),
                                            (double)WAIT_MIN_MS, (double)WAIT_MAX_MS);
    return admission;
}

program_admission_t program_ledger_admit(program_ledger_t *ledger, const program_call_t *call,
                                         const program_share_t *share, bool may_add, uint64_t now) {
    expire(ledger, now);
    entry_t *entry = g_hash_table_lookup(ledger->programs, &call->program);
    bool refused = entry != NULL && entry->state == PROGRAM_REFUSED;
    bool begun = call->begun || (entry != NULL && !refused);
    program_admission_t admission = {.admitted = true, .active_programs = ledger->active.length};
    bool endless = entry != NULL && begun && is_endless(ledger, entry);
    if (!begun || endless)
        admission = evaluate_admission(
            ledger, entry == NULL ? obtain_counts(ledger, call->kind) : entry->counts, share, now);
    if (refused && !call->begun && call->late) {
        admission.admitted = false;
        admission.wait_ms = WAIT_MAX_MS;
    }
    admission.begun = begun && !endless;
    admission.readmitted = refused && admission.admitted;
    if (entry == NULL && may_add)
        entry =
            add_program(ledger, call, admission.admitted ? PROGRAM_ACTIVE : PROGRAM_REFUSED, now);
    if (entry == NULL)
        return admission;
    if (admission.admitted)
        record_admitted_call(ledger, entry, share->tokens < 1, now);
    else if (entry->state == PROGRAM_REFUSED)
        record_refused_call(ledger, entry, now);
    return admission;
}
