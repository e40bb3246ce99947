#include "core/retry/recent_successes.h"

void recent_successes_add(recent_successes_t *successes, uint64_t request, uint64_t now) {
    successes->entries[request % RECENT_SUCCESSES_MAX] = (recent_success_t){request, now};
}

bool recent_successes_contain(const recent_successes_t *successes, uint64_t request, uint64_t now) {
    const recent_success_t *entry = &successes->entries[request % RECENT_SUCCESSES_MAX];
    return entry->at > 0 && entry->request == request && now < entry->at + RECENT_SUCCESS_MS;
}
