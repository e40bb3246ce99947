#include "core/retry/silence.h"

enum {
    SUSPECT_LEAST_MS = 300, /**< Silent for so long, */
    SUSPECT_TIMES = 3,      /**< or for so many times the usual wait for a first word. */
    OVERTAKEN_MS = 400,     /**< A call that was sent so much later has been answered, */
    LOST_LEAST_MS = 800,    /**< after so long a silence: pauses before a first word differ. */
    STALLED_MS = 1200,      /**< A stream stands still for so long while others go on. */
    OTHERS_MS = 150,        /**< Others go on: something was heard within this. */
};

static bool lost(const call_signs_t *call, const backend_signs_t *backend, uint64_t now) {
    uint64_t silent = now - call->heard_at;
    if (call->answered)
        return silent >= STALLED_MS && now - backend->heard_at <= OTHERS_MS;
    return silent >= LOST_LEAST_MS && silent >= SUSPECT_TIMES * (uint64_t)backend->answer_ms &&
           backend->answered_sent_at >= call->sent_at + OVERTAKEN_MS;
}

silence_t silence_judge(const call_signs_t *call, const backend_signs_t *backend, uint64_t now) {
    if (lost(call, backend, now))
        return SILENCE_LOST;
    uint64_t silent =
        now - (backend->heard_at > call->heard_at ? backend->heard_at : call->heard_at);
    uint64_t patience = SUSPECT_TIMES * (uint64_t)backend->answer_ms;
    if (patience < SUSPECT_LEAST_MS)
        patience = SUSPECT_LEAST_MS;
    return silent >= patience ? SILENCE_SUSPECT : SILENCE_USUAL;
}
