#include "core/retry/retry_budget.h"

enum {
    TENTHS_PER_RETRY = 10,
    TENTHS_MAXIMUM = 100 * TENTHS_PER_RETRY,
    TENTHS_AT_START = 10 * TENTHS_PER_RETRY,
    DELAY_BASE_MS = 25,
    DELAY_MAXIMUM_MS = 2000,
    DOUBLINGS_MAXIMUM = 8,
};

retry_budget_t retry_budget_new(void) {
    return (retry_budget_t){.tenths = TENTHS_AT_START};
}

void retry_budget_first_try(retry_budget_t *budget) {
    if (budget->tenths < TENTHS_MAXIMUM)
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
    if (doublings > DOUBLINGS_MAXIMUM)
        doublings = DOUBLINGS_MAXIMUM;
    int64_t delay = (int64_t)DELAY_BASE_MS << doublings;
    return delay < DELAY_MAXIMUM_MS ? delay : DELAY_MAXIMUM_MS;
}
