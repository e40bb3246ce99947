#include "core/retry/crash_exposure.h"

#include "core/retry/left_sends.h"

static const left_send_t *left_at(const crash_exposure_t *exposure, guint index) {
    return &g_array_index(exposure->left, left_send_t, index);
}

/** True if an earlier entry has the same back end; reports of others have the low bits only. */
static bool is_repeated(const crash_exposure_t *exposure, guint index) {
    for (guint i = 0; i < index; i++)
        if ((uint16_t)left_at(exposure, i)->backend == (uint16_t)left_at(exposure, index)->backend)
            return true;
    return false;
}

/** True if the back end may run the request, and its end under it is not counted yet. */
static bool may_end(const crash_exposure_t *exposure, guint index) {
    const left_send_t *send = left_at(exposure, index);
    return !is_repeated(exposure, index) &&
           !crash_history_knows(exposure->history, exposure->request, (uint16_t)send->backend,
                                send->left_at, exposure->now);
}

/** Number of the request's crashes, of which those count that are only suspected. */
static unsigned count_crashes(const crash_exposure_t *exposure) {
    return crash_history_count(exposure->history, exposure->request, exposure->now);
}

unsigned crash_exposure_count(const crash_exposure_t *exposure, uint64_t except) {
    unsigned count = count_crashes(exposure);
    if (crash_history_count_ended(exposure->history, exposure->request, exposure->now) == 0)
        return count;
    for (guint i = 0; i < exposure->left->len; i++) {
        bool excepted = except != 0 && (uint16_t)left_at(exposure, i)->backend == (uint16_t)except;
        count += !excepted && may_end(exposure, i);
    }
    return count;
}

static int compare_times(gconstpointer one, gconstpointer other) {
    const uint64_t *a = one, *b = other;
    return (*a > *b) - (*a < *b);
}

/** When the latest of the sends at the back end of entry @p index is over. */
static uint64_t find_over_at(const crash_exposure_t *exposure, guint index) {
    uint64_t until = 0;
    for (guint i = 0; i < exposure->left->len; i++)
        if ((uint16_t)left_at(exposure, i)->backend == (uint16_t)left_at(exposure, index)->backend)
            until = MAX(until, left_at(exposure, i)->until);
    return until + LEFT_SEND_MARGIN_MS + 1;
}

uint32_t crash_exposure_wait_ms(const crash_exposure_t *exposure) {
    unsigned crashes = count_crashes(exposure);
    if (crashes >= CRASHES_MAX)
        return crash_history_wait_ms(exposure->history, exposure->request, exposure->now);
    if (crash_exposure_count(exposure, 0) < CRASHES_MAX)
        return 0;
    GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < exposure->left->len; i++) {
        const uint64_t over_at = find_over_at(exposure, i);
        if (may_end(exposure, i))
            g_array_append_val(times, over_at);
    }
    g_array_sort(times, compare_times);
    /* So many have to be over that fewer than CRASHES_MAX - crashes are left. */
    guint needed = crashes + times->len - (CRASHES_MAX - 1);
    uint64_t over_at = g_array_index(times, uint64_t, needed - 1);
    g_array_free(times, TRUE);
    uint64_t wait_ms = over_at > exposure->now ? over_at - exposure->now : 0;
    return (uint32_t)MIN(wait_ms, CRASH_RETENTION_MS); /* No crash counts for longer. */
}
