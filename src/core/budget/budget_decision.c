#include "core/budget/budget_decision.h"

static bool summaries_equal(const budget_summary_t *a, const budget_summary_t *b) {
    return a->charged == b->charged && a->digest == b->digest;
}

budget_decision_t budget_decide(const budget_summary_t *summaries, unsigned count, unsigned quorum,
                                uint64_t budget) {
    for (unsigned i = 0; i < count; i++) {
        unsigned matching = 0;
        for (unsigned j = 0; j < count; j++)
            matching += summaries_equal(&summaries[i], &summaries[j]);
        if (matching >= quorum)
            return summaries[i].charged <= budget ? BUDGET_GRANTED : BUDGET_REFUSED;
    }
    return BUDGET_UNDECIDED;
}
