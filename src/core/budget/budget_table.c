#include "core/budget/budget_table.h"

#include <string.h>
#include <xxhash.h>

/**
 * Estimated memory of a charge, with its call id and hash table entry. With an own copy of a
 * program id of 32 bytes in each charge, resident memory grew by 210 bytes for each of 70,000
 * charges, eight a program; the id is shared by the charges of a program.
 */
enum { CHARGE_BYTES = 180 };

typedef struct {
    char *id;
    GHashTable *charges; /**< Call id to budget_charge_t. */
    budget_summary_t summary;
    uint64_t changed_at;
    uint64_t logged_at; /**< No record of the charges that is needed is older. */
} program_charges_t;

void budget_charge_clear(budget_charge_t *charge) {
    g_free(charge->program);
    g_free(charge->call);
    *charge = (budget_charge_t){0};
}

budget_charge_t budget_charge_copy(const budget_charge_t *charge) {
    budget_charge_t copy = *charge;
    copy.program = g_strdup(charge->program);
    copy.call = g_strdup(charge->call);
    return copy;
}

/** Frees a charge of a table; the program id is shared. */
static void free_charge(gpointer data) {
    budget_charge_t *charge = data;
    g_free(charge->call);
    g_free(charge);
}

static void free_program(gpointer data) {
    program_charges_t *program = data;
    g_hash_table_destroy(program->charges);
    g_free(program->id);
    g_free(program);
}

void budget_table_init(budget_table_t *table) {
    table->programs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_program);
    table->buckets = NULL;
    table->charges = 0;
}

void budget_table_init_replica(budget_table_t *table) {
    budget_table_init(table);
    table->buckets = g_new0(digest_buckets_t, 1);
}

void budget_table_clear(budget_table_t *table) {
    g_hash_table_destroy(table->programs);
    g_free(table->buckets);
}

static program_charges_t *obtain_program(budget_table_t *table, const char *id, uint64_t now) {
    program_charges_t *program = g_hash_table_lookup(table->programs, id);
    if (program == NULL) {
        program = g_new0(program_charges_t, 1);
        program->id = g_strdup(id);
        program->logged_at = now;
        program->charges = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_charge);
        g_hash_table_insert(table->programs, program->id, program);
    }
    program->changed_at = now;
    return program;
}

static uint64_t charge_amount(const budget_charge_t *charge) {
    return charge->settled ? charge->spent : charge->most;
}

/** Contribution of a charge to its program's digest; 0 for a new charge. */
static uint64_t charge_digest(const budget_charge_t *charge) {
    if (charge->most == 0 && !charge->settled)
        return 0;
    uint64_t seed = 2 * charge_amount(charge) + charge->settled;
    return XXH64(charge->call, strlen(charge->call), seed);
}

static budget_charge_t *obtain_charge(budget_table_t *table, program_charges_t *program,
                                      const char *call) {
    budget_charge_t *charge = g_hash_table_lookup(program->charges, call);
    if (charge != NULL)
        return charge;
    charge = g_new0(budget_charge_t, 1);
    charge->program = program->id;
    charge->call = g_strdup(call);
    table->charges++;
    if (table->buckets != NULL) {
        charge->bucket = digest_bucket_of(call);
        table->buckets->records[charge->bucket]++;
    }
    g_hash_table_insert(program->charges, charge->call, charge);
    return charge;
}

/**
 * Sets whether the charge is on disk in its current state, and updates the digest of its bucket.
 */
static void set_durable(budget_table_t *table, budget_charge_t *charge, bool durable) {
    if (table->buckets == NULL || charge->durable == durable)
        return;
    charge->durable = durable;
    table->buckets->digests[charge->bucket] ^=
        digest_of_record(charge->call, 2 * charge_amount(charge) + charge->settled);
}

/** Sets a charge's state and updates the program's summary. */
static void set_charge(budget_table_t *table, program_charges_t *program, budget_charge_t *charge,
                       uint64_t most, bool settled, uint64_t spent) {
    if (charge->most == most && charge->settled == settled && charge->spent == spent)
        return;
    set_durable(table, charge, false);
    program->summary.charged -= charge_amount(charge);
    program->summary.digest ^= charge_digest(charge);
    charge->most = most;
    charge->settled = settled;
    charge->spent = spent;
    program->summary.charged += charge_amount(charge);
    program->summary.digest ^= charge_digest(charge);
}

