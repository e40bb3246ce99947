#include "gateway/record_key.h"

#include <glib.h>
#include <string.h>

char *record_key_of_long_name(const char *name) {
    size_t length = strlen(name);
    if (length <= RECORD_KEY_MAX_BYTES)
        return NULL;
    char *digest = g_compute_checksum_for_data(G_CHECKSUM_SHA256, (const guchar *)name, length);
    char *key = g_strconcat("sha256:", digest, NULL);
    g_free(digest);
    return key;
}
