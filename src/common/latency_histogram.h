/**
 * @file latency_histogram.h
 * Counts durations in buckets whose bounds double, and writes them as Prometheus text.
 *
 * Thread safety: an object belongs to one thread.
 */
#ifndef RUDDERWAY_COMMON_LATENCY_HISTOGRAM_H
#define RUDDERWAY_COMMON_LATENCY_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/** Upper bounds 1, 2, 4, ... ms; the last bucket has none. */
enum { LATENCY_BUCKETS = 14 };

typedef struct {
    uint64_t buckets[LATENCY_BUCKETS];
    uint64_t sum_ms;
} latency_histogram_t;

void latency_histogram_add(latency_histogram_t *histogram, uint64_t ms);
/** Appends the lines of metric @p name; @p label is `KEY="VALUE"`, or NULL. */
void latency_histogram_append(const latency_histogram_t *histogram, const char *name,
                              const char *label, GString *text);

#endif
