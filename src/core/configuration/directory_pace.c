#include "core/configuration/directory_pace.h"

enum { PERCENT = 100 };

bool directory_ask_due(uint64_t asked_at, uint64_t now) {
    return asked_at == 0 || now >= asked_at + DIRECTORY_ASK_MS;
}

bool directory_answer_now(size_t waiting_there, size_t waiting_all, size_t memory_bytes) {
    return waiting_there <= DIRECTORY_WAITING_MOST_BYTES &&
           waiting_all <= memory_bytes / PERCENT * DIRECTORY_MEMORY_PERCENT;
}
