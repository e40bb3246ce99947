#include "core/membership/membership.h"

enum { MEMBERS_MAXIMUM = 20000 };

member_t *member_copy(const member_t *member) {
    member_t *copy = g_new0(member_t, 1);
    *copy = *member;
    copy->name = g_strdup(member->name);
    copy->zone = g_strdup(member->zone);
    copy->address = g_strdup(member->address);
    return copy;
}

void member_free(member_t *member) {
    g_free(member->name);
    g_free(member->zone);
    g_free(member->address);
    g_free(member);
}

void membership_message_free(membership_message_t *message) {
    g_free(message->address);
    g_clear_pointer(&message->members, g_ptr_array_unref);
    g_free(message);
}

void membership_output_init(membership_output_t *output) {
    output->messages = g_ptr_array_new_with_free_func((GDestroyNotify)membership_message_free);
    output->changed = g_ptr_array_new_with_free_func((GDestroyNotify)member_free);
}

void membership_output_clear(membership_output_t *output) {
    g_ptr_array_unref(output->messages);
    g_ptr_array_unref(output->changed);
}

void member_codec(codec_t *codec, member_t *member) {
    unsigned state = member->state;
    codec_uint64(codec, &member->instance);
    codec_text(codec, &member->name);
    codec_text(codec, &member->zone);
    codec_text(codec, &member->address);
    codec_uint32(codec, &member->peer_port);
    codec_uint32(codec, &member->http_port);
    codec_uint64(codec, &member->incarnation);
    codec_bool(codec, &member->leaving);
    codec_enum(codec, &state, MEMBER_STATES);
    member->state = (member_state_t)state;
}

void membership_message_codec(codec_t *codec, membership_message_t *message) {
    unsigned kind = message->kind;
    codec_enum(codec, &kind, MEMBERSHIP_MESSAGE_KINDS);
    message->kind = (membership_message_kind_t)kind;
    codec_uint64(codec, &message->sequence);
    codec_uint64(codec, &message->target);
    codec_uint64(codec, &message->configuration_revision);
    uint32_t count = message->members != NULL ? message->members->len : 0;
    codec_count(codec, &count, MEMBERS_MAXIMUM);
    if (message->members == NULL)
        message->members = g_ptr_array_new_with_free_func((GDestroyNotify)member_free);
    for (uint32_t i = 0; i < count && !codec->failed; i++) {
        if (codec->decoding)
            g_ptr_array_add(message->members, g_new0(member_t, 1));
        member_codec(codec, g_ptr_array_index(message->members, i));
    }
    if (message->members->len == 0)
        codec->failed = true;
}
