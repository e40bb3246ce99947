#include "gateway/load_report.h"

#include "common/codec.h"

enum {
    PERIOD_MS = 60,
    PERIOD_EACH_MS = 3, /**< Added for each gateway. */
    CALM_FACTOR = 4,    /**< Multiplies the period while no back end is half full. */
    SAMPLES_BITS = 8,   /**< Of a speed's `ejected_ms`: low bits: sample count; rest: age. */
    SAMPLES_MAX = 255,
    AGE_MAX_MS = 0xffffff,
    CRASH_BACKEND_BITS = 16, /**< Of a crash's `ejected_ms`: low bits: back end; rest: age. */
    CRASH_BACKEND_MASK = 0xffff,
    CRASH_AGE_MAX_MS = 0xffff,
};

/**
 * Numbers of calls that no back end has; they mark an entry as a back end's first crash, as the
 * request's complete response, or, down to the last, as the back end's crash with the number that
 * is subtracted from UINT32_MAX.
 */
#define CRASH_MARK UINT32_MAX
#define CRASH_CLEARED_MARK (UINT32_MAX - 1)
#define CRASH_LAST_MARK (UINT32_MAX - UINT8_MAX)

static void report_codec(codec_t *codec, watch_report_t *watch, GArray *entries) {
    codec_uint32(codec, &watch->answer_age);
    codec_uint64(codec, &watch->changed);
    codec_bool(codec, &watch->has_stores);
    codec_bool(codec, &watch->renews);
    uint32_t count = entries->len;
    codec_count(codec, &count, LOAD_ENTRIES_MAX);
    if (codec->decoding && !codec->failed)
        g_array_set_size(entries, count);
    for (uint32_t i = 0; i < entries->len && !codec->failed; i++) {
        load_entry_t *entry = &g_array_index(entries, load_entry_t, i);
        codec_uint64(codec, &entry->backend);
        codec_uint32(codec, &entry->under_way);
        codec_uint32(codec, &entry->ejected_ms);
    }
}

load_entry_t load_entry_from_speed(uint64_t incarnation, const speed_estimate_t *estimate,
                                   uint64_t now) {
    uint64_t age = now > estimate->at ? now - estimate->at : 0;
    uint32_t samples = MIN(SAMPLES_MAX, estimate->samples);
    return (load_entry_t){incarnation, estimate->work_us,
                          (uint32_t)MIN(AGE_MAX_MS, age) << SAMPLES_BITS | samples};
}

speed_estimate_t load_entry_speed(const load_entry_t *entry, uint64_t now) {
    uint64_t age = entry->ejected_ms >> SAMPLES_BITS;
    return (speed_estimate_t){entry->under_way, entry->ejected_ms & SAMPLES_MAX,
                              now > age ? now - age : 0};
}

load_entry_t load_entry_crash_request(void) {
    return (load_entry_t){.under_way = CRASH_MARK};
}

static uint32_t crash_mark(const crash_report_t *crash) {
    if (crash->cleared)
        return CRASH_CLEARED_MARK;
    return crash->number > 1 ? UINT32_MAX - crash->number : CRASH_MARK;
}

static uint8_t crash_number(uint32_t mark) {
    return mark >= CRASH_CLEARED_MARK ? 1 : (uint8_t)(UINT32_MAX - mark);
}

load_entry_t load_entry_from_crash(const crash_report_t *crash, uint64_t now) {
    uint64_t age = now > crash->at ? now - crash->at : 0;
    return (load_entry_t){crash->request, crash_mark(crash),
                          (uint32_t)MIN(CRASH_AGE_MAX_MS, age) << CRASH_BACKEND_BITS |
                              crash->backend};
}

bool load_entry_crash(const load_entry_t *entry, uint64_t now, crash_report_t *crash) {
    if (entry->under_way < CRASH_LAST_MARK)
        return false;
    uint64_t age = entry->ejected_ms >> CRASH_BACKEND_BITS;
    *crash = (crash_report_t){
        .request = entry->backend,
        .at = now > age ? now - age : 0,
        .backend = (uint16_t)(entry->ejected_ms & CRASH_BACKEND_MASK),
        .number = crash_number(entry->under_way),
        .cleared = entry->under_way == CRASH_CLEARED_MARK,
    };
    return true;
}

GBytes *load_report_encode(const watch_report_t *watch, GArray *entries) {
    watch_report_t copy = *watch;
    codec_t codec;
    codec_start_encoding(&codec);
    report_codec(&codec, &copy, entries);
    return codec_finish(&codec);
}

bool load_report_decode(watch_report_t *watch, GArray *entries, const void *data, size_t length) {
    codec_t codec;
    codec_start_decoding(&codec, data, length);
    report_codec(&codec, watch, entries);
    return codec_complete(&codec);
}

uint64_t load_report_period_ms(unsigned gateways, bool calm) {
    uint64_t period = PERIOD_MS + PERIOD_EACH_MS * (uint64_t)gateways;
    return calm ? period * CALM_FACTOR : period;
}
