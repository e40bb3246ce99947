/*
 * Design. Programs under way stand in a queue by when they were last heard, so that those that have
 * fallen silent are found at its head; those that have ended, or were refused, are remembered in
 * another one for a while: a program that was only slow is known when it goes on. An end is known
 * only after a silence; that a program has gone on is counted as late, or else many programs that
 * begin at once would all seem to be long ones. What those under
 * way owe is summed up again every few ms at most, and carried on in between.
 */
#include "core/admission/program_ledger.h"

#include "core/admission/call_counts.h"

#include <glib.h>
#include <math.h>

enum {
    PROGRAMS_MAXIMUM = 10000, /**< Remembered. */
    LATE_MAXIMUM = 20000,     /**< Calls that are still to be counted; more are not. */
    KINDS_MAXIMUM = 16,       /**< With counts of their own; more share those of all. */
    SUM_MS = 10,              /**< A sum is used for so long. */
    REMEMBER_MS = 15000,      /**< Programs that have ended or were refused. */
    SILENT_LEAST_MS = 500,
    SILENT_MOST_MS = 5000,
    GAP_FIRST_MS = 500, /**< Between calls of a program, before any is known. */
    SOON_MS = 100,      /**< A token that comes within this is as good as there. */
    CARRIES_FEW = 4,    /**< Programs at once; below, a new program's own need is left out. */
    WAIT_LEAST_MS = 100,
    WAIT_MOST_MS = 2000, /**< Callers have some seconds; a program that ends makes room earlier. */
};

/** Nine times in ten a sum of many programs' calls is less than so many deviations above its mean.
 */
static const double DEVIATIONS = 1.28;
/** The margin takes so much of a full bucket at most; the rest is there for crowds. */
static const double MARGIN_PART = 0.5;
/** How much a new gap changes the mean, and by how many mean deviations silence exceeds it. */
static const double GAP_PART = 1.0 / 32;
static const double GAP_DEVIATIONS = 6;

typedef enum { PROGRAM_LIVE, PROGRAM_QUIET, PROGRAM_REFUSED } program_state_t;

typedef struct {
    uint64_t id;
    uint64_t heard_at;
    call_counts_t *counts; /**< Of its kind. */
    unsigned calls;
    program_state_t state;
    bool whole; /**< Its first call was seen here. */
    bool waits; /**< There was no token for its latest call. */
    GList link; /**< In one of the queues. */
} entry_t;

/** A program's further call that is to be counted. */
typedef struct {
    call_counts_t *counts;
    unsigned calls;
    uint64_t due_at;
} late_count_t;

typedef struct {
    double owed;
    double variance;
    double calls_per_ms;
} sum_t;

struct program_ledger {
    GHashTable *programs; /**< By id. */
    GHashTable *kinds;    /**< Hash of a kind to its call_counts_t. */
    call_counts_t all;
    GQueue live;
    GQueue quiet; /**< Also those refused. */
    GArray *late; /**< Of late_count_t, by when they are due. */
    double gap_ms;
    double gap_deviation_ms;
    sum_t sum;
    uint64_t summed_at;
    bool summed;
};

program_ledger_t *program_ledger_new(void) {
    program_ledger_t *ledger = g_new0(program_ledger_t, 1);
    ledger->programs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    ledger->kinds = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    ledger->late = g_array_new(FALSE, FALSE, sizeof(late_count_t));
    ledger->gap_ms = GAP_FIRST_MS;
    ledger->gap_deviation_ms = GAP_FIRST_MS;
    return ledger;
}

void program_ledger_free(program_ledger_t *ledger) {
    g_hash_table_destroy(ledger->programs);
    g_hash_table_destroy(ledger->kinds);
    g_array_free(ledger->late, TRUE);
    g_free(ledger);
}

unsigned program_ledger_size(const program_ledger_t *ledger) {
    return g_hash_table_size(ledger->programs);
}

/* Kinds. */

static call_counts_t *counts_of(program_ledger_t *ledger, uint64_t kind) {
    call_counts_t *counts = g_hash_table_lookup(ledger->kinds, &kind);
    if (counts != NULL || kind == 0)
        return counts == NULL ? &ledger->all : counts;
    if (g_hash_table_size(ledger->kinds) >= KINDS_MAXIMUM)
        return &ledger->all;
    counts = g_new0(call_counts_t, 1);
    g_hash_table_insert(ledger->kinds, g_memdup2(&kind, sizeof kind), counts);
    return counts;
}

/** The counts to forecast by: of the kind if they tell enough. */
static call_counts_t *telling(program_ledger_t *ledger, call_counts_t *counts) {
    return call_counts_known(counts) ? counts : &ledger->all;
}

static uint64_t silent_ms(const program_ledger_t *ledger) {
    double silent = ledger->gap_ms + GAP_DEVIATIONS * ledger->gap_deviation_ms;
    return (uint64_t)CLAMP(silent, (double)SILENT_LEAST_MS, (double)SILENT_MOST_MS);
}

