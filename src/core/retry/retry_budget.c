#include "core/retry/retry_budget.h"

enum {
    TENTHS_PER_RETRY = 10,
    TENTHS_MAX = 100 * TENTHS_PER_RETRY,
    TENTHS_INITIAL = 10 * TENTHS_PER_RETRY,
    DELAY_BASE_MS = 25,
    DELAY_MAX_MS = 2000,
    DOUBLINGS_MAX = 8,
};

retry_budget_t retry_budget_new(void) {
    return (retry_budget_t){.tenths = TENTHS_INITIAL};
}

void retry_budget_record_first_attempt(retry_budget_t *budget) {
    if (budget->tenths < TENTHS_MAX)
        budget->tenths++;
}

bool retry_budget_take(retry_budget_t *budget) {
    if (budget->tenths < TENTHS_PER_RETRY)
        return false;
    budget->tenths -= TENTHS_PER_RETRY;
    return true;
}

int64_t retry_delay_ms(uint32_t attempt) {
    uint32_t doublings = attempt > 2 ? attempt - 2 : 0;
    if (doublings > DOUBLINGS_MAX)
        doublings = DOUBLINGS_MAX;
    int64_t delay = (int64_t)DELAY_BASE_MS << doublings;
    return delay < DELAY_MAX_MS ? delay : DELAY_MAX_MS;
}
