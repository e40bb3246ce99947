// Assignment of records to sources while a replica catches up.
#include <glib.h>

extern "C" {
#include "core/quorum/copy_claims.h"
}

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace {

class CopyClaims : public testing::Test {
  protected:
    void SetUp() override {
        claims = copy_claims_new(3);
    }
    void TearDown() override {
        copy_claims_free(claims);
    }
    void add(unsigned source, const std::vector<std::string> &ids) {
        for (const std::string &id : ids)
            copy_claims_add(claims, source, id.c_str());
    }
    std::string take(unsigned source) {
        const char *id = copy_claims_take(claims, source);
        return id == nullptr ? "" : id;
    }
    unsigned missing(unsigned source) const {
        return copy_claims_left(claims, source);
    }
    copy_claims_t *claims = nullptr;
};

TEST_F(CopyClaims, ARecordOfSeveralSourcesIsRequestedOnce) {
    add(0, {"a", "b"});
    add(1, {"a", "b"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(1), "b");
    EXPECT_EQ(take(0), "");
    EXPECT_EQ(take(1), "");
}

TEST_F(CopyClaims, ACopyIsCompleteOnceAllListedRecordsArrived) {
    add(0, {"a", "b"});
    add(1, {"a"});
    copy_claims_arrived(claims, "a");
    EXPECT_EQ(missing(0), 1u);
    EXPECT_EQ(missing(1), 0u);
    copy_claims_arrived(claims, "a");
    copy_claims_arrived(claims, "b");
    EXPECT_EQ(missing(0), 0u);
    EXPECT_EQ(take(0), "");
}

TEST_F(CopyClaims, AMissingRecordIsRequestedFromAnotherSource) {
    add(0, {"a"});
    add(1, {"a"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(1), "");
    copy_claims_lacks(claims, 0, "a");
    EXPECT_EQ(missing(0), 0u);
    EXPECT_EQ(missing(1), 1u);
    EXPECT_EQ(take(0), "");
    EXPECT_EQ(take(1), "a");
}

TEST_F(CopyClaims, ARecordWithoutHoldersIsNotAwaited) {
    add(0, {"a"});
    EXPECT_EQ(take(0), "a");
    copy_claims_lacks(claims, 0, "a");
    EXPECT_EQ(missing(0), 0u);
}

TEST_F(CopyClaims, RequestsToALostSourceMoveToAnother) {
    add(0, {"a", "b"});
    add(1, {"a", "b"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(1), "b");
    copy_claims_reset(claims, 0);
    EXPECT_EQ(missing(0), 0u);
    EXPECT_EQ(missing(1), 2u);
    EXPECT_EQ(take(1), "a");
    EXPECT_EQ(take(1), "");
}

TEST_F(CopyClaims, ALostSourceMayListAgain) {
    add(0, {"a", "b"});
    EXPECT_EQ(take(0), "a");
    copy_claims_reset(claims, 0);
    add(0, {"a", "b"});
    EXPECT_EQ(missing(0), 2u);
    std::set<std::string> asked = {take(0), take(0)};
    EXPECT_EQ(asked, (std::set<std::string>{"a", "b"}));
}

TEST_F(CopyClaims, ARecordFromALostSourceCountsForAll) {
    add(0, {"a"});
    add(1, {"a"});
    EXPECT_EQ(take(0), "a");
    copy_claims_reset(claims, 0);
    copy_claims_arrived(claims, "a");
    EXPECT_EQ(missing(1), 0u);
    EXPECT_EQ(take(1), "");
    add(0, {"a"});
    EXPECT_EQ(missing(0), 0u);
}

} // namespace