/** Only programs seen from their first call on tell how many calls a program makes. */
static void note_call(program_ledger_t *ledger, const entry_t *entry, uint64_t now) {
    if (!entry->whole || ledger->late->len >= LATE_MAXIMUM)
        return;
    uint64_t silent = silent_ms(ledger);
    uint64_t gap = MIN((uint64_t)ledger->gap_ms, silent);
    late_count_t late = {entry->counts, entry->calls, now + silent - gap};
    g_array_append_val(ledger->late, late);
}

static void count_late(program_ledger_t *ledger, uint64_t now) {
    guint done = 0;
    for (; done < ledger->late->len; done++) {
        const late_count_t *late = &g_array_index(ledger->late, late_count_t, done);
        if (late->due_at > now)
            break;
        call_counts_note_call(late->counts, late->calls);
        if (late->counts != &ledger->all)
            call_counts_note_call(&ledger->all, late->calls);
    }
    if (done > 0)
        g_array_remove_range(ledger->late, 0, done);
}

static void note_end(program_ledger_t *ledger, const entry_t *entry, bool ended) {
    if (!entry->whole)
        return;
    call_counts_note_end(entry->counts, entry->calls, ended);
    if (entry->counts != &ledger->all)
        call_counts_note_end(&ledger->all, entry->calls, ended);
}

/* Programs. */

static GQueue *queue_of(program_ledger_t *ledger, const entry_t *entry) {
    return entry->state == PROGRAM_LIVE ? &ledger->live : &ledger->quiet;
}

static void set_state(program_ledger_t *ledger, entry_t *entry, program_state_t state) {
    g_queue_unlink(queue_of(ledger, entry), &entry->link);
    entry->state = state;
    g_queue_push_tail_link(queue_of(ledger, entry), &entry->link);
}

static void expire(program_ledger_t *ledger, uint64_t now) {
    uint64_t silent = silent_ms(ledger);
    count_late(ledger, now);
    for (entry_t *entry = g_queue_peek_head(&ledger->live);
         entry != NULL && entry->heard_at + silent < now;
         entry = g_queue_peek_head(&ledger->live)) {
        note_end(ledger, entry, true);
        set_state(ledger, entry, PROGRAM_QUIET);
    }
    for (entry_t *entry = g_queue_peek_head(&ledger->quiet);
         entry != NULL && entry->heard_at + REMEMBER_MS < now;
         entry = g_queue_peek_head(&ledger->quiet)) {
        g_queue_unlink(&ledger->quiet, &entry->link);
        g_hash_table_remove(ledger->programs, &entry->id);
    }
}

static entry_t *remember(program_ledger_t *ledger, const program_call_t *call,
                         program_state_t state, uint64_t now) {
    if (g_hash_table_size(ledger->programs) >= PROGRAMS_MAXIMUM)
        return NULL;
    entry_t *entry = g_new0(entry_t, 1);
    entry->id = call->program;
    entry->heard_at = now;
    entry->counts = counts_of(ledger, call->begun ? 0 : call->kind);
    entry->state = state;
    entry->whole = !call->begun;
    entry->link.data = entry;
    g_hash_table_insert(ledger->programs, &entry->id, entry);
    g_queue_push_tail_link(queue_of(ledger, entry), &entry->link);
    return entry;
}

static void note_gap(program_ledger_t *ledger, double gap) {
    double off = fabs(gap - ledger->gap_ms);
    ledger->gap_ms += GAP_PART * (gap - ledger->gap_ms);
    ledger->gap_deviation_ms += GAP_PART * (off - ledger->gap_deviation_ms);
}

/** A call of a program that is let in. */
static void hear(program_ledger_t *ledger, entry_t *entry, bool waits, uint64_t now) {
    if (entry->state == PROGRAM_QUIET)
        note_end(ledger, entry, false);
    /* Programs that wait for tokens would ask for more: their pauses would let in too many. */
    if (entry->calls > 0 && !entry->waits)
        note_gap(ledger, (double)(now - entry->heard_at));
    entry->waits = waits;
    entry->calls++;
    entry->heard_at = now;
    note_call(ledger, entry, now);
    set_state(ledger, entry, PROGRAM_LIVE);
}

static void hear_refused(program_ledger_t *ledger, entry_t *entry, uint64_t now) {
    entry->heard_at = now;
    set_state(ledger, entry, PROGRAM_REFUSED);
}

/* What is owed. */

/** Programs are as likely to make a call in any ms of their pauses. */
static double gap_ms(const program_ledger_t *ledger) {
    return fmax(ledger->gap_ms, 1);
}

static bool is_endless(program_ledger_t *ledger, const entry_t *entry) {
    call_counts_t *counts = telling(ledger, entry->counts);
    return call_counts_known(counts) && entry->calls > call_counts_most(counts);
}

