#include "node/metrics.h"

#include <stdbool.h>

/** Upper bounds of the buckets, in milliseconds. */
static const int64_t bucket_bounds_ms[HISTOGRAM_BUCKETS] = {
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000, 60000, 300000};

void histogram_add(histogram_t *histogram, int64_t duration_ms) {
    unsigned bucket = 0;
    while (bucket < HISTOGRAM_BUCKETS && duration_ms > bucket_bounds_ms[bucket])
        bucket++;
    histogram->buckets[bucket]++;
    histogram->count++;
    histogram->sum_ms += (double)duration_ms;
}

static void render_head(GString *text, const char *name, const char *type, const char *help) {
    g_string_append_printf(text, "# HELP rudderway_%s %s\n# TYPE rudderway_%s %s\n", name, help,
                           name, type);
}

void histogram_render(const histogram_t *histogram, const char *name, const char *help,
                      GString *text) {
    const double milliseconds = 1000.0;
    uint64_t below = 0;
    render_head(text, name, "histogram", help);
    for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
        below += histogram->buckets[i];
        g_string_append_printf(text, "rudderway_%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n", name,
                               (double)bucket_bounds_ms[i] / milliseconds, below);
    }
    g_string_append_printf(text,
                           "rudderway_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
                           "\nrudderway_%s_sum %g\nrudderway_%s_count %" G_GUINT64_FORMAT "\n",
                           name, histogram->count, name, histogram->sum_ms / milliseconds, name,
                           histogram->count);
}

void metric_render(GString *text, const char *name, const char *type, const char *help,
                   uint64_t value) {
    render_head(text, name, type, help);
    g_string_append_printf(text, "rudderway_%s %" G_GUINT64_FORMAT "\n", name, value);
}

static void render_refusals(const metrics_t *metrics, GString *text) {
    render_head(text, "refusals_total", "counter",
                "Refused or failed requests by error and outcome.");
    for (unsigned code = 1; code < RUDDERWAY_ERROR_COUNT; code++) {
        if (metrics->refusals[code] == 0)
            continue;
        g_string_append_printf(
            text, "rudderway_refusals_total{error=\"%s\",outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
            error_name((error_code_t)code), outcome_name(error_outcome((error_code_t)code)),
            metrics->refusals[code]);
    }
}

void metrics_render(const metrics_t *metrics, GString *text) {
    histogram_render(&metrics->call_latency, "call_seconds",
                     "Latency of calls that this node ran, from intent to result.", text);
    histogram_render(&metrics->program_latency, "program_seconds",
                     "Latency of whole programs that ended under this node's lead.", text);
    metric_render(text, "programs_started_total", "counter", "Programs started here.",
                  metrics->programs_started);
    metric_render(text, "programs_ended_total", "counter", "Programs ended here.",
                  metrics->programs_ended);
    metric_render(text, "calls_started_total", "counter", "Attempts sent to back ends.",
                  metrics->calls_started);
    metric_render(text, "calls_finished_total", "counter", "Attempts that came back.",
                  metrics->calls_finished);
    metric_render(text, "retries_total", "counter", "Further attempts.", metrics->retries);
    metric_render(text, "prompt_tokens_total", "counter", "Prompt tokens.", metrics->prompt_tokens);
    metric_render(text, "cached_tokens_total", "counter", "Prompt tokens found in a cache.",
                  metrics->cached_tokens);
    metric_render(text, "recomputed_tokens_total", "counter",
                  "Prompt tokens of a program's own history computed again.",
                  metrics->recomputed_tokens);
    metric_render(text, "output_tokens_total", "counter", "Generated tokens.",
                  metrics->output_tokens);
    render_refusals(metrics, text);
}
