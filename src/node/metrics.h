/**
 * @file metrics.h
 * Counters and histograms of a node, shown as Prometheus text.
 * Thread safety: only the decision thread touches them.
 */
#ifndef RUDDERWAY_NODE_METRICS_H
#define RUDDERWAY_NODE_METRICS_H

#include "common/error.h"

#include <stdint.h>

enum { HISTOGRAM_BUCKETS = 14 };

/** Durations in milliseconds. */
typedef struct {
    uint64_t buckets[HISTOGRAM_BUCKETS + 1];
    uint64_t count;
    double sum_ms;
} histogram_t;

typedef struct {
    histogram_t call_latency;
    histogram_t program_latency;
    uint64_t programs_started;
    uint64_t programs_ended;
    uint64_t calls_started;
    uint64_t calls_finished;
    uint64_t retries;
    uint64_t prompt_tokens;
    uint64_t cached_tokens;
    uint64_t recomputed_tokens; /**< Of a program's own earlier context, computed again. */
    uint64_t output_tokens;
    uint64_t refusals[RUDDERWAY_ERROR_COUNT];
} metrics_t;

void histogram_add(histogram_t *histogram, int64_t duration_ms);
/** Appends @p histogram to @p text under @p name. */
void histogram_render(const histogram_t *histogram, const char *name, const char *help,
                      GString *text);
/** Appends one value with its help and type ("counter" or "gauge"). */
void metric_render(GString *text, const char *name, const char *type, const char *help,
                   uint64_t value);
/** Appends everything in @p metrics. */
void metrics_render(const metrics_t *metrics, GString *text);

#endif
