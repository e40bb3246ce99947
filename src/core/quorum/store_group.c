#include "core/quorum/store_group.h"

#include <string.h>

enum { MEMBERS_MAXIMUM = 1000 };

static void clear_member(gpointer data) {
    store_member_t *member = data;
    g_free(member->name);
    g_free(member->address);
    g_free(member->zone);
}

GArray *store_members_new(void) {
    GArray *members = g_array_new(FALSE, TRUE, sizeof(store_member_t));
    g_array_set_clear_func(members, clear_member);
    return members;
}

store_group_t *store_group_new(void) {
    store_group_t *group = g_new0(store_group_t, 1);
    group->members = store_members_new();
    group->previous = store_members_new();
    return group;
}

void store_group_free(store_group_t *group) {
    if (group == NULL)
        return;
    g_array_free(group->members, TRUE);
    g_array_free(group->previous, TRUE);
    g_free(group);
}

static int compare_members(gconstpointer a, gconstpointer b) {
    return strcmp(((const store_member_t *)a)->name, ((const store_member_t *)b)->name);
}

void store_group_add(GArray *members, const char *name, const char *address, const char *zone) {
    store_member_t member = {g_strdup(name), g_strdup(address), g_strdup(zone)};
    g_array_append_val(members, member);
    g_array_sort(members, compare_members);
}

const store_member_t *store_group_find(const GArray *members, const char *name) {
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        if (strcmp(member->name, name) == 0)
            return member;
    }
    return NULL;
}

static void copy_members(GArray *copy, const GArray *members) {
    for (guint i = 0; i < members->len; i++) {
        const store_member_t *member = &g_array_index(members, store_member_t, i);
        store_group_add(copy, member->name, member->address, member->zone);
    }
}

store_group_t *store_group_copy(const store_group_t *group) {
    store_group_t *copy = store_group_new();
    copy->generation = group->generation;
    copy->target = group->target;
    copy_members(copy->members, group->members);
    copy_members(copy->previous, group->previous);
    return copy;
}

store_group_t *store_group_next(const store_group_t *group) {
    store_group_t *next = store_group_new();
    next->generation = group->generation + 1;
    next->target = group->target;
    copy_members(next->previous, group->members);
    return next;
}

unsigned store_write_quorum(unsigned members) {
    return members / 2 + 1;
}

unsigned store_read_quorum(unsigned members) {
    return members - store_write_quorum(members) + 1;
}

unsigned store_absence_quorum(unsigned members) {
    return members / 2 + 1;
}

bool store_turn_durable(const store_group_t *group, const store_turn_copies_t *turn) {
    unsigned previous = group->previous->len;
    bool known_to_previous = previous > 0 && turn->previous >= store_write_quorum(previous);
    return turn->copies >= store_write_quorum(group->members->len) &&
           (turn->complete > 0 || known_to_previous);
}

unsigned store_group_sources_needed(unsigned members) {
    return MIN(store_read_quorum(members), members - 1);
}

store_catch_up_plan_t store_group_catch_up(const store_group_t *group, const char *name,
                                           uint64_t complete_generation,
                                           uint64_t joined_generation) {
    bool was_complete = complete_generation > 0 && complete_generation + 1 == group->generation &&
                        store_group_find(group->previous, name) != NULL;
    if (was_complete) {
        /* A read quorum of the previous generation, this member included. */
        return (store_catch_up_plan_t){
            .sources = group->previous,
            .needed = store_read_quorum(group->previous->len) - 1,
            .min_source_generation = complete_generation,
            .left_last = true,
        };
    }
    bool joined = joined_generation == group->generation && group->previous->len > 0 &&
                  store_group_find(group->previous, name) == NULL;
    if (joined) {
        return (store_catch_up_plan_t){
            .sources = group->previous,
            .needed = store_read_quorum(group->previous->len),
            .min_source_generation = group->generation - 1,
            .left_last = true,
        };
    }
    /* What this member acknowledged is also on write_quorum - 1 other members. */
    return (store_catch_up_plan_t){
        .sources = group->members,
        .needed = store_group_sources_needed(group->members->len),
        .min_source_generation = group->generation,
    };
}

store_catch_up_plan_t store_group_reconcile(const store_group_t *group) {
    return (store_catch_up_plan_t){
        .sources = group->members,
        .needed = store_read_quorum(group->members->len) - 1,
        .min_source_generation = group->generation,
    };
}

static void members_codec(codec_t *codec, GArray *members) {
    uint32_t count = members->len;
    codec_count(codec, &count, MEMBERS_MAXIMUM);
    if (codec->decoding)
        g_array_set_size(members, count);
    for (uint32_t i = 0; i < count && !codec->failed; i++) {
        store_member_t *member = &g_array_index(members, store_member_t, i);
        codec_text(codec, &member->name);
        codec_text(codec, &member->address);
        codec_text(codec, &member->zone);
    }
}

void store_group_codec(codec_t *codec, store_group_t *group) {
    codec_uint64(codec, &group->generation);
    codec_uint32(codec, &group->target);
    members_codec(codec, group->members);
    members_codec(codec, group->previous);
}

GBytes *store_group_encode(store_group_t *group) {
    codec_t codec;
    codec_start_encoding(&codec);
    store_group_codec(&codec, group);
    return codec_finish(&codec);
}

store_group_t *store_group_decode(const void *data, size_t length) {
    codec_t codec;
    codec_start_decoding(&codec, data, length);
    store_group_t *group = store_group_new();
    store_group_codec(&codec, group);
    if (codec_complete(&codec) && group->generation > 0 && group->members->len > 0)
        return group;
    store_group_free(group);
    return NULL;
}
