#include "core/configuration/configuration.h"

enum {
    EDIT_CHANGES_MAXIMUM = 1000,
    EDIT_TEXT_MAXIMUM = 256 * 1024,
    EDIT_NAME_MAXIMUM = 64,
    EDIT_KEY_MAXIMUM = 80,
};

static void change_free(edit_change_t *change) {
    g_free(change->key);
    g_free(change->text);
    g_free(change);
}

edit_t *edit_new(const char *id, const char *author, int64_t time_ms) {
    edit_t *edit = g_new0(edit_t, 1);
    edit->id = g_strdup(id);
    edit->author = g_strdup(author);
    edit->time_ms = time_ms;
    edit->changes = g_ptr_array_new_with_free_func((GDestroyNotify)change_free);
    return edit;
}

void edit_add(edit_t *edit, const char *key, const char *text, uint64_t base_revision) {
    edit_change_t *change = g_new0(edit_change_t, 1);
    change->key = g_strdup(key);
    change->text = g_strdup(text);
    change->base_revision = base_revision;
    g_ptr_array_add(edit->changes, change);
}

void edit_free(edit_t *edit) {
    g_free(edit->id);
    g_free(edit->author);
    g_ptr_array_unref(edit->changes);
    g_free(edit);
}

void edit_codec(codec_t *codec, edit_t *edit) {
    uint32_t count = edit->changes->len;
    codec_uint64(codec, &edit->revision);
    codec_text(codec, &edit->id);
    codec_text(codec, &edit->author);
    codec_int64(codec, &edit->time_ms);
    codec_count(codec, &count, EDIT_CHANGES_MAXIMUM);
    for (uint32_t i = 0; i < count && !codec->failed; i++) {
        if (codec->decoding)
            g_ptr_array_add(edit->changes, g_new0(edit_change_t, 1));
        edit_change_t *change = g_ptr_array_index(edit->changes, i);
        codec_text(codec, &change->key);
        codec_text(codec, &change->text);
        codec_uint64(codec, &change->base_revision);
    }
}

GBytes *edit_encode(edit_t *edit) {
    codec_t codec;
    codec_start_encoding(&codec);
    edit_codec(&codec, edit);
    return codec_finish(&codec);
}

edit_t *edit_decode(GBytes *bytes) {
    codec_t codec;
    size_t length;
    const void *data = g_bytes_get_data(bytes, &length);
    edit_t *edit = edit_new(NULL, NULL, 0);
    codec_start_decoding(&codec, data, length);
    edit_codec(&codec, edit);
    if (!codec_complete(&codec))
        g_clear_pointer(&edit, edit_free);
    return edit;
}

json_t *edit_to_json(const edit_t *edit) {
    json_t *changes = json_array();
    for (guint i = 0; i < edit->changes->len; i++) {
        const edit_change_t *change = g_ptr_array_index(edit->changes, i);
        json_array_append_new(changes,
                              json_pack("{s:s, s:s, s:I}", "key", change->key, "text", change->text,
                                        "base_revision", (json_int_t)change->base_revision));
    }
    return json_pack("{s:I, s:s, s:s, s:I, s:o}", "revision", (json_int_t)edit->revision, "id",
                     edit->id, "author", edit->author, "time_ms", (json_int_t)edit->time_ms,
                     "changes", changes);
}

static bool add_change_from_json(edit_t *edit, const json_t *value, GError **error) {
    json_reader_t reader;
    json_reader_start(&reader, value, "changes.", error);
    const char *key = json_reader_text(&reader, "key", true, 1, EDIT_KEY_MAXIMUM);
    const char *text = json_reader_text(&reader, "text", true, 0, EDIT_TEXT_MAXIMUM);
    int64_t base = json_reader_integer(&reader, "base_revision", 0, INT64_MAX, 0);
    if (!json_reader_finish(&reader))
        return false;
    edit_add(edit, key, text, (uint64_t)base);
    return true;
}

edit_t *edit_from_json(const json_t *value, GError **error) {
    json_reader_t reader;
    json_reader_start(&reader, value, "", error);
    int64_t revision = json_reader_integer(&reader, "revision", 0, INT64_MAX, 0);
    const char *id = json_reader_text(&reader, "id", true, 1, EDIT_NAME_MAXIMUM);
    const char *author = json_reader_text(&reader, "author", false, 1, EDIT_NAME_MAXIMUM);
    int64_t time_ms = json_reader_integer(&reader, "time_ms", 0, INT64_MAX, 0);
    const json_t *changes = json_reader_value(&reader, "changes", JSON_ARRAY, true);
    if (changes != NULL &&
        (json_array_size(changes) == 0 || json_array_size(changes) > EDIT_CHANGES_MAXIMUM))
        json_reader_fail(&reader, "changes", "length out of range");
    if (!json_reader_finish(&reader))
        return NULL;
    edit_t *edit = edit_new(id, author != NULL ? author : "", time_ms);
    edit->revision = (uint64_t)revision;
    for (size_t i = 0; i < json_array_size(changes); i++) {
        if (add_change_from_json(edit, json_array_get(changes, i), error))
            continue;
        edit_free(edit);
        return NULL;
    }
    return edit;
}
