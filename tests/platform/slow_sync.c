/*
 * Replaces a sync by a delay, so that a test decides how slow the disk is. Preloaded into storage
 * nodes by tests/integration/power_test.sh, which kills processes and never the machine.
 *
 * SLOW_SYNC_MIN_BYTES: a sync takes time if its file has grown by this much since the last one.
 * SLOW_SYNC_MS: how long such a sync takes.
 */
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
    if (bytes_to_sync(file) < read_setting("SLOW_SYNC_MIN_BYTES"))
        return 0;
    long delay = read_setting("SLOW_SYNC_MS");
    struct timespec left = {delay / MS_PER_S, delay % MS_PER_S * NS_PER_MS};
    while (nanosleep(&left, &left) != 0 && errno == EINTR)
        ;
    return 0;
}

int fsync(int file) {
    (void)file;
    return 0;
}
