#include "common/latency_histogram.h"

#include <stdbool.h>

void latency_histogram_add(latency_histogram_t *histogram, uint64_t ms) {
    unsigned bucket = 0;
    while (bucket + 1 < LATENCY_BUCKETS && ms > ((uint64_t)1 << bucket))
        bucket++;
    histogram->buckets[bucket]++;
    histogram->sum_ms += ms;
}

void latency_histogram_append(const latency_histogram_t *histogram, const char *name,
                              const char *label, GString *text) {
    const char *first = label == NULL ? "" : label;
    const char *comma = label == NULL ? "" : ",";
    guint64 count = 0;
    for (unsigned i = 0; i < LATENCY_BUCKETS; i++) {
        count += histogram->buckets[i];
        bool last = i + 1 == LATENCY_BUCKETS;
        char *bound = last ? g_strdup("+Inf") : g_strdup_printf("%u", 1U << i);
        g_string_append_printf(text, "%s_bucket{%s%sle=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
                               first, comma, bound, count);
        g_free(bound);
    }
    char *labels = label == NULL ? g_strdup("") : g_strdup_printf("{%s}", label);
    g_string_append_printf(text, "%s_sum%s %" G_GUINT64_FORMAT "\n", name, labels,
                           (guint64)histogram->sum_ms);
    g_string_append_printf(text, "%s_count%s %" G_GUINT64_FORMAT "\n", name, labels, count);
    g_free(labels);
}
