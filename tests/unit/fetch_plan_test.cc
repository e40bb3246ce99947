// Assignment of records to sources while a replica catches up.
#include <glib.h>

extern "C" {
#include "core/quorum/fetch_plan.h"
}

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace {

class FetchPlan : public testing::Test {
  protected:
    void SetUp() override {
        claims = fetch_plan_new(3);
    }
    void TearDown() override {
        fetch_plan_free(claims);
    }
    void add(unsigned source, const std::vector<std::string> &ids) {
        for (const std::string &id : ids)
            fetch_plan_add(claims, source, id.c_str());
    }
    std::string take(unsigned source) {
        const char *id = fetch_plan_next(claims, source);
        return id == nullptr ? "" : id;
    }
    unsigned missing(unsigned source) const {
        return fetch_plan_missing(claims, source);
    }
    fetch_plan_t *claims = nullptr;
};

TEST_F(FetchPlan, ARecordOfSeveralSourcesIsRequestedOnce) {
    add(0, {"a", "b"});
    add(1, {"a", "b"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(1), "b");
    EXPECT_EQ(take(0), "");
    EXPECT_EQ(take(1), "");
}

TEST_F(FetchPlan, ACopyIsCompleteOnceAllListedRecordsArrived) {
    add(0, {"a", "b"});
    add(1, {"a"});
    fetch_plan_arrived(claims, "a");
    EXPECT_EQ(missing(0), 1u);
    EXPECT_EQ(missing(1), 0u);
    fetch_plan_arrived(claims, "a");
    fetch_plan_arrived(claims, "b");
    EXPECT_EQ(missing(0), 0u);
    EXPECT_EQ(take(0), "");
}

TEST_F(FetchPlan, AMissingRecordIsRequestedFromAnotherSource) {
    add(0, {"a"});
    add(1, {"a"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(1), "");
    fetch_plan_not_found(claims, 0, "a");
    EXPECT_EQ(missing(0), 0u);
    EXPECT_EQ(missing(1), 1u);
    EXPECT_EQ(take(0), "");
    EXPECT_EQ(take(1), "a");
}

TEST_F(FetchPlan, ARecordWithoutHoldersIsNotAwaited) {
    add(0, {"a"});
    EXPECT_EQ(take(0), "a");
    fetch_plan_not_found(claims, 0, "a");
    EXPECT_EQ(missing(0), 0u);
}

TEST_F(FetchPlan, RequestsToALostSourceMoveToAnother) {
    add(0, {"a", "b"});
    add(1, {"a", "b"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(1), "b");
    fetch_plan_reset(claims, 0);
    EXPECT_EQ(missing(0), 0u);
    EXPECT_EQ(missing(1), 2u);
    EXPECT_EQ(take(1), "a");
    EXPECT_EQ(take(1), "");
}

// Guards against records that a source left out of a response and that are then never requested.
TEST_F(FetchPlan, APostponedRecordIsRequestedAgain) {
    add(0, {"a", "b"});
    add(1, {"b"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(0), "b");
    EXPECT_EQ(take(1), "");
    fetch_plan_postpone(claims, 0, "b");
    fetch_plan_postpone(claims, 1, "a");
    EXPECT_EQ(missing(0), 2u);
    EXPECT_EQ(take(1), "b");
    EXPECT_EQ(take(0), "");
    fetch_plan_postpone(claims, 1, "b");
    EXPECT_EQ(take(0), "b");
}

TEST_F(FetchPlan, ALostSourceMayListAgain) {
    add(0, {"a", "b"});
    EXPECT_EQ(take(0), "a");
    fetch_plan_reset(claims, 0);
    add(0, {"a", "b"});
    EXPECT_EQ(missing(0), 2u);
    std::set<std::string> asked = {take(0), take(0)};
    EXPECT_EQ(asked, (std::set<std::string>{"a", "b"}));
}

TEST_F(FetchPlan, ARecordFromALostSourceCountsForAll) {
    add(0, {"a"});
    add(1, {"a"});
    EXPECT_EQ(take(0), "a");
    fetch_plan_reset(claims, 0);
    fetch_plan_arrived(claims, "a");
    EXPECT_EQ(missing(1), 0u);
    EXPECT_EQ(take(1), "");
    add(0, {"a"});
    EXPECT_EQ(missing(0), 0u);
}

} // namespace
