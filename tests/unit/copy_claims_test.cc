// Which replica is asked for which record while another one copies what it lacks.
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
    unsigned left(unsigned source) const {
        return copy_claims_left(claims, source);
    }
    copy_claims_t *claims = nullptr;
};

TEST_F(CopyClaims, ARecordThatSeveralHoldIsAskedOfOne) {
    add(0, {"a", "b"});
    add(1, {"a", "b"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(1), "b");
    EXPECT_EQ(take(0), "");
    EXPECT_EQ(take(1), "");
}

TEST_F(CopyClaims, ACopyIsOverOnceAllThatItNamedIsHere) {
    add(0, {"a", "b"});
    add(1, {"a"});
    copy_claims_arrived(claims, "a");
    EXPECT_EQ(left(0), 1u);
    EXPECT_EQ(left(1), 0u);
    copy_claims_arrived(claims, "a");
    copy_claims_arrived(claims, "b");
    EXPECT_EQ(left(0), 0u);
    EXPECT_EQ(take(0), "");
}

TEST_F(CopyClaims, WhatOneLacksIsAskedOfAnother) {
    add(0, {"a"});
    add(1, {"a"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(1), "");
    copy_claims_lacks(claims, 0, "a");
    EXPECT_EQ(left(0), 0u);
    EXPECT_EQ(left(1), 1u);
    EXPECT_EQ(take(0), "");
    EXPECT_EQ(take(1), "a");
}

TEST_F(CopyClaims, WhatNobodyHasAnyMoreIsNotAwaited) {
    add(0, {"a"});
    EXPECT_EQ(take(0), "a");
    copy_claims_lacks(claims, 0, "a");
    EXPECT_EQ(left(0), 0u);
}

TEST_F(CopyClaims, WhatALostOneWasAskedForIsAskedOfAnother) {
    add(0, {"a", "b"});
    add(1, {"a", "b"});
    EXPECT_EQ(take(0), "a");
    EXPECT_EQ(take(1), "b");
    copy_claims_reset(claims, 0);
    EXPECT_EQ(left(0), 0u);
    EXPECT_EQ(left(1), 2u);
    EXPECT_EQ(take(1), "a");
    EXPECT_EQ(take(1), "");
}

TEST_F(CopyClaims, ALostOneBeginsAnew) {
    add(0, {"a", "b"});
    EXPECT_EQ(take(0), "a");
    copy_claims_reset(claims, 0);
    add(0, {"a", "b"});
    EXPECT_EQ(left(0), 2u);
    std::set<std::string> asked = {take(0), take(0)};
    EXPECT_EQ(asked, (std::set<std::string>{"a", "b"}));
}

TEST_F(CopyClaims, WhatCameFromALostOneCountsForAll) {
    add(0, {"a"});
    add(1, {"a"});
    EXPECT_EQ(take(0), "a");
    copy_claims_reset(claims, 0);
    copy_claims_arrived(claims, "a");
    EXPECT_EQ(left(1), 0u);
    EXPECT_EQ(take(1), "");
    add(0, {"a"});
    EXPECT_EQ(left(0), 0u);
}

} // namespace
