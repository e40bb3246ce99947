/*
 * Malformed input on both HTTP interfaces and the peer port: a typed refusal, or a closed
 * connection where the bytes are no HTTP at all, and the next good request is served.
 */
#include "cluster_client.h"

#include <gtest/gtest.h>

extern "C" {
#include "node/peer_frame.h"
}

#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace {

Address node() {
    return addresses("NODES").at(0);
}

void expect_good_request() {
    Answer answer = request(node(), "GET", "/v1/programs/good", "");
    EXPECT_EQ(answer.status, 200u) << answer.body;
}

class BadInput : public testing::Test {
  protected:
    void SetUp() override {
        Answer answer =
            request(node(), "POST", "/v1/programs", R"({"id":"good","template":"payment-plan"})");
        ASSERT_EQ(answer.status, 201u) << answer.body;
    }
    void TearDown() override {
        expect_good_request();
    }
};

struct Case {
    const char *method;
    std::string path;
    std::string body;
    const char *code;
};

std::string model_call(const std::string &fields) {
    return R"({"kind":"model","messages":[{"role":"user","content":"x"}])" + fields + "}";
}

TEST_F(BadInput, CallersInterfaceRefusesWithTypedErrors) {
    const std::string call = "/v1/programs/good/calls/1";
    const std::string start = "/v1/programs";
    const Case cases[] = {
        {"POST", start, "", "bad_json"},
        {"POST", start, "{", "bad_json"},
        {"POST", start, "[1,2", "bad_json"},
        {"POST", start, "nonsense", "bad_json"},
        {"POST", start, R"({"id":"a","id":"b"})", "bad_json"},
        {"POST", start, std::string(100, '['), "bad_json"},
        {"POST", start, "{\"id\":\"\xc3\x28\"}", "bad_json"},
        {"POST", start, R"({"id":"a\u0000b","template":"basket"})", "bad_json"},
        {"POST", start, "[]", "bad_field"},
        {"POST", start, "{}", "bad_field"},
        {"POST", start, R"({"id":7,"template":"basket"})", "bad_field"},
        {"POST", start, R"({"id":"","template":"basket"})", "bad_field"},
        {"POST", start, R"({"id":"a/b","template":"payment-plan"})", "bad_field"},
        {"POST", start, R"({"id":"a~1","template":"payment-plan"})", "bad_field"},
        {"POST", start, R"({"id":"a","template":"none"})", "no_such_template"},
        {"POST", start, R"({"id":"a","template":"payment-plan","budget_tokens":-1})", "bad_field"},
        {"POST", start, R"({"id":"a","template":"payment-plan","budget_tokens":1e3})", "bad_field"},
        {"POST", start, R"({"id":"a","template":"payment-plan","parameters":[]})", "bad_field"},
        {"POST", start, R"({"id":"a","template":"payment-plan","color":"red"})", "unknown_field"},
        {"POST", start, R"({"id":"good","template":"account-review"})", "program_mismatch"},
        {"PUT", start, "{}", "method_not_allowed"},
        {"POST", "/v1/programs/good/calls/0", model_call(""), "bad_field"},
        {"POST", "/v1/programs/good/calls/x", model_call(""), "bad_field"},
        {"POST", "/v1/programs/good/calls/-1", model_call(""), "bad_field"},
        {"POST", "/v1/programs/good/calls/99999999999", model_call(""), "bad_field"},
        {"POST", "/v1/programs/none/calls/1", model_call(""), "no_such_program"},
        {"POST", "/v1/programs/a%20b/calls/1", model_call(""), "no_such_program"},
        {"GET", "/v1/programs/good/calls/5", "", "no_such_call"},
        {"GET", "/v1/programs/good/calls/1?from=x", "", "bad_field"},
        {"PATCH", call, "", "method_not_allowed"},
        {"POST", call, R"({"kind":"other"})", "bad_field"},
        {"POST", call, R"({"messages":[]})", "bad_field"},
        {"POST", call, R"({"kind":"model","messages":[]})", "bad_field"},
        {"POST", call, R"({"kind":"model","messages":["x"]})", "bad_field"},
        {"POST", call, R"({"kind":"model","messages":[{"role":"boss","content":"x"}]})",
         "bad_field"},
        {"POST", call, model_call(R"(,"max_tokens":0)"), "bad_field"},
        {"POST", call, model_call(R"(,"max_tokens":99999999999999999999)"), "bad_json"},
        {"POST", call, model_call(R"(,"stream":"yes")"), "bad_field"},
        {"POST", call, model_call(R"(,"timeout_ms":-5)"), "bad_field"},
        {"POST", call, model_call(R"(,"extra":1)"), "unknown_field"},
        {"POST", call, R"({"kind":"tool","tool":"../x"})", "bad_field"},
        {"POST", call, R"({"kind":"tool","tool":"none"})", "no_such_service"},
        {"POST", call, R"({"kind":"tool","tool":"catalogue"})", "no_such_service"},
        {"POST", call, R"({"kind":"tool","tool":"ledger","arguments":"x"})", "bad_field"},
        {"POST", call, R"({"kind":"tool","tool":"ledger","stream":true})", "bad_field"},
        {"POST", call, R"({"kind":"subagent","template":"none"})", "no_such_template"},
        {"POST", "/v1/services/orders/x", "{}", "no_such_service"},
        {"GET", "/v1/services/orders/x", "", "method_not_allowed"},
        {"GET", "/v1/elsewhere", "", "no_such_route"},
        {"GET", "/v1/", "", "no_such_route"},
        {"POST", start, std::string(2 << 20, 'x'), "body_too_large"},
    };
    for (const Case &row : cases) {
        Answer answer = request(node(), row.method, row.path, row.body);
        EXPECT_GE(answer.status, 400u) << row.path << " " << row.body.substr(0, 80);
        EXPECT_EQ(field(answer.body, "error.code"), row.code)
            << row.path << " " << row.body.substr(0, 80) << answer.body;
        EXPECT_EQ(field(answer.body, "error.outcome"), "not_run");
    }
}

