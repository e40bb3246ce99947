#include "cluster/message.h"

#include "common/codec.h"

enum { TURNS_MAXIMUM = 100000, IDS_MAXIMUM = 10000000, CHARGES_MAXIMUM = 10000000 };

static void clear_turn(gpointer data) {
    turn_clear(data);
}

static void clear_charge(gpointer data) {
    budget_charge_clear(data);
}

void message_init(message_t *message, message_type_t type) {
    *message = (message_t){.type = type};
    message->turns = g_array_new(FALSE, TRUE, sizeof(turn_t));
    g_array_set_clear_func(message->turns, clear_turn);
    message->charges = g_array_new(FALSE, TRUE, sizeof(budget_charge_t));
    g_array_set_clear_func(message->charges, clear_charge);
    message->ids = g_ptr_array_new_with_free_func(g_free);
    message->sources = g_ptr_array_new_with_free_func(g_free);
}

void message_clear(message_t *message) {
    budget_charge_clear(&message->charge);
    g_free(message->turn_id);
    g_free(message->tenant);
    if (message->group != NULL)
        g_bytes_unref(message->group);
    if (message->directory != NULL)
        g_bytes_unref(message->directory);
    if (message->digest != NULL)
        g_bytes_unref(message->digest);
    g_array_free(message->turns, TRUE);
    g_array_free(message->charges, TRUE);
    g_ptr_array_free(message->ids, TRUE);
    g_ptr_array_free(message->sources, TRUE);
}

void message_add_turn(message_t *message, const turn_t *turn) {
    turn_t copy;
    turn_copy(&copy, turn);
    g_array_append_val(message->turns, copy);
}

static void turn_codec(codec_t *codec, turn_t *turn) {
    codec_text(codec, &turn->id);
    codec_text(codec, &turn->parent);
    codec_bytes(codec, &turn->input);
    codec_bytes(codec, &turn->output);
    codec_uint32(codec, &turn->retention_ms);
}

static void charge_codec(codec_t *codec, budget_charge_t *charge) {
    codec_text(codec, &charge->program);
    codec_text(codec, &charge->call);
    codec_uint64(codec, &charge->most);
    codec_uint64(codec, &charge->spent);
    codec_bool(codec, &charge->settled);
}

static void turns_codec(codec_t *codec, GArray *turns) {
    uint32_t count = turns->len;
    codec_count(codec, &count, TURNS_MAXIMUM);
    if (codec->decoding && !codec->failed)
        g_array_set_size(turns, count);
    for (uint32_t i = 0; i < turns->len && !codec->failed; i++)
        turn_codec(codec, &g_array_index(turns, turn_t, i));
}

static bool any_tenant(const GArray *turns) {
    for (guint i = 0; i < turns->len; i++) {
        const char *tenant = g_array_index(turns, turn_t, i).tenant;
        if (tenant != NULL && *tenant != '\0')
            return true;
    }
    return false;
}

/**
 * The turns' tenants stand behind all else, if any turn has one: records of the log that were
 * written before turns had tenants end without.
 */
static void tenants_codec(codec_t *codec, GArray *turns) {
    if (codec_at_end(codec) || (!codec->decoding && !any_tenant(turns)))
        return;
    for (uint32_t i = 0; i < turns->len && !codec->failed; i++)
        codec_text(codec, &g_array_index(turns, turn_t, i).tenant);
}

static void charges_codec(codec_t *codec, GArray *charges) {
    uint32_t count = charges->len;
    codec_count(codec, &count, CHARGES_MAXIMUM);
    if (codec->decoding && !codec->failed)
        g_array_set_size(charges, count);
    for (uint32_t i = 0; i < charges->len && !codec->failed; i++)
        charge_codec(codec, &g_array_index(charges, budget_charge_t, i));
}

static void ids_codec(codec_t *codec, GPtrArray *ids) {
    uint32_t count = ids->len;
    codec_count(codec, &count, IDS_MAXIMUM);
    if (codec->decoding && !codec->failed)
        g_ptr_array_set_size(ids, (gint)count);
    for (uint32_t i = 0; i < ids->len && !codec->failed; i++) {
        char *id = g_ptr_array_index(ids, i);
        codec_text(codec, &id);
        g_ptr_array_index(ids, i) = id;
    }
}

