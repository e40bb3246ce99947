#include "core/configuration/directory_pacing.h"

enum { PERCENT = 100 };

bool directory_request_due(uint64_t requested_at, uint64_t now) {
    return requested_at == 0 || now >= requested_at + DIRECTORY_REQUEST_INTERVAL_MS;
}

bool directory_response_due(size_t queued_bytes, size_t buffer_bytes, size_t memory_bytes) {
    return queued_bytes <= DIRECTORY_QUEUED_MAX_BYTES &&
           buffer_bytes <= memory_bytes / PERCENT * DIRECTORY_BUFFERS_MAX_PERCENT;
}

bool directory_pull_due(const directory_offer_t *offer, uint64_t now) {
    if (offer->offered_revision <= offer->revision)
        return false;
    if (offer->requested_at > 0 && now < offer->requested_at + DIRECTORY_PULL_TIMEOUT_MS)
        return false;
    uint64_t pause_ms = DIRECTORY_PULL_INTERVAL_MIN_MS + offer->bytes / DIRECTORY_PULL_BYTES_PER_MS;
    return offer->received_at == 0 || now >= offer->received_at + pause_ms;
}
