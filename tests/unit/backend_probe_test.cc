// Which back ends count as unreachable (backend_probe.h), over the loopback interface.
#include <glib.h>

#include <memory>
#include <string>

extern "C" {
#include "gateway/backend_check.h"
#include "gateway/backend_probe.h"
}

#include <gtest/gtest.h>

#include "loopback_port.h"

namespace {

class BackendProbe : public testing::Test {
  protected:
    void SetUp() override {
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "here", "gateway");
    }
    void TearDown() override {
        backends_clear(&backends);
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
    backend_t *add(const char *instance, const Port &port) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance);
        record->service = g_strdup("s");
        record->zone = g_strdup("here");
        record->address = port.address;
        backends_update(&backends, record);
        return static_cast<backend_t *>(g_hash_table_lookup(backends.by_instance, instance));
    }
    /** Probes as a stalled call does, for two probes' time. */
    bool found_unreachable(backend_t *backend) {
        uv_update_time(&loop);
        uint64_t begun_at = uv_now(&loop);
        while (uv_now(&loop) < begun_at + 1500 &&
               !backend_found_unreachable_since(backend, begun_at)) {
            backend_probe(backend);
            uv_run(&loop, UV_RUN_NOWAIT);
            uv_sleep(10);
            uv_update_time(&loop);
        }
        return backend_found_unreachable_since(backend, begun_at);
    }
    uv_loop_t loop = {};
    backends_t backends = {};
};

TEST_F(BackendProbe, ABackEndIsReachableAsLongAsNoConnectionComesUpAnywhere) {
    Port silent(Port::SILENT), other(Port::SILENT);
    backend_t *backend = add("silent", silent);
    add("other", other)->observed.last_received_at = uv_now(&loop);
    EXPECT_FALSE(found_unreachable(backend)) << "this gateway's connections may be delayed";
}

TEST_F(BackendProbe, ABackEndIsUnreachableIfAnotherOneIsReached) {
    Port silent(Port::SILENT), other(Port::ACCEPTS);
    backend_t *backend = add("silent", silent);
    add("other", other)->observed.last_received_at = uv_now(&loop);
    EXPECT_TRUE(found_unreachable(backend));
}

// Guards against a back end that has ended and counts as reachable since the one that last sent
// something, by which the network is judged, has ended too.
TEST_F(BackendProbe, ABackEndIsUnreachableThoughTheLastSenderIsToo) {
    Port silent(Port::SILENT), last(Port::SILENT), other(Port::ACCEPTS);
    backend_t *backend = add("silent", silent);
    add("last", last)->observed.last_received_at = uv_now(&loop);
    add("other", other)->observed.last_received_at = uv_now(&loop) - 1;
    EXPECT_TRUE(found_unreachable(backend));
}

// Guards against a back end that counts as alive since its listener had taken a connection that its
// end then closed. The connection must come up before the check looks, hence several attempts.
TEST_F(BackendProbe, AConnectionThatIsClosedAtOnceShowsNoLife) {
    static const backend_check_handler_t handler = {
        nullptr, [](void *found, backend_check_result_t result, uint64_t) {
            *static_cast<int *>(found) = result;
        }};
    int result = BACKEND_CHECK_ACCEPTS;
    for (unsigned attempt = 0; attempt < 20 && result != BACKEND_CHECK_ENDED; attempt++) {
        auto port = std::make_unique<Port>(Port::ACCEPTS);
        backend_t *backend = add(("ends-" + std::to_string(attempt)).c_str(), *port);
        uv_update_time(&loop);
        result = -1;
        backend_check_begin(backend, &handler, &result);
        uv_run(&loop, UV_RUN_NOWAIT);
        port.reset();
        while (result < 0)
            uv_run(&loop, UV_RUN_ONCE);
    }
    EXPECT_EQ(result, BACKEND_CHECK_ENDED);
}

TEST_F(BackendProbe, ABackEndWhosePortRefusesHasEnded) {
    Port refusing(Port::REFUSES), other(Port::SILENT);
    backend_t *backend = add("refusing", refusing);
    add("other", other)->observed.last_received_at = uv_now(&loop);
    EXPECT_TRUE(found_unreachable(backend));
}

TEST_F(BackendProbe, ABackEndThatAcceptsIsReachable) {
    Port accepting(Port::ACCEPTS), other(Port::ACCEPTS);
    backend_t *backend = add("accepting", accepting);
    add("other", other);
    EXPECT_FALSE(found_unreachable(backend));
}

} // namespace
