/**
 * @file retry_budget.h
 * Retry budget: limits retries to a fraction of first attempts, to prevent retry storms.
 * Each first attempt earns a tenth of a retry, up to a cap; each retry spends one.
 * Decision code: no I/O, clock or threads.
 */
#ifndef RUDDERWAY_CORE_RETRY_RETRY_BUDGET_H
#define RUDDERWAY_CORE_RETRY_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint32_t tenths;
} retry_budget_t;

/** Creates a budget with an initial allowance of retries. */
retry_budget_t retry_budget_new(void);

void retry_budget_record_first_attempt(retry_budget_t *budget);
/** Spends one retry; false if none is left. */
bool retry_budget_take(retry_budget_t *budget);
/** Delay before attempt @p attempt (2, 3, ...), in milliseconds, before jitter. */
int64_t retry_delay_ms(uint32_t attempt);

#endif
