/*
 * Delays the sync of large writes, as a disk that stalls does. Preloaded into storage nodes by
 * tests/integration/power_test.sh.
 *
 * SLOW_SYNC_MIN_BYTES: a sync is delayed if its file has grown by this much since the last one.
 * SLOW_SYNC_MS: how much longer such a sync takes.
 */
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum { FILES_MAX = 1024, MS_PER_S = 1000, NS_PER_MS = 1000000 };

static long read_setting(const char *name) {
    const char *text = getenv(name);
    return text == NULL ? 0 : strtol(text, NULL, 10);
}

/** Bytes by which the file has grown since its last sync. */
static off_t bytes_to_sync(int file) {
    static off_t synced_bytes[FILES_MAX];
    struct stat status;
    if (file < 0 || file >= FILES_MAX || fstat(file, &status) != 0)
        return 0;
    off_t growth = status.st_size - synced_bytes[file];
    synced_bytes[file] = status.st_size;
    return growth;
}

int fdatasync(int file) {
    static int (*next)(int);
    if (next == NULL)
        *(void **)&next = dlsym(RTLD_NEXT, "fdatasync");
    long delay = read_setting("SLOW_SYNC_MS");
    if (delay > 0 && bytes_to_sync(file) >= read_setting("SLOW_SYNC_MIN_BYTES")) {
        struct timespec left = {delay / MS_PER_S, delay % MS_PER_S * NS_PER_MS};
        while (nanosleep(&left, &left) != 0 && errno == EINTR)
            ;
    }
    return next(file);
}