/** Stands behind all else, unless it is 0: members that don't know pages get an index whole. */
static void page_codec(codec_t *codec, message_t *message) {
    if (!codec_at_end(codec) && (codec->decoding || message->page > 0))
        codec_uint32(codec, &message->page);
}

static void verdict_codec(codec_t *codec, verdict_t *verdict) {
    unsigned value = *verdict;
    codec_enum(codec, &value, VERDICT_COUNT);
    *verdict = (verdict_t)value;
}

static void limit_codec(codec_t *codec, quota_limit_t *limit) {
    codec_uint64(codec, &limit->version);
    codec_uint32(codec, &limit->rate);
    codec_uint32(codec, &limit->burst);
}

/** Stands behind all else, unless it is 1: earlier versions don't know it. */
static void crash_number_codec(codec_t *codec, message_t *message) {
    uint32_t number = message->crash.number;
    bool is_given = codec->decoding ? !codec_at_end(codec) : number > 1;
    if (is_given)
        codec_uint32(codec, &number);
    if (codec->decoding)
        message->crash.number = is_given ? (uint8_t)MIN(number, UINT8_MAX) : 1;
}

static void backend_codec(codec_t *codec, crash_report_t *crash) {
    uint64_t backend = crash->backend;
    codec_uint64(codec, &backend);
    crash->backend = (uint16_t)backend;
}

static void crash_codec(codec_t *codec, message_t *message) {
    uint32_t backend = message->crash.backend;
    codec_uint64(codec, &message->crash.request);
    codec_uint32(codec, &backend);
    codec_bool(codec, &message->crash.cleared);
    codec_uint32(codec, &message->age_ms);
    message->crash.backend = (uint16_t)backend;
    crash_number_codec(codec, message);
}

/** A record has the time of the log in place of an age. */
static void crash_record_codec(codec_t *codec, message_t *message) {
    unsigned type = message->crash_type;
    uint32_t number = message->crash.number;
    uint32_t backend = message->crash.backend;
    codec_uint64(codec, &message->time);
    codec_enum(codec, &type, MESSAGE_TYPE_COUNT);
    codec_uint64(codec, &message->crash.request);
    codec_uint64(codec, &message->send);
    codec_uint32(codec, &backend);
    codec_uint32(codec, &number);
    codec_bool(codec, &message->crash.silent);
    codec_bool(codec, &message->crash.cleared);
    message->crash_type = (message_type_t)type;
    message->crash.backend = (uint16_t)backend;
    message->crash.number = (uint8_t)MIN(number, UINT8_MAX);
}