budget_summary_t budget_table_reserve(budget_table_t *table, const char *program_id,
                                      const char *call, uint64_t most, uint64_t now) {
    program_charges_t *program = obtain_program(table, program_id, now);
    if (!g_hash_table_contains(program->charges, call))
        set_charge(table, program, obtain_charge(table, program, call), most, false, 0);
    return program->summary;
}

void budget_table_settle(budget_table_t *table, const char *program_id, const char *call,
                         uint64_t spent, uint64_t now) {
    program_charges_t *program = obtain_program(table, program_id, now);
    budget_charge_t *charge = obtain_charge(table, program, call);
    set_charge(table, program, charge, charge->most, true, spent);
}

void budget_table_merge(budget_table_t *table, const budget_charge_t *other, uint64_t now) {
    program_charges_t *program = obtain_program(table, other->program, now);
    budget_charge_t *charge = obtain_charge(table, program, other->call);
    uint64_t most = MAX(charge->most, other->most);
    if (other->settled)
        set_charge(table, program, charge, most, true, other->spent);
    else if (!charge->settled)
        set_charge(table, program, charge, most, false, 0);
}

static budget_charge_t *find_charge(const budget_table_t *table, const char *program_id,
                                    const char *call) {
    const program_charges_t *program = g_hash_table_lookup(table->programs, program_id);
    return program == NULL ? NULL : g_hash_table_lookup(program->charges, call);
}

bool budget_table_contains(const budget_table_t *table, const char *program, const char *call) {
    return find_charge(table, program, call) != NULL;
}

uint64_t budget_table_bytes(const budget_table_t *table) {
    return table->charges * CHARGE_BYTES;
}

void budget_table_mark_durable(budget_table_t *table, const budget_charge_t *written) {
    budget_charge_t *charge = find_charge(table, written->program, written->call);
    if (charge == NULL || charge->settled != written->settled ||
        charge_amount(charge) != charge_amount(written))
        return; /* Changed since; the new state has its own write. */
    set_durable(table, charge, true);
}

bool budget_table_covers(const budget_table_t *table, const budget_charge_t *charge) {
    const budget_charge_t *own = find_charge(table, charge->program, charge->call);
    bool valid = own != NULL && (table->buckets == NULL || own->durable);
    return valid && (own->settled || !charge->settled);
}

bool budget_table_begin_rewrite(budget_table_t *table, const char *program_id, uint64_t before,
                                uint64_t now) {
    program_charges_t *program = g_hash_table_lookup(table->programs, program_id);
    if (program == NULL || program->logged_at >= before)
        return false;
    program->logged_at = now;
    return true;
}

void budget_table_rewrite_failed(budget_table_t *table, const char *program_id) {
    program_charges_t *program = g_hash_table_lookup(table->programs, program_id);
    if (program != NULL)
        program->logged_at = 0;
}

uint64_t budget_table_charged(const budget_table_t *table, const char *program_id) {
    const program_charges_t *program = g_hash_table_lookup(table->programs, program_id);
    return program == NULL ? 0 : program->summary.charged;
}

static void remove_from_buckets(budget_table_t *table, const program_charges_t *program) {
    table->charges -= g_hash_table_size(program->charges);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, program->charges);
    while (table->buckets != NULL && g_hash_table_iter_next(&iterator, NULL, &value)) {
        budget_charge_t *charge = value;
        set_durable(table, charge, false);
        table->buckets->records[charge->bucket]--;
    }
}

void budget_table_expire(budget_table_t *table, uint64_t before) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, table->programs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const program_charges_t *program = value;
        if (program->changed_at >= before)
            continue;
        remove_from_buckets(table, program);
        g_hash_table_iter_remove(&iterator);
    }
}

static void each_charge(const program_charges_t *program,
                        void (*visit)(void *user, const budget_charge_t *charge), void *user) {
    GHashTableIter charges;
    gpointer charge;
    g_hash_table_iter_init(&charges, program->charges);
    while (g_hash_table_iter_next(&charges, NULL, &charge))
        visit(user, charge);
}

void budget_table_each(const budget_table_t *table, const char *program_id,
                       void (*visit)(void *user, const budget_charge_t *charge), void *user) {
    if (program_id != NULL) {
        const program_charges_t *program = g_hash_table_lookup(table->programs, program_id);
        if (program != NULL)
            each_charge(program, visit, user);
        return;
    }
    GHashTableIter programs;
    gpointer program;
    g_hash_table_iter_init(&programs, table->programs);
    while (g_hash_table_iter_next(&programs, NULL, &program))
        each_charge(program, visit, user);
}
