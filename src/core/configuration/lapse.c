#include "core/configuration/lapse.h"

uint64_t lapse_kept_until(const lapse_signs_t *signs, uint64_t now) {
    if (signs->failed_at > 0 && now < signs->failed_at + LAPSE_FAILED_LATELY_MS)
        return now + LAPSE_KEPT_MS;
    if (signs->back_at > 0 && now < signs->back_at + LAPSE_KEPT_MS)
        return signs->back_at + LAPSE_KEPT_MS;
    return 0;
}
