#include "core/turns/record_clock.h"

void record_clock_read(record_clock_t *clock, uint64_t mark) {
    /* What stands before the first mark counts as young as what follows it. */
    if (!clock->any_mark)
        clock->first_mark = mark;
    clock->any_mark = true;
    if (mark > clock->first_mark + clock->read)
        clock->read = mark - clock->first_mark;
}

void record_clock_run(record_clock_t *clock, uint64_t now) {
    clock->running = true;
    clock->running_at = now;
}

uint64_t record_clock_time(const record_clock_t *clock, uint64_t now) {
    return clock->running ? clock->read + (now - clock->running_at) : clock->read;
}

bool record_clock_mark(record_clock_t *clock, uint64_t now, uint64_t *mark) {
    uint64_t time = record_clock_time(clock, now);
    if (clock->any_marked && time < clock->marked + RECORD_MARK_MS)
        return false;
    clock->any_marked = true;
    clock->marked = time;
    *mark = clock->first_mark + time;
    return true;
}
