// Another writer overwrites the key of the storage group, in virtual time. Guards against a group
// that can't change any more, and against one that is written though a later one stood there.
#include <gtest/gtest.h>

#include <string>

#include "simulated_disks.h"

namespace {

using namespace simulated_disks;

constexpr uint64_t restore_ms = 6000;
constexpr uint64_t leave_timeout_ms = 20000;
constexpr uint64_t missed_ms = 1000;
constexpr uint64_t listed_ms = 15;

void write_own(const char *name, const void *data, gsize length) {
    char *key = key_value_own_key(name);
    virtual_key_value_put(key, g_bytes_new(data, length));
    g_free(key);
}

void write_odd_group() {
    write_own("group", "odd", 3);
}

/** Generation of the group in the key-value service; 0: the value is no group. */
uint64_t stored_generation() {
    char *key = key_value_own_key("group");
    gsize length;
    const void *data = g_bytes_get_data(virtual_key_value_get(key), &length);
    g_free(key);
    store_group_t *group = store_group_decode(data, length);
    uint64_t generation = group == nullptr ? 0 : group->generation;
    store_group_free(group);
    return generation;
}

class StoreOddGroup : public SimulatedDisks {
  public:
    StoreOddGroup() : SimulatedDisks(1) {
    }
    void cut_from_service(unsigned first, unsigned last, bool cut) const {
        for (unsigned i = first; i <= last; i++)
            virtual_key_value_cut(node(i)->process, cut);
    }
    /** As another node would that all of them have missed. */
    void write_next_group() const {
        store_group_t *next = store_group_next(node(0)->store->group);
        for (unsigned i = 1; i < nodes; i++)
            store_group_add(next->members, node(i)->settings.name, node(i)->settings.peer_text,
                            node(i)->settings.zone);
        GBytes *value = store_group_encode(next);
        gsize length;
        const void *data = g_bytes_get_data(value, &length);
        write_own("group", data, length);
        g_bytes_unref(value);
        store_group_free(next);
    }
    void retire(unsigned number) const {
        char *key = g_strconcat(key_value_prefix(KEY_RETIRE), node(number)->settings.name, nullptr);
        virtual_key_value_put(key, g_bytes_new("now", 3));
        g_free(key);
        uint64_t until = virtual_now() + leave_timeout_ms;
        while (store_is_member(node(number)->store) && virtual_now() < until)
            run(1);
    }
};

TEST_F(StoreOddGroup, IsWrittenAgain) {
    ASSERT_EQ(stored_generation(), 1U);
    write_odd_group();
    EXPECT_EQ(stored_generation(), 0U);
    run(restore_ms);
    EXPECT_EQ(stored_generation(), 1U);
    EXPECT_EQ(world_groups_split(), 0U);
}

TEST_F(StoreOddGroup, IsWrittenAgainByASpareIfNoMemberSawIt) {
    world_start_store(node(nodes), false);
    run(restore_ms);
    const uint64_t generation = stored_generation();
    cut_from_service(0, nodes - 1, true);
    write_odd_group();
    run(restore_ms);
    EXPECT_EQ(stored_generation(), generation);
}

TEST_F(StoreOddGroup, ChangesAfterwards) {
    world_start_store(node(nodes), false);
    run(restore_ms);
    write_odd_group();
    retire(0);
    EXPECT_FALSE(store_is_member(node(0)->store));
    EXPECT_GT(stored_generation(), 1U);
    EXPECT_EQ(world_groups_split(), 0U);
}

TEST_F(StoreOddGroup, AGroupThatStoodThereBeforeIsKept) {
    write_next_group();
    write_odd_group();
    run(restore_ms);
    // Node 0, which it left out, has joined again by now.
    EXPECT_EQ(stored_generation(), 3U);
    EXPECT_EQ(world_groups_split(), 0U);
}

TEST_F(StoreOddGroup, IsLeftAloneByNodesThatMayHaveMissedALaterOne) {
    cut_from_service(0, nodes - 1, true);
    run(missed_ms);
    write_next_group();
    write_odd_group();
    cut_from_service(0, nodes - 1, false);
    run(restore_ms);
    EXPECT_EQ(stored_generation(), 0U);
    retire(0);
    EXPECT_EQ(stored_generation(), 0U);
    // Nor does a further value that they do see tell what stood there before.
    write_odd_group();
    run(restore_ms);
    EXPECT_EQ(stored_generation(), 0U);
}

TEST_F(StoreOddGroup, IsWrittenAgainBeforeAnotherIsFound) {
    write_odd_group();
    run(restore_ms);
    world_end_store(node(0), END_KILLED);
    run(missed_ms);
    world_start_store(node(0), false);
    run(restore_ms);
    write_odd_group();
    run(restore_ms);
    EXPECT_EQ(stored_generation(), 1U);
}

// Guards against a member that takes the group in which it has acknowledged records for a new one,
// and then copies from the members before it, who lack these.
TEST_F(StoreOddGroup, AMemberThatStartsBesideItWithAnEmptyDiskHasNotJustJoined) {
    world_start_store(node(nodes), false);
    run(restore_ms);
    retire(0);
    run(restore_ms);
    ASSERT_TRUE(store_is_complete(node(nodes)->store));
    ASSERT_TRUE(store_is_member(node(nodes)->store));
    world_end_store(node(nodes), END_DISK_LOST);
    run(missed_ms);
    write_odd_group();
    world_start_store(node(nodes), false);
    run(listed_ms);
    ASSERT_EQ(stored_generation(), 0U);
    run(restore_ms);
    EXPECT_GT(stored_generation(), 1U);
    EXPECT_TRUE(store_is_complete(node(nodes)->store));
    EXPECT_EQ(node(nodes)->store->joined_generation, 0U);
}

TEST_F(StoreOddGroup, IsLeftAloneByANodeThatStartsBesideIt) {
    for (unsigned i = 0; i < nodes; i++)
        world_end_store(node(i), END_KILLED);
    write_odd_group();
    for (unsigned i = 0; i < nodes; i++)
        world_start_store(node(i), false);
    run(restore_ms);
    EXPECT_EQ(stored_generation(), 0U);
    EXPECT_EQ(node(0)->store->group->generation, 1U);
}

class StoreRegistration : public StoreOddGroup {
  public:
    StoreRegistration() : name(std::string("store/") + node(0)->settings.name) {
    }
    GBytes *stored() const {
        char *key = key_value_own_key(name.c_str());
        GBytes *value = virtual_key_value_get(key);
        g_free(key);
        return value;
    }
    void remove() const {
        char *key = key_value_own_key(name.c_str());
        virtual_key_value_remove(key);
        g_free(key);
    }
    /** True if the node's registration stands there again as it did before. */
    bool restored() const {
        run(restore_ms);
        GBytes *value = stored();
        return value != nullptr && g_bytes_equal(value, registration);
    }
    const std::string name;
    GBytes *registration = g_bytes_ref(stored());
};

// Guards against a node that others which start later never know as a spare.
TEST_F(StoreRegistration, IsWrittenAgainOverAnOddValue) {
    write_own(name.c_str(), "odd", 3);
    EXPECT_TRUE(restored());
}

TEST_F(StoreRegistration, IsWrittenAgainOverThatOfAnother) {
    gsize length;
    const void *data = g_bytes_get_data(registration, &length);
    std::string other(static_cast<const char *>(data), length);
    other[other.size() - 1] ^= 1; // Whether it may found a group.
    write_own(name.c_str(), other.data(), other.size());
    EXPECT_TRUE(restored());
}

TEST_F(StoreRegistration, IsWrittenAgainOnceItIsRemoved) {
    remove();
    EXPECT_TRUE(restored());
}

TEST_F(StoreRegistration, IsWrittenAgainThoughItWasRemovedWhileTheServiceWasOutOfReach) {
    cut_from_service(0, 0, true);
    run(missed_ms);
    remove();
    cut_from_service(0, 0, false);
    EXPECT_TRUE(restored());
}

} // namespace
