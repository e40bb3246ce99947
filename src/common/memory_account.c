#include "common/memory_account.h"

#include <malloc.h>

enum {
    MEDIUM_RESERVE_DIVISOR = 8, /**< Of the limit, this part is not for medium holders. */
    LARGE_RESERVE_DIVISOR = 4,  /**< Nor this part for large ones. */
};

typedef struct {
    memory_account_t *account;
    size_t length;
    char *data;    /**< NULL if it refers to `bytes`. */
    GBytes *bytes; /**< NULL if it has data of its own. */
} block_t;

/** What a holder of @p size bytes must leave unused. */
static size_t reserve(const memory_account_t *account, size_t size) {
    if (size <= MEMORY_SMALL_BYTES)
        return 0;
    if (size <= MEMORY_MEDIUM_BYTES)
        return account->limit / MEDIUM_RESERVE_DIVISOR;
    return account->limit / LARGE_RESERVE_DIVISOR;
}

/** Bytes that are lacking for @p bytes more of a holder of @p size bytes. */
static size_t lacking(const memory_account_t *account, size_t bytes, size_t size) {
    size_t allowed = account->limit - reserve(account, size);
    size_t wanted = account->held + bytes;
    return account->limit == 0 || wanted <= allowed ? 0 : wanted - allowed;
}

/** True if @p bytes fit, perhaps after cached data was freed. */
static bool make_room(memory_account_t *account, size_t bytes, size_t size) {
    size_t missing = lacking(account, bytes, size);
    if (missing > 0 && account->reclaim != NULL)
        account->reclaim(account->owner, missing);
    return missing == 0 || lacking(account, bytes, size) == 0;
}

bool memory_account_take(memory_account_t *account, size_t bytes, size_t size) {
    if (account == NULL)
        return true;
    if (!make_room(account, bytes, size)) {
        account->refused++;
        return false;
    }
    memory_account_add(account, bytes);
    return true;
}

void memory_account_add(memory_account_t *account, size_t bytes) {
    if (account == NULL)
        return;
    account->held += bytes;
    account->peak = MAX(account->peak, account->held);
}

void memory_account_release(memory_account_t *account, size_t bytes) {
    if (account == NULL)
        return;
    account->held -= bytes;
    if (account->trim_bytes == 0 || account->peak - account->held < account->trim_bytes)
        return;
    /* Small blocks of a burst lie between others in the heap, which free() does not give back. */
    account->peak = account->held;
    malloc_trim(0);
}

bool memory_account_fits(memory_account_t *account, size_t size) {
    return account == NULL || make_room(account, size, size);
}

static void free_block(gpointer data) {
    block_t *block = data;
    memory_account_release(block->account, block->length);
    g_free(block->data);
    g_clear_pointer(&block->bytes, g_bytes_unref);
    g_free(block);
}

GBytes *memory_account_wrap(memory_account_t *account, char *data, size_t length) {
    block_t *block = g_new0(block_t, 1);
    block->account = account;
    block->length = length;
    block->data = data;
    return g_bytes_new_with_free_func(data, length, free_block, block);
}

GBytes *memory_account_wrap_string(memory_account_t *account, GString *string) {
    size_t length = string->len;
    char *data = g_string_free(string, FALSE);
    return memory_account_wrap(account, g_realloc(data, length + 1), length);
}

GBytes *memory_account_wrap_bytes(memory_account_t *account, GBytes *bytes) {
    gsize length;
    const void *data = g_bytes_get_data(bytes, &length);
    block_t *block = g_new0(block_t, 1);
    block->account = account;
    block->length = length;
    block->bytes = g_bytes_ref(bytes);
    memory_account_add(account, length);
    return g_bytes_new_with_free_func(data, length, free_block, block);
}
