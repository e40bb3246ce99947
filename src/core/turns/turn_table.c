#include "core/turns/turn_table.h"

#include <string.h>

/** Estimated memory of an entry besides its input and output. */
enum { SHORT_NAME_BYTES = 128, NAME_COPIES = 2 };
enum { ENTRY_OVERHEAD_BYTES = 512, ANCESTORS_MAXIMUM = 10000 };

void turn_clear(turn_t *turn) {
    g_free(turn->id);
    g_free(turn->parent);
    g_free(turn->tenant);
    if (turn->input != NULL)
        g_bytes_unref(turn->input);
    if (turn->output != NULL)
        g_bytes_unref(turn->output);
    *turn = (turn_t){0};
}

void turn_copy(turn_t *copy, const turn_t *turn) {
    copy->id = g_strdup(turn->id);
    copy->parent = g_strdup(turn->parent);
    copy->tenant = g_strdup(turn->tenant == NULL ? "" : turn->tenant);
    copy->input = g_bytes_ref(turn->input);
    copy->output = g_bytes_ref(turn->output);
    copy->retention_ms = turn->retention_ms;
}

bool turn_belongs_to(const turn_t *turn, const char *tenant) {
    return turn->tenant == NULL || *turn->tenant == '\0' || strcmp(turn->tenant, tenant) == 0;
}

static void free_entry(gpointer data) {
    turn_entry_t *entry = data;
    turn_clear(&entry->turn);
    g_free(entry);
}

/** Memory of a name beyond what ENTRY_OVERHEAD_BYTES allows for; a few copies are kept of each. */
static uint64_t long_name_bytes(const char *name) {
    size_t length = name == NULL ? 0 : strlen(name);
    return length <= SHORT_NAME_BYTES ? 0 : NAME_COPIES * length;
}

uint64_t turn_memory_bytes(const turn_t *turn) {
    return ENTRY_OVERHEAD_BYTES + g_bytes_get_size(turn->input) + g_bytes_get_size(turn->output) +
           long_name_bytes(turn->id) + long_name_bytes(turn->parent);
}

void turn_table_init(turn_table_t *table) {
    table->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    table->missing_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    table->bytes = 0;
    table->segments_kept_until = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    table->buckets = g_new0(digest_buckets_t, 1);
    for (unsigned i = 0; i < DIGEST_BUCKETS; i++)
        table->by_bucket[i] = g_ptr_array_new();
}

void turn_table_clear(turn_table_t *table) {
    g_hash_table_destroy(table->entries);
    g_hash_table_destroy(table->missing_until);
    g_array_free(table->segments_kept_until, TRUE);
    g_free(table->buckets);
    for (unsigned i = 0; i < DIGEST_BUCKETS; i++)
        g_ptr_array_free(table->by_bucket[i], TRUE);
}

void turn_table_keep_segment(turn_table_t *table, uint32_t segment, uint64_t until) {
    if (segment >= table->segments_kept_until->len)
        g_array_set_size(table->segments_kept_until, segment + 1);
    uint64_t *needed = &g_array_index(table->segments_kept_until, uint64_t, segment);
    *needed = MAX(*needed, until);
}

/** Records that a missing turn must be kept until @p expires_at if it arrives. */
static void require_missing(turn_table_t *table, const char *id, uint64_t expires_at) {
    uint64_t *until = g_hash_table_lookup(table->missing_until, id);
    if (until == NULL) {
        until = g_new0(uint64_t, 1);
        g_hash_table_insert(table->missing_until, g_strdup(id), until);
    }
    *until = MAX(*until, expires_at);
}

/** Extends the expiry of an entry and of all its ancestors to at least @p expires_at. */
static void extend_chain(turn_table_t *table, turn_entry_t *entry, uint64_t expires_at) {
    for (unsigned i = 0; i < ANCESTORS_MAXIMUM; i++) {
        if (entry->expires_at >= expires_at && i > 0)
            return;
        entry->expires_at = MAX(entry->expires_at, expires_at);
        turn_table_keep_segment(table, entry->segment, entry->expires_at);
        const char *parent = entry->turn.parent;
        if (*parent == '\0')
            return;
        entry = g_hash_table_lookup(table->entries, parent);
        if (entry == NULL) {
            require_missing(table, parent, expires_at);
            return;
        }
    }
}

