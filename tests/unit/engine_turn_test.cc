// What a gateway makes of a call to an engine that is chosen by cost.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "gateway/engine_load.h"
#include "gateway/engine_turn.h"
}

namespace {

constexpr unsigned SLOTS = 6;

/** A gateway with one engine, whose queue is known to be full to three quarters. */
class EngineTurn : public testing::Test {
  protected:
    EngineTurn() {
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
        engine_limit_note_refused(&engine->limit, 5, 3 * SLOTS, SLOTS, uv_now(&loop) - 1000);
        engine->elsewhere = SLOTS + 2 * SLOTS * 3 / 4;
        http_headers_init(&headers);
        call.gateway = &gateway;
        call.id = "c-1";
        call.service_name = "models";
        call.request = &request;
        request.headers = &headers;
    }
    ~EngineTurn() override {
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
        backend_choice_t choice = {"models", nullptr, SLOTS};
        bool chosen = engine_turn_choose(&call, &choice, 7);
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

TEST_F(EngineTurn, TheRestOfAQueueIsNotForANewProgram) {
    EXPECT_FALSE(choose());
    EXPECT_GT(call.engine_free_ms, 0U);
}

// An engine that turned a program's call away is forgotten as its place; the caller's next try was
// taken for a new program, and refused without a send.
TEST_F(EngineTurn, AProgramThatLostItsPlaceIsStillUnderWay) {
    set(FIELD_PREVIOUS_TURN, "t-1");
    EXPECT_TRUE(choose());
}

// Turns of programs that bring their whole prompt name no turn before.
TEST_F(EngineTurn, AProgramWithChargesOfOtherCallsIsUnderWay) {
    call.turn.begun = true;
    EXPECT_TRUE(choose());
}

TEST_F(EngineTurn, AnEmptyPreviousTurnIsNone) {
    set(FIELD_PREVIOUS_TURN, "");
    EXPECT_FALSE(choose());
}

} // namespace
