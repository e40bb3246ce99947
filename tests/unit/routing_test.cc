#include <glib.h>

extern "C" {
#include "core/retry/retry_budget.h"
#include "core/routing/routing.h"
}

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace {

void ignore_change(void *, const backend_t *, bool) {
}

class Routing : public testing::Test {
  protected:
    backend_set_t *set = backend_set_new();
    GPtrArray *records = g_ptr_array_new_with_free_func((GDestroyNotify)backend_record_free);
    routing_t routing = {};
    prefix_t prefix = {};

    Routing() {
        for (const char *name : {"e1", "e2", "e3"})
            add(name);
        backend_set_update(set, records, ignore_change, nullptr);
        std::string text(20000, 'x');
        prefix_compute(&prefix, text.data(), text.size());
    }
    ~Routing() override {
        backend_set_free(set);
        g_ptr_array_unref(records);
    }

    void add(const char *name) {
        backend_record_t record = {};
        record.kind = BACKEND_ENGINE;
        record.name = const_cast<char *>(name);
        record.offers = const_cast<char *>("base");
        record.zone = const_cast<char *>("a");
        record.address = const_cast<char *>("127.0.0.1");
        record.port = 1;
        g_ptr_array_add(records, backend_record_copy(&record));
    }

    const char *choose(const char *avoid = nullptr, int64_t now_ms = 0) {
        routing_request_t request = {};
        request.kind = BACKEND_ENGINE;
        request.offers = "base";
        request.program = "t:p";
        request.zone = "a";
        request.prefix = &prefix;
        request.avoid = avoid;
        const backend_t *backend = routing_choose(&routing, set, &request, now_ms);
        return backend != nullptr ? backend->record.name : "";
    }
};

TEST_F(Routing, PrefersTheCachedPrefixUnlessTheEngineIsBusy) {
    prefix_record_sent(backend_set_find(set, "e2"), &prefix);
    for (int i = 0; i < 5; i++)
        EXPECT_STREQ(choose(), "e2");
    load_report_t busy = {};
    busy.running = 32;
    busy.waiting = 40;
    backend_report_load(backend_set_find(set, "e2"), &busy);
    EXPECT_STRNE(choose(), "e2");
}

TEST_F(Routing, LeavingBackendGetsNoCallsAndStaysLeaving) {
    prefix_record_sent(backend_set_find(set, "e2"), &prefix);
    auto *record = static_cast<backend_record_t *>(g_ptr_array_index(records, 1));
    record->leaving = true;
    backend_set_update(set, records, ignore_change, nullptr);
    EXPECT_STRNE(choose(), "e2");
    record->leaving = false;
    backend_set_update(set, records, ignore_change, nullptr);
    EXPECT_STRNE(choose(), "e2") << "the list may be outdated";
}

TEST_F(Routing, EngineThatReportsLeavingGetsNoCalls) {
    load_report_t report = {};
    report.leaving = true;
    for (const char *name : {"e1", "e2", "e3"})
        backend_report_load(backend_set_find(set, name), &report);
    EXPECT_STREQ(choose(), "");
}

TEST_F(Routing, UnreachableBackendIsEjectedTemporarily) {
    prefix_record_sent(backend_set_find(set, "e2"), &prefix);
    backend_t *backend = backend_set_find(set, "e2");
    for (int i = 0; i < 3; i++) {
        backend_call_started(backend);
        backend_call_finished(backend, false, 1000);
    }
    EXPECT_STRNE(choose(nullptr, 1100), "e2");
    EXPECT_STREQ(choose(nullptr, 20000), "e2");
}

TEST_F(Routing, RetryAvoidsTheBackendThatFailed) {
    prefix_record_sent(backend_set_find(set, "e2"), &prefix);
    EXPECT_STRNE(choose("e2"), "e2");
}

TEST_F(Routing, CallsSentSinceTheLastLoadReportCountAsLoad) {
    routing.policy = POLICY_PREFIX_AND_LOAD;
    std::map<std::string, int> chosen;
    for (int i = 0; i < 30; i++) {
        const char *name = choose();
        chosen[name]++;
        backend_call_started(backend_set_find(set, name));
    }
    for (const char *name : {"e1", "e2", "e3"})
        EXPECT_EQ(chosen[name], 10) << "calls are distributed evenly";
}

TEST_F(Routing, RoundRobinAlternatesAndStickyRepeats) {
    routing.policy = POLICY_ROUND_ROBIN;
    std::string first = choose();
    EXPECT_NE(first, choose());
    routing.policy = POLICY_STICKY;
    std::string sticky = choose();
    EXPECT_EQ(sticky, choose());
}

TEST(RetryBudget, AllowsABurstAndATenthOfTheCallsAfterwards) {
    retry_budget_t budget = retry_budget_new();
    int retries = 0;
    while (retry_budget_take(&budget))
        retries++;
    EXPECT_EQ(retries, 10) << "a new leader can retry lost calls at once";
    for (int i = 0; i < 1000; i++) {
        retry_budget_record_first_attempt(&budget);
        retries += retry_budget_take(&budget);
    }
    EXPECT_EQ(retries, 110);
}

} // namespace