static void fields_codec(codec_t *codec, message_t *message) {
    codec_uint64(codec, &message->number);
    codec_uint64(codec, &message->generation);
    switch (message->type) {
    case MESSAGE_GROUP:
        codec_bytes(codec, &message->group);
        break;
    case REQUEST_RESERVE:
    case REQUEST_CHARGES:
    case REQUEST_SETTLE:
    case RECORD_CHARGE:
        charge_codec(codec, &message->charge);
        break;
    case RESPONSE_RESERVE:
        verdict_codec(codec, &message->verdict);
        codec_uint64(codec, &message->summary.charged);
        codec_uint64(codec, &message->summary.digest);
        codec_uint64(codec, &message->place);
        codec_bool(codec, &message->room);
        break;
    case MESSAGE_PLACE:
        codec_text(codec, &message->charge.program);
        codec_uint64(codec, &message->place);
        break;
    case RESPONSE_DURABLE:
        verdict_codec(codec, &message->verdict);
        break;
    case RESPONSE_CHARGES:
        charges_codec(codec, message->charges);
        break;
    case REQUEST_PUT_TURN:
    case RESPONSE_TURNS:
        turns_codec(codec, message->turns);
        tenants_codec(codec, message->turns);
        break;
    case REQUEST_CHAIN:
        codec_text(codec, &message->turn_id);
        break;
    case RESPONSE_CHAIN:
        verdict_codec(codec, &message->verdict);
        turns_codec(codec, message->turns);
        tenants_codec(codec, message->turns);
        break;
    case RESPONSE_INDEX:
        ids_codec(codec, message->ids);
        charges_codec(codec, message->charges);
        page_codec(codec, message);
        break;
    case REQUEST_TURNS:
    case MESSAGE_RELAY:
    case MESSAGE_GATEWAY:
        ids_codec(codec, message->ids);
        break;
    case MESSAGE_GATEWAYS:
        ids_codec(codec, message->ids);
        ids_codec(codec, message->sources);
        break;
    case REQUEST_INDEX:
        codec_bytes(codec, &message->digest);
        page_codec(codec, message);
        break;
    case REQUEST_FOLLOW:
        codec_uint64(codec, &message->revision);
        codec_uint64(codec, &message->view);
        break;
    case MESSAGE_DIRECTORY_KNOWN:
        codec_uint64(codec, &message->revision);
        break;
    case MESSAGE_DIRECTORY:
    case MESSAGE_DIRECTORY_CHANGES:
        codec_uint64(codec, &message->revision);
        codec_uint32(codec, &message->answer_age);
        codec_bytes(codec, &message->directory);
        break;
    case REQUEST_ALLOWANCE:
        codec_text(codec, &message->tenant);
        limit_codec(codec, &message->limit);
        codec_uint32(codec, &message->wait_ms);
        break;
    case REQUEST_PROGRAM_ALLOWANCE:
        codec_text(codec, &message->tenant);
        limit_codec(codec, &message->limit);
        codec_text(codec, &message->charge.program);
        codec_uint64(codec, &message->kind);
        codec_bool(codec, &message->begun);
        codec_bool(codec, &message->late);
        break;
    case MESSAGE_CHARGE:
        codec_text(codec, &message->tenant);
        limit_codec(codec, &message->limit);
        break;
    case RESPONSE_ALLOWANCE:
        verdict_codec(codec, &message->verdict);
        codec_uint32(codec, &message->wait_ms);
        break;
    case MESSAGE_DISK_LAG:
        codec_uint32(codec, &message->lag_ms);
        break;
    case MESSAGE_STREAM:
    case RESPONSE_STREAM:
        codec_uint64(codec, &message->stream);
        codec_uint64(codec, &message->version);
        break;
    case MESSAGE_CRASH:
    case MESSAGE_CRASH_KNOWN:
    case MESSAGE_CRASH_SILENT:
    case MESSAGE_CRASH_WITHDRAWN:
    case MESSAGE_REQUEST_STOPPED:
        crash_codec(codec, message);
        break;
    case REQUEST_STREAM:
        codec_uint64(codec, &message->stream);
        break;
    case REQUEST_SEND:
    case MESSAGE_SEND_ENDED:
        codec_uint64(codec, &message->crash.request);
        codec_uint64(codec, &message->send);
        break;
    case MESSAGE_SEND_LEFT:
        codec_uint64(codec, &message->crash.request);
        codec_uint64(codec, &message->send);
        backend_codec(codec, &message->crash);
        codec_uint32(codec, &message->wait_ms);
        break;
    case MESSAGE_TURN_SIZE:
        codec_text(codec, &message->charge.call);
        codec_uint64(codec, &message->size);
        break;
    case RECORD_CRASH:
        crash_record_codec(codec, message);
        break;
    case RECORD_TIME:
        codec_uint64(codec, &message->time);
        break;
    case REQUEST_DIRECTORY:
    case REQUEST_STATUS:
    case RESPONSE_STATUS:
    case RESPONSE_OLD_GENERATION:
    case RESPONSE_SEND:
    case RECORD_JOINED:
    case MESSAGE_TYPE_COUNT:
        break;
    }
}

GBytes *message_encode(message_t *message) {
    codec_t codec;
    codec_start_encoding(&codec);
    unsigned type = message->type;
    codec_enum(&codec, &type, MESSAGE_TYPE_COUNT);
    fields_codec(&codec, message);
    return codec_finish(&codec);
}

bool message_decode(message_t *message, const void *data, size_t length) {
    codec_t codec;
    codec_start_decoding(&codec, data, length);
    unsigned type = 0;
    codec_enum(&codec, &type, MESSAGE_TYPE_COUNT);
    message_init(message, (message_type_t)type);
    fields_codec(&codec, message);
    return codec_complete(&codec);
}
