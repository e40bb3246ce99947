#include "core/routing/engine_usual.h"

#include <glib.h>

enum {
    PERCENT = 100,
    PARTS = 16,              /**< A sample moves a median by one part in so many. */
    SAMPLES_LEAST = 8,       /**< So many are needed before a median counts. */
    READ_TOKENS_LEAST = 500, /**< Shorter prompts are read in too short a time to measure. */
    TURN_DEFAULT_MS = 100,
    TURN_LEAST_MS = 5,
    TURN_MOST_MS = 20000,
    RATE_DEFAULT = 100, /**< Tokens in a ms. */
    RATE_LEAST = 1,
    RATE_MOST = 2000,
};

static void follow(followed_median_t *median, double sample) {
    if (median->samples == 0)
        median->value = sample;
    else if (sample > median->value)
        median->value += median->value / PARTS;
    else if (sample < median->value)
        median->value -= median->value / PARTS;
    median->samples++;
}

static double known(const followed_median_t *median, double otherwise) {
    return median->samples < SAMPLES_LEAST ? otherwise : median->value;
}

static double at_typical_speed(double ms, unsigned speed_percent) {
    return MAX(ms, 1) * speed_percent / PERCENT;
}

void engine_usual_note_turn(engine_usual_t *usual, double ms, unsigned speed_percent) {
    follow(&usual->turn_ms,
           CLAMP(at_typical_speed(ms, speed_percent), TURN_LEAST_MS, TURN_MOST_MS));
}

void engine_usual_note_first(engine_usual_t *usual, double ms, uint32_t again,
                             unsigned speed_percent) {
    double typical_ms = at_typical_speed(ms, speed_percent);
    if (again == 0) {
        follow(&usual->first_ms, typical_ms);
        return;
    }
    if (again < READ_TOKENS_LEAST || usual->first_ms.samples < SAMPLES_LEAST)
        return;
    double reading_ms = MAX(typical_ms - usual->first_ms.value, 1);
    follow(&usual->tokens_per_ms, CLAMP(again / reading_ms, RATE_LEAST, RATE_MOST));
}

double engine_usual_turn_ms(const engine_usual_t *usual) {
    return known(&usual->turn_ms, TURN_DEFAULT_MS);
}

double engine_usual_tokens_per_ms(const engine_usual_t *usual) {
    return known(&usual->tokens_per_ms, RATE_DEFAULT);
}

void engine_usual_note_refused(engine_usual_t *usual, unsigned load, unsigned slots) {
    if (load >= slots)
        follow(&usual->full_percent, (double)load * PERCENT / slots);
}

void engine_usual_note_taken(engine_usual_t *usual, unsigned load, unsigned slots) {
    double percent = (double)(load + 1) * PERCENT / slots;
    if (usual->full_percent.samples > 0 && percent > usual->full_percent.value)
        follow(&usual->full_percent, percent);
}

unsigned engine_usual_queue(const engine_usual_t *usual, unsigned slots) {
    unsigned bound = (unsigned)(usual->full_percent.value * slots / PERCENT + 0.5);
    return usual->full_percent.samples == 0 ? 0 : MAX(bound, slots + 1) - slots;
}
