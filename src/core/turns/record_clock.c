#include "core/turns/record_clock.h"

void record_clock_replay(record_clock_t *clock, uint64_t mark) {
    /* The clock starts at the first mark. Earlier records get the same time, so that their age is
       not overestimated. */
    if (!clock->mark_read)
        clock->first_mark = mark;
    clock->mark_read = true;
    if (mark > clock->first_mark + clock->replayed_ms)
        clock->replayed_ms = mark - clock->first_mark;
}

void record_clock_start(record_clock_t *clock, uint64_t now) {
    clock->running = true;
    clock->started_at = now;
}

uint64_t record_clock_latest_time(const record_clock_t *clock) {
    return clock->replayed_ms + RECORD_MARK_INTERVAL_MS;
}

uint64_t record_clock_time(const record_clock_t *clock, uint64_t now) {
    return clock->running ? clock->replayed_ms + (now - clock->started_at) : clock->replayed_ms;
}

bool record_clock_next_mark(record_clock_t *clock, uint64_t now, uint64_t *mark) {
    uint64_t time = record_clock_time(clock, now);
    if (clock->mark_written && time < clock->last_mark + RECORD_MARK_INTERVAL_MS)
        return false;
    clock->mark_written = true;
    clock->last_mark = time;
    *mark = clock->first_mark + time;
    return true;
}
