#include "core/admission/admission_table.h"

#include "core/admission/program_home.h"

#include <math.h>

/** Tracked programs of all tenants; further programs are not tracked. */
enum { PROGRAMS_MAX = 50000 };

typedef struct {
    program_ledger_t *ledger;
    double tokens; /**< Estimated tokens of this home's part of the limit. */
    uint64_t last_call_at;
} tenant_entry_t;

static void free_tenant(gpointer data) {
    tenant_entry_t *entry = data;
    program_ledger_free(entry->ledger);
    g_free(entry);
}

void admission_table_init(admission_table_t *table) {
    *table = (admission_table_t){0};
    table->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_tenant);
}

void admission_table_clear(admission_table_t *table) {
    g_hash_table_destroy(table->tenants);
}

void admission_table_restart(admission_table_t *table) {
    g_hash_table_remove_all(table->tenants);
    table->programs = 0;
}

/** The tenant's entry, refilled up to @p now. */
static tenant_entry_t *obtain_entry(admission_table_t *table, const char *tenant,
                                    const quota_view_t *view, double shares_per_home,
                                    uint64_t now) {
    tenant_entry_t *entry = g_hash_table_lookup(table->tenants, tenant);
    if (entry == NULL) {
        entry = g_new0(tenant_entry_t, 1);
        entry->ledger = program_ledger_new();
        entry->tokens = view->share.initial_tokens * shares_per_home;
        entry->last_call_at = now;
        g_hash_table_insert(table->tenants, g_strdup(tenant), entry);
    }
    double gained =
        view->share.tokens_per_ms * shares_per_home * (double)(now - entry->last_call_at);
    entry->tokens = fmin(entry->tokens + gained, view->share.max_tokens * shares_per_home);
    entry->last_call_at = now;
    return entry;
}

static void count_outcome(admission_table_t *table, const program_admission_t *admission) {
    table->refused += !admission->admitted;
    table->admitted += admission->admitted && !admission->begun;
    table->readmitted += admission->readmitted;
}

program_admission_t admission_table_admit(admission_table_t *table, quota_table_t *quotas,
                                          const char *tenant, const quota_limit_t *limit,
                                          unsigned members, const program_call_t *call,
                                          uint64_t now, program_share_t *share) {
    quota_view_t view;
    if (!quota_table_view(quotas, tenant, limit, members, now, &view))
        return (program_admission_t){.admitted = true, .begun = call->begun};
    unsigned shares = quota_split_count(&quotas->bounds, &view.limit, members);
    unsigned homes = program_home_count(&view.limit, shares);
    double shares_per_home = (double)shares / homes;
    tenant_entry_t *entry = obtain_entry(table, tenant, &view, shares_per_home, now);
    *share = (program_share_t){
        .tokens = homes == shares ? view.tokens : entry->tokens,
        .tokens_per_ms = view.share.tokens_per_ms * shares_per_home,
        .max_tokens = view.share.max_tokens * shares_per_home,
    };
    unsigned before = program_ledger_size(entry->ledger);
    program_admission_t admission =
        program_ledger_admit(entry->ledger, call, share, table->programs < PROGRAMS_MAX, now);
    table->programs += program_ledger_size(entry->ledger) - before;
    /* The debt is bounded as in a quota bucket. */
    if (admission.admitted && entry->tokens > -view.share.max_tokens * shares_per_home)
        entry->tokens -= 1;
    count_outcome(table, &admission);
    return admission;
}

void admission_table_expire(admission_table_t *table, uint64_t before) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, table->tenants);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const tenant_entry_t *entry = value;
        if (entry->last_call_at >= before)
            continue;
        table->programs -= program_ledger_size(entry->ledger);
        g_hash_table_iter_remove(&iterator);
    }
}
