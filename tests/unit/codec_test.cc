#include <glib.h>

extern "C" {
#include "common/codec.h"
#include "core/program/command.h"
#include "node/peer_message.h"
}

#include <gtest/gtest.h>

#include <random>

namespace {

TEST(Codec, RefusesLengthsBeyondTheInput) {
    const uint8_t huge_array[] = {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff};
    const uint8_t huge_text[] = {0x7b, 0x00, 0x00, 0x00, 0xff, 0xff, 0xff, 0xff, 0xff, 'a'};
    codec_t codec;
    uint32_t count;
    codec_start_decoding(&codec, huge_array, sizeof huge_array);
    codec_count(&codec, &count, UINT32_MAX);
    EXPECT_TRUE(codec.failed);
    EXPECT_EQ(count, 0u);
    char *text;
    codec_start_decoding(&codec, huge_text, sizeof huge_text);
    codec_text(&codec, &text);
    EXPECT_TRUE(codec.failed);
    EXPECT_STREQ(text, "");
    g_free(text);
}

TEST(Codec, RefusesTextThatIsNotUtf8AndWrongTypes) {
    const uint8_t bad_text[] = {0x62, 0xc3, 0x28};
    const uint8_t number[] = {0x05};
    codec_t codec;
    char *text;
    codec_start_decoding(&codec, bad_text, sizeof bad_text);
    codec_text(&codec, &text);
    EXPECT_TRUE(codec.failed);
    g_free(text);
    codec_start_decoding(&codec, number, sizeof number);
    codec_text(&codec, &text);
    EXPECT_TRUE(codec.failed);
    g_free(text);
}

TEST(Codec, CommandsSurviveARoundTrip) {
    command_t *command = command_new(COMMAND_INTENT, "t:p", 123456);
    command->call = 7;
    command->attempt = 2;
    command->call_kind = CALL_MODEL;
    command->repeatable = true;
    command->reserve = 1ULL << 40;
    command->digest = UINT64_MAX;
    command->backend = g_strdup("engine");
    command->runner = 99;
    command->body = g_bytes_new("[]", 2);
    GBytes *bytes = command_encode(command);
    command_t *copy = command_decode(bytes);
    ASSERT_NE(copy, nullptr);
    EXPECT_STREQ(copy->program, "t:p");
    EXPECT_EQ(copy->call, 7u);
    EXPECT_EQ(copy->reserve, 1ULL << 40);
    EXPECT_EQ(copy->digest, UINT64_MAX);
    EXPECT_STREQ(copy->backend, "engine");
    EXPECT_TRUE(g_bytes_equal(copy->body, command->body));
    command_free(copy);
    command_free(command);
    g_bytes_unref(bytes);
}

peer_message_t *sample(unsigned kind) {
    raft_message_t *raft = raft_message_new(RAFT_REQUEST_APPEND);
    raft->entries = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
    GBytes *payload = g_bytes_new("payload", 7);
    g_ptr_array_add(raft->entries, raft_entry_new(1, 1, RAFT_ENTRY_COMMAND, payload));
    g_bytes_unref(payload);
    if (kind == 0)
        return peer_message_new(PEER_RAFT, raft);
    raft_message_free(raft);
    if (kind == 1)
        return peer_message_new(PEER_REQUEST_OPERATION, operation_new(OPERATION_CALL, "t", "t:p"));
    configuration_news_t *news = configuration_news_new(3);
    g_ptr_array_add(news->edits, edit_new("id", "me", 1));
    return peer_message_new(PEER_RESPONSE_CONFIGURATION, news);
}

/** Whatever the bytes, decoding ends, and what it accepts can be encoded again. */
TEST(PeerMessage, MutatedMessagesAreDecodedOrRefused) {
    std::mt19937_64 random(7);
    unsigned refused = 0;
    for (unsigned i = 0; i < 20000; i++) {
        peer_message_t *message = sample(i % 3);
        GBytes *bytes = peer_message_encode(message);
        peer_message_free(message);
        size_t length;
        const uint8_t *data = static_cast<const uint8_t *>(g_bytes_get_data(bytes, &length));
        std::vector<uint8_t> mutated(data, data + length);
        g_bytes_unref(bytes);
        for (unsigned j = 0; j <= random() % 4; j++)
            mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
        if (random() % 4 == 0)
            mutated.resize(random() % mutated.size());
        GError *error = nullptr;
        message = peer_message_decode(mutated.data(), mutated.size(), &error);
        if (message == nullptr) {
            refused++;
            ASSERT_NE(error, nullptr);
            EXPECT_EQ(error->code, RUDDERWAY_ERROR_FRAME_INVALID);
            g_error_free(error);
            continue;
        }
        g_bytes_unref(peer_message_encode(message));
        peer_message_free(message);
    }
    EXPECT_GT(refused, 5000u);
}

} // namespace
