#include "node/peer_message.h"

enum { EDITS_MAXIMUM = 4096 };

settle_t *settle_new(uint64_t id, GBytes *command) {
    settle_t *settle = g_new0(settle_t, 1);
    settle->id = id;
    settle->command = command != NULL ? g_bytes_ref(command) : NULL;
    return settle;
}

configuration_news_t *configuration_news_new(uint64_t after_revision) {
    configuration_news_t *news = g_new0(configuration_news_t, 1);
    news->after_revision = after_revision;
    news->edits = g_ptr_array_new_with_free_func((GDestroyNotify)edit_free);
    return news;
}

static void settle_free(settle_t *settle) {
    g_clear_pointer(&settle->command, g_bytes_unref);
    g_free(settle);
}

static void configuration_news_free(configuration_news_t *news) {
    g_clear_pointer(&news->edits, g_ptr_array_unref);
    g_free(news);
}

static void settle_codec(codec_t *codec, settle_t *settle) {
    codec_uint64(codec, &settle->id);
    codec_bytes(codec, &settle->command);
}

static void notice_codec(codec_t *codec, partition_notice_t *notice) {
    codec_uint32(codec, &notice->partition);
    codec_uint64(codec, &notice->term);
    codec_uint64(codec, &notice->configuration_index);
    codec_uint64(codec, &notice->leader);
    codec_bool(codec, &notice->answers);
    raft_configuration_codec(codec, &notice->configuration);
}

static void configuration_news_codec(codec_t *codec, configuration_news_t *news) {
    uint32_t count = news->edits != NULL ? news->edits->len : 0;
    codec_uint64(codec, &news->after_revision);
    codec_bool(codec, &news->snapshot);
    codec_count(codec, &count, EDITS_MAXIMUM);
    if (codec->decoding)
        news->edits = g_ptr_array_new_with_free_func((GDestroyNotify)edit_free);
    for (uint32_t i = 0; i < count && !codec->failed; i++) {
        if (codec->decoding)
            g_ptr_array_add(news->edits, edit_new(NULL, NULL, 0));
        edit_codec(codec, g_ptr_array_index(news->edits, i));
    }
}

typedef struct {
    size_t size;
    void (*codec)(codec_t *codec, void *record);
    void (*free)(void *record);
} kind_row_t;

#define KIND_ROW(type, codec_function, free_function)                                              \
    {                                                                                              \
        sizeof(type), (void (*)(codec_t *, void *))(codec_function),                               \
            (void (*)(void *))(free_function)                                                      \
    }

static const kind_row_t kind_rows[PEER_KINDS] = {
    [PEER_MEMBERSHIP] =
        KIND_ROW(membership_message_t, membership_message_codec, membership_message_free),
    [PEER_RAFT] = KIND_ROW(raft_message_t, raft_message_codec, raft_message_free),
    [PEER_REQUEST_OPERATION] = KIND_ROW(operation_t, operation_codec, operation_free),
    [PEER_RESPONSE_OPERATION] = KIND_ROW(answer_t, answer_codec, answer_free),
    [PEER_RESPONSE_CHUNK] = KIND_ROW(chunk_t, chunk_codec, chunk_free),
    [PEER_REQUEST_SETTLE] = KIND_ROW(settle_t, settle_codec, settle_free),
    [PEER_RESPONSE_SETTLE] = KIND_ROW(settle_t, settle_codec, settle_free),
    [PEER_REQUEST_NOTICE] = KIND_ROW(partition_notice_t, notice_codec, g_free),
    [PEER_NOTICE_PARTITION] = KIND_ROW(partition_notice_t, notice_codec, g_free),
    [PEER_REQUEST_CONFIGURATION] =
        KIND_ROW(configuration_news_t, configuration_news_codec, configuration_news_free),
    [PEER_RESPONSE_CONFIGURATION] =
        KIND_ROW(configuration_news_t, configuration_news_codec, configuration_news_free),
};

peer_message_t *peer_message_new(peer_kind_t kind, void *record) {
    peer_message_t *message = g_new0(peer_message_t, 1);
    message->kind = kind;
    message->record = record;
    return message;
}

void peer_message_free(peer_message_t *message) {
    if (message->record != NULL)
        kind_rows[message->kind].free(message->record);
    g_free(message);
}

static void head_codec(codec_t *codec, peer_message_t *message) {
    uint32_t version = PEER_VERSION;
    unsigned kind = message->kind;
    codec_uint32(codec, &version);
    codec_enum(codec, &kind, PEER_KINDS);
    codec_uint64(codec, &message->from);
    codec_uint64(codec, &message->to);
    if (version != PEER_VERSION)
        codec->failed = true;
    message->kind = (peer_kind_t)kind;
}

GBytes *peer_message_encode(peer_message_t *message) {
    codec_t codec;
    codec_start_encoding(&codec);
    head_codec(&codec, message);
    kind_rows[message->kind].codec(&codec, message->record);
    return codec_finish(&codec);
}

peer_message_t *peer_message_decode(const void *data, size_t length, GError **error) {
    codec_t codec;
    peer_message_t *message = g_new0(peer_message_t, 1);
    codec_start_decoding(&codec, data, length);
    head_codec(&codec, message);
    if (!codec.failed) {
        const kind_row_t *row = &kind_rows[message->kind];
        message->record = g_malloc0(row->size);
        row->codec(&codec, message->record);
    }
    if (codec_complete(&codec))
        return message;
    error_set(error, RUDDERWAY_ERROR_FRAME_INVALID, "kind %u, byte %zu of %zu",
              (unsigned)message->kind, codec.position, length);
    peer_message_free(message);
    return NULL;
}
