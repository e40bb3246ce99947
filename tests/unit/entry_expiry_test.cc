// Back ends whose entries expired during an outage of the key-value service must remain in use
// until they could write them again; otherwise calls are refused although all back ends are live.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "core/configuration/entry_expiry.h"
#include "gateway/backends.h"
}

namespace {

TEST(EntryExpiry, EntriesMissingAfterAnOutageHaveAGracePeriod) {
    entry_expiry_evidence_t evidence = {0, 10000};
    EXPECT_EQ(entry_expiry_grace_end(&evidence, 10000), 12000U);
    EXPECT_EQ(entry_expiry_grace_end(&evidence, 11999), 12000U);
    EXPECT_EQ(entry_expiry_grace_end(&evidence, 12000), 0U);
}

// The update may come through another gateway that reached the service earlier.
TEST(EntryExpiry, EntriesMissingDuringAnOutageHaveAGracePeriod) {
    entry_expiry_evidence_t evidence = {10000, 0};
    EXPECT_EQ(entry_expiry_grace_end(&evidence, 11000), 13000U);
    EXPECT_EQ(entry_expiry_grace_end(&evidence, 11500), 0U);
}

TEST(EntryExpiry, EntriesMissingWithoutAnOutageAreRemoved) {
    entry_expiry_evidence_t evidence = {0, 0};
    EXPECT_EQ(entry_expiry_grace_end(&evidence, 100), 0U);
}

class ExpiredBackends : public testing::Test {
  protected:
    ExpiredBackends() {
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "here", "10.0.0.1:77");
    }
    ~ExpiredBackends() override {
        backends_clear(&backends);
        uv_loop_close(&loop);
    }
    void list(const std::string &instance, bool leaving = false) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance.c_str());
        record->service = g_strdup("models");
        record->zone = g_strdup("here");
        record->slots = 4;
        record->leaving = leaving;
        backends_update(&backends, record);
    }
    bool chosen() {
        backend_choice_t choice = {"models", nullptr, 0, VERSION_ANY, false};
        backend_t *backend = backends_choose(&backends, &choice);
        if (backend != nullptr)
            backend_release(backend);
        return backend != nullptr;
    }
    uint64_t now() {
        return uv_now(&loop);
    }
    uv_loop_t loop;
    backends_t backends;
};

TEST_F(ExpiredBackends, AreUsedDuringTheGracePeriod) {
    list("a");
    EXPECT_TRUE(backends_expire_entry(&backends, "a", now() + 1000));
    EXPECT_TRUE(chosen());
    EXPECT_EQ(backends_remove_expired(&backends), 0U);
    EXPECT_EQ(backends_count(&backends), 1U);
}

TEST_F(ExpiredBackends, AreRemovedAfterTheGracePeriod) {
    list("a");
    EXPECT_TRUE(backends_expire_entry(&backends, "a", now()));
    EXPECT_FALSE(chosen());
    EXPECT_EQ(backends_remove_expired(&backends), 1U);
    EXPECT_EQ(backends_count(&backends), 0U);
}

TEST_F(ExpiredBackends, StayOnceTheirEntriesAreWrittenAgain) {
    list("a");
    EXPECT_TRUE(backends_expire_entry(&backends, "a", now()));
    list("a");
    EXPECT_TRUE(chosen());
    EXPECT_EQ(backends_remove_expired(&backends), 0U);
}

TEST_F(ExpiredBackends, ThatWereLeavingAreRemovedAtOnce) {
    list("a", true);
    EXPECT_FALSE(backends_expire_entry(&backends, "a", now() + 1000));
    EXPECT_EQ(backends_count(&backends), 0U);
}

} // namespace
