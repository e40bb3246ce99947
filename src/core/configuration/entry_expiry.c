#include "core/configuration/entry_expiry.h"

uint64_t entry_expiry_grace_end(const entry_expiry_evidence_t *evidence, uint64_t now) {
    if (evidence->failed_at > 0 && now < evidence->failed_at + ENTRY_EXPIRY_RECENT_FAILURE_MS)
        return now + ENTRY_EXPIRY_GRACE_MS;
    if (evidence->recovered_at > 0 && now < evidence->recovered_at + ENTRY_EXPIRY_GRACE_MS)
        return evidence->recovered_at + ENTRY_EXPIRY_GRACE_MS;
    return 0;
}