static void add_entry(program_ledger_t *ledger, sum_t *sum, const entry_t *entry, uint64_t now) {
    if (is_endless(ledger, entry))
        return;
    call_forecast_t ahead = call_counts_forecast(telling(ledger, entry->counts), entry->calls);
    double silent = exp(-(double)(now - entry->heard_at) / gap_ms(ledger));
    double alive = ahead.chance * silent / (ahead.chance * silent + 1 - ahead.chance);
    double mean = alive * ahead.mean;
    sum->owed += mean;
    sum->variance += fmax(alive * ahead.square - mean * mean, 0);
    sum->calls_per_ms += alive / gap_ms(ledger);
}

static const sum_t *sum_up(program_ledger_t *ledger, uint64_t now) {
    if (ledger->summed && now < ledger->summed_at + SUM_MS)
        return &ledger->sum;
    ledger->summed = true;
    ledger->summed_at = now;
    ledger->sum = (sum_t){0};
    if (call_counts_known(&ledger->all))
        for (GList *link = ledger->live.head; link != NULL; link = link->next)
            add_entry(ledger, &ledger->sum, link->data, now);
    return &ledger->sum;
}

double program_ledger_owed(program_ledger_t *ledger, uint64_t now) {
    expire(ledger, now);
    ledger->summed = false;
    return sum_up(ledger, now)->owed;
}

/* Admission. */

/** Calls by which the share falls short of what @p sum will ask for; 0: it is enough. */
static double lacking(const sum_t *sum, const program_share_t *share, double deviations) {
    if (sum->calls_per_ms <= 0)
        return 0;
    double gained = share->tokens_per_ms * sum->owed / sum->calls_per_ms;
    /* More than the bucket holds could never be kept back, and would be left unused. */
    double margin = fmin(deviations * sqrt(sum->variance), MARGIN_PART * share->most);
    double needed = sum->owed + margin;
    return fmax(needed - gained - share->tokens, 0);
}

static sum_t with_one_more(const program_ledger_t *ledger, const sum_t *sum,
                           const call_forecast_t *ahead) {
    return (sum_t){
        .owed = sum->owed + ahead->mean,
        .variance = sum->variance + fmax(ahead->square - ahead->mean * ahead->mean, 0),
        .calls_per_ms = sum->calls_per_ms + 1 / gap_ms(ledger),
    };
}

/** Whether one more program can be carried through. */
static program_admission_t judge(program_ledger_t *ledger, call_counts_t *counts,
                                 const program_share_t *share, uint64_t now) {
    program_admission_t admission = {.under_way = ledger->live.length};
    double lacks = fmax(1 - share->tokens - share->tokens_per_ms * SOON_MS, 0);
    if (call_counts_known(&ledger->all)) {
        const sum_t *sum = sum_up(ledger, now);
        call_forecast_t ahead = call_counts_forecast(telling(ledger, counts), 0);
        sum_t more = with_one_more(ledger, sum, &ahead);
        bool few = share->tokens_per_ms * gap_ms(ledger) < CARRIES_FEW;
        if (ledger->live.length > 0)
            lacks = fmax(lacks, few ? lacking(sum, share, 0) : lacking(&more, share, DEVIATIONS));
        admission.owed = sum->owed;
        admission.expected = ahead.mean;
        if (lacks <= 0)
            ledger->sum = more;
    }
    admission.admitted = lacks <= 0;
    if (!admission.admitted)
        admission.wait_ms = (uint32_t)CLAMP(ceil(lacks / fmax(share->tokens_per_ms, 1e-6)),
                                            (double)WAIT_LEAST_MS, (double)WAIT_MOST_MS);
    return admission;
}

program_admission_t program_ledger_admit(program_ledger_t *ledger, const program_call_t *call,
                                         const program_share_t *share, bool may_remember,
                                         uint64_t now) {
    expire(ledger, now);
    entry_t *entry = g_hash_table_lookup(ledger->programs, &call->program);
    bool refused = entry != NULL && entry->state == PROGRAM_REFUSED;
    bool begun = call->begun || (entry != NULL && !refused);
    program_admission_t admission = {.admitted = true, .under_way = ledger->live.length};
    bool endless = entry != NULL && begun && is_endless(ledger, entry);
    if (!begun || endless)
        admission = judge(ledger, entry == NULL ? counts_of(ledger, call->kind) : entry->counts,
                          share, now);
    if (refused && !call->begun && call->late) {
        admission.admitted = false;
        admission.wait_ms = WAIT_MOST_MS;
    }
    admission.begun = begun && !endless;
    admission.readmitted = refused && admission.admitted;
    if (entry == NULL && may_remember)
        entry = remember(ledger, call, admission.admitted ? PROGRAM_LIVE : PROGRAM_REFUSED, now);
    if (entry == NULL)
        return admission;
    if (admission.admitted)
        hear(ledger, entry, share->tokens < 1, now);
    else if (entry->state == PROGRAM_REFUSED)
        hear_refused(ledger, entry, now);
    return admission;
}