TEST_F(BadInput, OperatorsInterfaceRefusesWithTypedErrors) {
    const std::string edits = "/admin/v1/edits";
    const std::string change = R"({"id":"e","changes":[{"key":"template/x","text":)";
    const Case cases[] = {
        {"POST", edits, "", "bad_json"},
        {"POST", edits, "{\"id\":", "bad_json"},
        {"POST", edits, std::string(64, '{'), "bad_json"},
        {"POST", edits, "[]", "bad_field"},
        {"POST", edits, R"({"id":"e"})", "bad_field"},
        {"POST", edits, R"({"id":"e","changes":[]})", "bad_field"},
        {"POST", edits, R"({"id":"e","changes":[7]})", "bad_field"},
        {"POST", edits, R"({"id":"e","changes":[{"key":"template/x"}]})", "bad_field"},
        {"POST", edits, R"({"id":"e","changes":[{"key":"x","text":"{}"}]})", "edit_invalid"},
        {"POST", edits, change + R"("{"}]})", "edit_invalid"},
        {"POST", edits, change + R"("{}"}]})", "edit_invalid"},
        {"POST", edits, change + R"("{}","base_revision":-1}]})", "bad_field"},
        {"POST", edits, R"({"id":"e","changes":[{"key":"template/payment-plan","text":""}]})",
         "edit_conflict"},
        {"POST", edits, R"({"id":"e","surprise":1,"changes":[{"key":"a","text":""}]})",
         "unknown_field"},
        {"POST", "/admin/v1/rollback", R"({"id":"e","revision":"one"})", "bad_field"},
        {"POST", "/admin/v1/rollback", R"({"id":"e","revision":999999})", "no_such_object"},
        {"GET", "/admin/v1/elsewhere", "", "no_such_route"},
        {"GET", "/admin/v1/programs/concord", "", "no_such_route"},
        {"GET", "/admin/v1/programs/concord/none", "", "no_such_program"},
        {"DELETE", "/admin/v1/members", "", "method_not_allowed"},
        {"POST", edits, std::string(2 << 20, 'x'), "body_too_large"},
        {"GET", "/nowhere", "", "no_such_route"},
    };
    for (const Case &row : cases) {
        Answer answer = request(node(), row.method, row.path, row.body, environment("ADMIN_TOKEN"));
        EXPECT_EQ(field(answer.body, "error.code"), row.code)
            << row.path << " " << row.body.substr(0, 80) << answer.body;
    }
}

TEST_F(BadInput, TokensKeepTenantsAndOperatorsApart) {
    EXPECT_EQ(request(node(), "GET", "/v1/programs/good", "", "wrong").status, 401u);
    EXPECT_EQ(request(node(), "GET", "/v1/programs/good", "", environment("ADMIN_TOKEN")).status,
              401u);
    EXPECT_EQ(request(node(), "GET", "/admin/v1/members", "", environment("TOKEN")).status, 401u);
    Answer other = request(node(), "GET", "/v1/programs/good", "", "token-nashua");
    EXPECT_EQ(field(other.body, "error.code"), "no_such_program") << "another tenant's program";
    other = request(node(), "DELETE", "/v1/programs/good", "", "token-nashua");
    EXPECT_EQ(field(other.body, "error.code"), "no_such_program");
}

TEST_F(BadInput, BytesThatAreNoHttpHarmNobody) {
    std::mt19937 random(3);
    for (int i = 0; i < 40; i++) {
        int descriptor = dial(node());
        ASSERT_GE(descriptor, 0);
        std::string bytes;
        for (unsigned j = 0; j < 1 + random() % 300; j++)
            bytes += static_cast<char>(random());
        bytes += "\r\n\r\n";
        send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        shutdown(descriptor, SHUT_WR);
        std::string answer = read_all(descriptor, 30);
        EXPECT_EQ(answer.find("200 OK"), std::string::npos);
        close(descriptor);
    }
}

TEST_F(BadInput, HalfARequestThenSilenceIsCutOffAndHoldsNobodyUp) {
    const std::string half[] = {
        "POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Le",
        "POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"id\":",
        "G",
    };
    std::vector<int> descriptors;
    for (const std::string &bytes : half) {
        descriptors.push_back(dial(node()));
        send(descriptors.back(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    expect_good_request();
    for (int descriptor : descriptors) {
        read_all(descriptor, 60);
        char byte;
        EXPECT_EQ(recv(descriptor, &byte, 1, MSG_DONTWAIT), 0) << "closed by the node";
        close(descriptor);
    }
}

GBytes *sample_message(unsigned kind) {
    peer_message_t *message;
    switch (kind % 5) {
    case 0: {
        auto *membership = g_new0(membership_message_t, 1);
        membership->members = g_ptr_array_new_with_free_func((GDestroyNotify)member_free);
        member_t member = {};
        member.instance = 77;
        member.name = const_cast<char *>("ghost");
        member.zone = const_cast<char *>("a");
        member.address = const_cast<char *>("127.0.0.1");
        g_ptr_array_add(membership->members, member_copy(&member));
        message = peer_message_new(PEER_MEMBERSHIP, membership);
        break;
    }
    case 1: {
        raft_message_t *raft = raft_message_new(RAFT_REQUEST_APPEND);
        raft->entries = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
        g_ptr_array_add(raft->entries, raft_entry_new(1, 1, RAFT_ENTRY_COMMAND, nullptr));
        message = peer_message_new(PEER_RAFT, raft);
        break;
    }
    case 2:
        message = peer_message_new(PEER_REQUEST_OPERATION,
                                   operation_new(OPERATION_CALL, "concord", "concord:good"));
        break;
    case 3:
        message =
            peer_message_new(PEER_RESPONSE_OPERATION, answer_new(5, RUDDERWAY_ERROR_NOT_LEADER));
        break;
    default:
        message = peer_message_new(PEER_REQUEST_SETTLE, settle_new(1, nullptr));
        break;
    }
    message->from = 77;
    GBytes *bytes = peer_message_encode(message);
    peer_message_free(message);
    return bytes;
}

/** Sends one frame on a new connection, authentic unless @p forged. */
bool send_frame(const Address &peer, GBytes *content, bool forged) {
    int descriptor = dial(peer);
    if (descriptor < 0)
        return false;
    peer_frame_state_t state = {};
    std::string key = environment("CLUSTER_KEY");
    for (size_t i = 0; i < PEER_KEY_BYTES; i++)
        state.key[i] = static_cast<uint8_t>(std::stoul(key.substr(2 * i, 2), nullptr, 16));
    ssize_t got = recv(descriptor, state.nonce, PEER_NONCE_BYTES, MSG_WAITALL);
    if (forged)
        state.key[0] ^= 1;
    GByteArray *output = g_byte_array_new();
    peer_frame_append(&state, output, content);
    bool sent = send(descriptor, output->data, output->len, MSG_NOSIGNAL) > 0;
    g_byte_array_unref(output);
    close(descriptor);
    return sent && got == PEER_NONCE_BYTES;
}

TEST_F(BadInput, TenThousandMutatedFramesOnThePeerPort) {
    Address peer = addresses("PEERS").at(0);
    std::mt19937_64 random(11);
    for (unsigned i = 0; i < 10000; i++) {
        GBytes *bytes = sample_message(i);
        size_t length;
        const auto *data = static_cast<const uint8_t *>(g_bytes_get_data(bytes, &length));
        std::vector<uint8_t> mutated(data, data + length);
        g_bytes_unref(bytes);
        for (unsigned j = 0; j <= random() % 4; j++)
            mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
        if (random() % 5 == 0)
            mutated.resize(random() % mutated.size());
        GBytes *content = g_bytes_new(mutated.data(), mutated.size());
        ASSERT_TRUE(send_frame(peer, content, random() % 8 == 0)) << i;
        g_bytes_unref(content);
        if (i % 1000 == 999)
            expect_good_request();
    }
    for (unsigned i = 0; i < 100; i++) {
        int descriptor = dial(peer);
        ASSERT_GE(descriptor, 0);
        uint8_t head[64];
        for (uint8_t &byte : head)
            byte = static_cast<uint8_t>(random());
        send(descriptor, head, sizeof head, MSG_NOSIGNAL);
        close(descriptor);
    }
}

} // namespace
