// Cost-based placement of calls at engines that are almost full.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "gateway/engine_load.h"
#include "gateway/call_placement.h"
}

namespace {

constexpr unsigned SLOTS = 6;

/** A gateway with one engine whose queue is three quarters full. */
class CallPlacement : public testing::Test {
  protected:
    CallPlacement() {
        uv_loop_init(&loop);
        gateway.loop = &loop;
        backends_init(&gateway.backends, &loop, "here", "10.0.0.1:77");
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup("i-1");
        record->service = g_strdup("models");
        record->zone = g_strdup("here");
        record->slots = SLOTS;
        record->born = 5;
        backends_update(&gateway.backends, record);
        engine = static_cast<backend_t *>(g_hash_table_lookup(gateway.backends.by_instance, "i-1"));
        engine_limit_record_refused(&engine->limit, 5, 3 * SLOTS, SLOTS, uv_now(&loop) - 1000);
        engine->peer_calls = SLOTS + 2 * SLOTS * 3 / 4;
        http_headers_init(&headers);
        call.gateway = &gateway;
        call.id = "c-1";
        call.service_name = "models";
        call.request = &request;
        request.headers = &headers;
    }
    ~CallPlacement() override {
        http_headers_clear(&headers);
        backends_clear(&gateway.backends);
        uv_loop_close(&loop);
    }
    void set(call_field_t field, const std::string &value) {
        const char *name = call_field_name(field);
        http_headers_name_piece(&headers, name, strlen(name));
        http_headers_value_piece(&headers, value.data(), value.size());
        http_headers_finish(&headers);
    }
    bool choose() {
        backend_choice_t choice = {"models", nullptr, SLOTS, VERSION_ANY, false};
        bool chosen = call_placement_choose(&call, &choice, 7);
        if (chosen)
            backend_release(call.backend);
        return chosen;
    }
    uv_loop_t loop;
    gateway_t gateway = {};
    backend_t *engine = nullptr;
    http_headers_t headers;
    http_request_t request = {};
    call_t call = {};
};

TEST_F(CallPlacement, RefusesANewProgramInTheReservedPartOfTheQueue) {
    EXPECT_FALSE(choose());
    EXPECT_GT(call.engine_wait_ms, 0U);
}

// After an engine refused a program's call, the program has no recorded engine. Its next attempt
// must not be refused as that of a new program.
TEST_F(CallPlacement, AcceptsAStartedProgramWithoutARecordedEngine) {
    set(FIELD_PREVIOUS_TURN, "t-1");
    EXPECT_TRUE(choose());
}

// Turns that carry the whole prompt name no previous turn.
TEST_F(CallPlacement, AcceptsAProgramWithChargesOfOtherCalls) {
    call.turn.program_started = true;
    EXPECT_TRUE(choose());
}

TEST_F(CallPlacement, TreatsAnEmptyPreviousTurnAsNone) {
    set(FIELD_PREVIOUS_TURN, "");
    EXPECT_FALSE(choose());
}

} // namespace