/** Expiry of a new turn: its own, or a later one that its descendants require. */
static uint64_t take_required_expiry(turn_table_t *table, const char *id, uint64_t expires_at) {
    const uint64_t *until = g_hash_table_lookup(table->missing_until, id);
    if (until == NULL)
        return expires_at;
    expires_at = MAX(expires_at, *until);
    g_hash_table_remove(table->missing_until, id);
    return expires_at;
}

/** Updates the entry's bucket when it is added (@p change 1) or removed (-1). */
static void update_bucket(turn_table_t *table, const turn_entry_t *entry, int change) {
    table->buckets->records[entry->bucket] += (uint32_t)change;
    table->buckets->digests[entry->bucket] ^= digest_of_record(entry->turn.id, 0);
}

static void add_to_bucket(turn_table_t *table, turn_entry_t *entry) {
    GPtrArray *bucket = table->by_bucket[entry->bucket];
    update_bucket(table, entry, 1);
    entry->bucket_index = bucket->len;
    g_ptr_array_add(bucket, entry);
}

static void remove_from_bucket(turn_table_t *table, const turn_entry_t *entry) {
    GPtrArray *bucket = table->by_bucket[entry->bucket];
    update_bucket(table, entry, -1);
    g_ptr_array_remove_index_fast(bucket, entry->bucket_index);
    if (entry->bucket_index < bucket->len)
        ((turn_entry_t *)g_ptr_array_index(bucket, entry->bucket_index))->bucket_index =
            entry->bucket_index;
}

bool turn_table_extend(turn_table_t *table, const char *id, uint32_t retention_ms, uint64_t now) {
    turn_entry_t *entry = g_hash_table_lookup(table->entries, id);
    if (entry != NULL)
        extend_chain(table, entry, now + retention_ms);
    return entry != NULL;
}

bool turn_table_add(turn_table_t *table, const turn_t *turn, uint32_t segment, uint64_t now) {
    if (turn_table_extend(table, turn->id, turn->retention_ms, now))
        return false;
    uint64_t expires_at = now + turn->retention_ms;
    turn_entry_t *entry = g_new0(turn_entry_t, 1);
    turn_copy(&entry->turn, turn);
    entry->segment = segment;
    entry->bucket = digest_bucket_of(turn->id);
    add_to_bucket(table, entry);
    g_hash_table_insert(table->entries, entry->turn.id, entry);
    table->bytes += turn_memory_bytes(turn);
    extend_chain(table, entry, take_required_expiry(table, turn->id, expires_at));
    return true;
}

void turn_table_add_to_segment(turn_table_t *table, const turn_t *turn, uint32_t segment,
                               uint64_t now) {
    turn_entry_t *entry = g_hash_table_lookup(table->entries, turn->id);
    if (entry == NULL || entry->segment != TURN_NOT_IN_LOG) {
        turn_table_add(table, turn, segment, now);
        return;
    }
    entry->segment = segment;
    turn_table_keep_segment(table, segment, entry->expires_at);
}

const turn_t *turn_table_find(const turn_table_t *table, const char *id) {
    const turn_entry_t *entry = g_hash_table_lookup(table->entries, id);
    return entry == NULL ? NULL : &entry->turn;
}

uint32_t turn_table_remaining_ms(const turn_table_t *table, const char *id, uint64_t now) {
    const turn_entry_t *entry = g_hash_table_lookup(table->entries, id);
    if (entry == NULL || entry->expires_at <= now)
        return 1;
    return (uint32_t)MIN(entry->expires_at - now, (uint64_t)UINT32_MAX);
}

unsigned turn_table_missing_ancestors(const turn_table_t *table) {
    return g_hash_table_size(table->missing_until);
}

bool turn_table_lacks_ancestor(const turn_table_t *table, const char *id) {
    return g_hash_table_contains(table->missing_until, id);
}

static gboolean requirement_expired(gpointer id, gpointer until, gpointer now) {
    (void)id;
    return *(const uint64_t *)until <= *(const uint64_t *)now;
}

void turn_table_expire(turn_table_t *table, uint64_t now) {
    g_hash_table_foreach_remove(table->missing_until, requirement_expired, &now);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, table->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        turn_entry_t *entry = value;
        if (entry->expires_at > now)
            continue;
        table->bytes -= turn_memory_bytes(&entry->turn);
        remove_from_bucket(table, entry);
        g_hash_table_iter_remove(&iterator);
    }
}

bool turn_table_segment_unused(const turn_table_t *table, uint32_t segment, uint64_t now) {
    if (segment >= table->segments_kept_until->len)
        return true;
    return g_array_index(table->segments_kept_until, uint64_t, segment) <= now;
}
