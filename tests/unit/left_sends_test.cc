// Sends that calls have left while their back ends may still run them: left_sends.h.
#include <glib.h>

extern "C" {
#include "core/retry/left_sends.h"
}

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace {

constexpr uint64_t NOW = 100000;
constexpr uint64_t BACKEND = 3;

class LeftSends : public testing::Test {
  protected:
    void TearDown() override {
        left_sends_free(sends);
    }
    std::vector<uint64_t> take(uint64_t now, uint64_t backend = BACKEND) {
        GArray *taken = g_array_new(FALSE, FALSE, sizeof(left_send_t));
        left_sends_take(sends, backend, now, taken);
        std::vector<uint64_t> requests;
        for (guint i = 0; i < taken->len; i++)
            requests.push_back(g_array_index(taken, left_send_t, i).request);
        g_array_free(taken, TRUE);
        return requests;
    }
    left_sends_t *sends = left_sends_new(
        [](void *owner, const left_send_t *send) {
            static_cast<LeftSends *>(owner)->settled.push_back(send->request);
        },
        this);
    std::vector<uint64_t> settled;
};

TEST_F(LeftSends, AreTakenOnceByTheirBackEnd) {
    left_sends_add(sends, 1, BACKEND, 500, NOW);
    left_sends_add(sends, 2, BACKEND + 1, 500, NOW);
    left_sends_add(sends, 3, BACKEND, 500, NOW);
    EXPECT_EQ(take(NOW), (std::vector<uint64_t>{1, 3}));
    EXPECT_TRUE(take(NOW).empty());
    EXPECT_EQ(take(NOW, BACKEND + 1), std::vector<uint64_t>{2});
}

TEST_F(LeftSends, EndWithTheTimeOfTheLongestSendOfTheRequest) {
    left_sends_add(sends, 1, BACKEND, 5000, NOW);
    left_sends_add(sends, 1, BACKEND, 500, NOW + 1000);
    left_sends_add(sends, 2, BACKEND, 4999, NOW);
    EXPECT_EQ(take(NOW + 5000 + LEFT_SEND_MARGIN_MS + LEFT_SEND_NOTICE_MS),
              std::vector<uint64_t>{1});
}

TEST_F(LeftSends, AreForgottenByRequestAndByBackEnd) {
    for (uint64_t backend : {BACKEND, BACKEND + 1}) {
        left_sends_add(sends, 1, backend, 500, NOW);
        left_sends_add(sends, 2, backend, 500, NOW);
    }
    left_sends_remove(sends, 2, BACKEND);
    left_sends_forget(sends, 1);
    EXPECT_TRUE(take(NOW).empty());
    EXPECT_EQ(settled, (std::vector<uint64_t>{2, 1, 1}));
    EXPECT_EQ(take(NOW, BACKEND + 1), std::vector<uint64_t>{2});
}

TEST_F(LeftSends, AreListedUntilTheirTimeIsOver) {
    left_sends_add(sends, 1, BACKEND, 500, NOW);
    left_sends_add(sends, 2, BACKEND, 900, NOW);
    GArray *list = g_array_new(FALSE, FALSE, sizeof(left_send_t));
    left_sends_list(sends, NOW + 600 + LEFT_SEND_MARGIN_MS, list);
    ASSERT_EQ(list->len, 1U);
    EXPECT_EQ(g_array_index(list, left_send_t, 0).request, 2U);
    g_array_free(list, TRUE);
    EXPECT_TRUE(settled.empty());
}

TEST_F(LeftSends, OfOneRequestAreListedUntilTheirTimeIsOver) {
    left_sends_add(sends, 1, BACKEND, 900, NOW);
    left_sends_add(sends, 2, BACKEND, 500, NOW);
    left_sends_add(sends, 2, BACKEND + 1, 900, NOW);
    GArray *list = g_array_new(FALSE, FALSE, sizeof(left_send_t));
    left_sends_list_request(sends, 2, NOW + 600 + LEFT_SEND_MARGIN_MS, list);
    ASSERT_EQ(list->len, 1U);
    EXPECT_EQ(g_array_index(list, left_send_t, 0).backend, BACKEND + 1);
    g_array_free(list, TRUE);
}

// Guards against a send that is forgotten though its back end turned out to be alive.
TEST_F(LeftSends, ThatAreTakenOrMovedAreNotSettled) {
    left_sends_t *doubted = left_sends_new(nullptr, nullptr);
    left_sends_add(sends, 1, BACKEND, 500, NOW);
    left_sends_add(sends, 2, BACKEND, 500, NOW);
    left_sends_move(sends, doubted, 1, BACKEND, NOW);
    EXPECT_EQ(take(NOW), std::vector<uint64_t>{2});
    EXPECT_TRUE(settled.empty());
    left_sends_move(doubted, sends, 1, BACKEND, NOW);
    EXPECT_EQ(take(NOW), std::vector<uint64_t>{1});
    left_sends_free(doubted);
}

TEST_F(LeftSends, AreBoundedAndTheOldestGo) {
    for (uint64_t request = 0; request <= LEFT_SENDS_MAX; request++)
        left_sends_add(sends, request, BACKEND, 500, NOW);
    std::vector<uint64_t> left = take(NOW);
    EXPECT_EQ(left.size(), size_t{LEFT_SENDS_MAX});
    EXPECT_EQ(std::count(left.begin(), left.end(), 0), 0);
}

} // namespace
