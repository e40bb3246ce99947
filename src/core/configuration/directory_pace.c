#include "core/configuration/directory_pace.h"

enum { PERCENT = 100 };

bool directory_ask_due(uint64_t asked_at, uint64_t now) {
    return asked_at == 0 || now >= asked_at + DIRECTORY_ASK_MS;
}

bool directory_answer_now(size_t waiting_there, size_t buffer_bytes, size_t memory_bytes) {
    return waiting_there <= DIRECTORY_WAITING_MOST_BYTES &&
           buffer_bytes <= memory_bytes / PERCENT * DIRECTORY_MEMORY_PERCENT;
}

bool directory_pull_due(const directory_offer_t *offer, uint64_t now) {
    if (offer->offered <= offer->revision)
        return false;
    if (offer->asked_at > 0 && now < offer->asked_at + DIRECTORY_PULL_MS)
        return false;
    uint64_t pause_ms = DIRECTORY_PULL_LEAST_MS + offer->bytes / DIRECTORY_PULL_BYTES_PER_MS;
    return offer->taken_at == 0 || now >= offer->taken_at + pause_ms;
}
