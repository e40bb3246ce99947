#include "common/codec.h"

#include <cbor.h>
#include <string.h>

enum { MAXIMUM_HEAD_LENGTH = 9 };

typedef enum { ITEM_OTHER, ITEM_UINT, ITEM_BYTES, ITEM_TEXT, ITEM_ARRAY, ITEM_BOOL } item_kind_t;

typedef struct {
    item_kind_t kind;
    uint64_t number;
    const uint8_t *data;
} item_t;

static void on_uint8(void *context, uint8_t value) {
    *(item_t *)context = (item_t){.kind = ITEM_UINT, .number = value};
}

static void on_uint16(void *context, uint16_t value) {
    *(item_t *)context = (item_t){.kind = ITEM_UINT, .number = value};
}

static void on_uint32(void *context, uint32_t value) {
    *(item_t *)context = (item_t){.kind = ITEM_UINT, .number = value};
}

static void on_uint64(void *context, uint64_t value) {
    *(item_t *)context = (item_t){.kind = ITEM_UINT, .number = value};
}

static void on_bytes(void *context, cbor_data data, size_t length) {
    *(item_t *)context = (item_t){.kind = ITEM_BYTES, .number = length, .data = data};
}

static void on_text(void *context, cbor_data data, size_t length) {
    *(item_t *)context = (item_t){.kind = ITEM_TEXT, .number = length, .data = data};
}

static void on_array(void *context, size_t length) {
    *(item_t *)context = (item_t){.kind = ITEM_ARRAY, .number = length};
}

static void on_bool(void *context, bool value) {
    *(item_t *)context = (item_t){.kind = ITEM_BOOL, .number = value};
}

void codec_start_encoding(codec_t *codec) {
    *codec = (codec_t){.output = g_byte_array_new()};
}

void codec_start_decoding(codec_t *codec, const void *data, size_t length) {
    *codec = (codec_t){.decoding = true, .data = data, .length = length};
}

GBytes *codec_finish(codec_t *codec) {
    g_assert(!codec->decoding);
    return g_byte_array_free_to_bytes(g_steal_pointer(&codec->output));
}

bool codec_at_end(const codec_t *codec) {
    return codec->decoding && !codec->failed && codec->position == codec->length;
}

bool codec_complete(const codec_t *codec) {
    return !codec->failed && codec->position == codec->length;
}

/** Decodes one item; a wrong kind or an unreadable head fails the codec. */
static item_t decode_item(codec_t *codec, item_kind_t kind) {
    item_t item = {.kind = ITEM_OTHER};
    if (codec->failed)
        return item;
    struct cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = on_uint8;
    callbacks.uint16 = on_uint16;
    callbacks.uint32 = on_uint32;
    callbacks.uint64 = on_uint64;
    callbacks.byte_string = on_bytes;
    callbacks.string = on_text;
    callbacks.array_start = on_array;
    callbacks.boolean = on_bool;
    struct cbor_decoder_result result = cbor_stream_decode(
        codec->data + codec->position, codec->length - codec->position, &callbacks, &item);
    if (result.status != CBOR_DECODER_FINISHED || item.kind != kind) {
        codec->failed = true;
        return (item_t){.kind = ITEM_OTHER};
    }
    codec->position += result.read;
    return item;
}

static void append_head(codec_t *codec, const uint8_t *head, size_t length) {
    g_byte_array_append(codec->output, head, (guint)length);
}

void codec_uint64(codec_t *codec, uint64_t *value) {
    if (codec->decoding) {
        *value = decode_item(codec, ITEM_UINT).number;
        return;
    }
    uint8_t head[MAXIMUM_HEAD_LENGTH];
    append_head(codec, head, cbor_encode_uint(*value, head, sizeof head));
}

void codec_uint32(codec_t *codec, uint32_t *value) {
    uint64_t wide = *value;
    codec_uint64(codec, &wide);
    if (wide > UINT32_MAX) {
        codec->failed = true;
        wide = 0;
    }
    *value = (uint32_t)wide;
}

void codec_int64(codec_t *codec, int64_t *value) {
    g_assert(codec->decoding || *value >= 0);
    uint64_t wide = codec->decoding ? 0 : (uint64_t)*value;
    codec_uint64(codec, &wide);
    if (wide > INT64_MAX) {
        codec->failed = true;
        wide = 0;
    }
    *value = (int64_t)wide;
}

void codec_bool(codec_t *codec, bool *value) {
    if (codec->decoding) {
        *value = decode_item(codec, ITEM_BOOL).number != 0;
        return;
    }
    uint8_t head[MAXIMUM_HEAD_LENGTH];
    append_head(codec, head, cbor_encode_bool(*value, head, sizeof head));
}

void codec_enum(codec_t *codec, unsigned *value, unsigned limit) {
    uint32_t number = codec->decoding ? 0 : *value;
    codec_uint32(codec, &number);
    if (number >= limit) {
        codec->failed = true;
        number = 0;
    }
    *value = number;
}

void codec_text(codec_t *codec, char **value) {
    if (!codec->decoding) {
        const char *text = *value != NULL ? *value : "";
        uint8_t head[MAXIMUM_HEAD_LENGTH];
        append_head(codec, head, cbor_encode_string_start(strlen(text), head, sizeof head));
        append_head(codec, (const uint8_t *)text, strlen(text));
        return;
    }
    item_t item = decode_item(codec, ITEM_TEXT);
    bool valid =
        item.kind == ITEM_TEXT && g_utf8_validate_len((const char *)item.data, item.number, NULL);
    codec->failed = codec->failed || !valid;
    *value = valid ? g_strndup((const char *)item.data, item.number) : g_strdup("");
}

void codec_bytes(codec_t *codec, GBytes **value) {
    if (codec->decoding) {
        item_t item = decode_item(codec, ITEM_BYTES);
        *value = g_bytes_new(item.data, item.number);
        return;
    }
    size_t length = 0;
    const void *data = *value != NULL ? g_bytes_get_data(*value, &length) : NULL;
    uint8_t head[MAXIMUM_HEAD_LENGTH];
    append_head(codec, head, cbor_encode_bytestring_start(length, head, sizeof head));
    append_head(codec, data, length);
}

void codec_count(codec_t *codec, uint32_t *value, uint32_t limit) {
    if (!codec->decoding) {
        uint8_t head[MAXIMUM_HEAD_LENGTH];
        append_head(codec, head, cbor_encode_array_start(*value, head, sizeof head));
        return;
    }
    uint64_t count = decode_item(codec, ITEM_ARRAY).number;
    if (count > limit || count > codec->length - codec->position) {
        codec->failed = true;
        count = 0;
    }
    *value = (uint32_t)count;
}
