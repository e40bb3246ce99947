#include "cluster/process_settings.h"

#include "cluster/service_directory.h"
#include "common/event.h"

enum {
    MS_PER_S = 1000,
    /* Of tenants' limits, if the operators do not say. */
    QUOTA_WINDOW_S = 5,
    QUOTA_SLACK = 20,
    QUOTA_WINDOW_S_MAXIMUM = 3600,
    QUOTA_SLACK_MAXIMUM = 1000000,
};
static const double QUOTA_OVERAGE = 0.1;

enum { MEGABYTES_MAXIMUM = 1000000, GRACE_MS_MAXIMUM = 3600000, TOLERATED_LOSSES_MAXIMUM = 100 };
enum { TOLERATED_ZONES_MAXIMUM = 100 };
enum { VALUE_BYTES = 1024 * 1024, VALUE_BYTES_MAXIMUM = 1024 * 1024 * 1024 };

typedef struct {
    GKeyFile *file;
    GError **error;
    bool failed;
} reader_t;

static void refuse(reader_t *reader, const char *group, const char *key, const char *allowed) {
    if (!reader->failed)
        error_set(reader->error, RUDDERWAY_ERROR_SETTINGS_INVALID, "%s.%s: allowed is %s", group,
                  key, allowed);
    reader->failed = true;
}

/** Required unless there is a @p fallback. */
static char *read_text(reader_t *reader, const char *group, const char *key, const char *fallback) {
    char *value = g_key_file_get_string(reader->file, group, key, NULL);
    if (value != NULL && *value != '\0')
        return value;
    g_free(value);
    if (fallback == NULL)
        refuse(reader, group, key, "a text that is not empty");
    return g_strdup(fallback == NULL ? "" : fallback);
}

static struct sockaddr_in read_address(reader_t *reader, const char *group, const char *key,
                                       bool required, char **text) {
    struct sockaddr_in address = {0};
    char *value = read_text(reader, group, key, required ? NULL : "");
    bool absent = !required && *value == '\0';
    if (!absent && !parse_socket_address(value, &address))
        refuse(reader, group, key, "IP:PORT");
    if (text != NULL)
        *text = value;
    else
        g_free(value);
    return address;
}

/** The address told to other nodes, if they reach this one at another than it listens on. */
static void read_advertised_address(reader_t *reader, process_settings_t *settings) {
    char *text;
    struct sockaddr_in address = read_address(reader, "peer", "advertise", false, &text);
    if (address.sin_port != 0) {
        g_free(settings->peer_text);
        settings->peer_text = g_steal_pointer(&text);
    }
    g_free(text);
}

static uint64_t read_number(reader_t *reader, const char *group, const char *key, uint64_t fallback,
                            uint64_t minimum, uint64_t maximum) {
    char *value = g_key_file_get_string(reader->file, group, key, NULL);
    if (value == NULL || *value == '\0') {
        g_free(value);
        return fallback;
    }
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(value, 10, minimum, maximum, &number, NULL))
        refuse(reader, group, key, "a whole number in range");
    g_free(value);
    return number;
}

static double read_fraction(reader_t *reader, const char *group, const char *key, double fallback) {
    char *value = g_key_file_get_string(reader->file, group, key, NULL);
    if (value == NULL || *value == '\0') {
        g_free(value);
        return fallback;
    }
    char *end;
    double number = g_ascii_strtod(value, &end);
    if (*end != '\0' || !(number >= 0 && number <= 1))
        refuse(reader, group, key, "a fraction from 0 to 1");
    g_free(value);
    return number;
}

static bool read_switch(reader_t *reader, const char *group, const char *key, bool fallback) {
    char *value = read_text(reader, group, key, fallback ? "true" : "false");
    bool on = g_strcmp0(value, "true") == 0;
    if (!on && g_strcmp0(value, "false") != 0)
        refuse(reader, group, key, "true or false");
    g_free(value);
    return on;
}

static void read_quota(reader_t *reader, quota_bounds_t *quota) {
    uint64_t window_s =
        read_number(reader, "quota", "window_s", QUOTA_WINDOW_S, 1, QUOTA_WINDOW_S_MAXIMUM);
    quota->window_ms = (uint32_t)window_s * MS_PER_S;
    quota->overage = read_fraction(reader, "quota", "overage", QUOTA_OVERAGE);
    quota->slack =
        (uint32_t)read_number(reader, "quota", "slack", QUOTA_SLACK, 0, QUOTA_SLACK_MAXIMUM);
}

static void read_settings(reader_t *reader, process_settings_t *settings, process_kind_t kind) {
    bool gateway = kind == PROCESS_GATEWAY;
    settings->name = read_text(reader, "node", "name", NULL);
    settings->zone = read_text(reader, "node", "zone", NULL);
    settings->log_level = read_text(reader, "node", "log_level", "info");
    if (!event_level_valid(settings->log_level))
        refuse(reader, "node", "log_level", "debug, info, notice, warn or error");
    settings->memory_megabytes =
        read_number(reader, "node", "memory_megabytes", 256, 16, MEGABYTES_MAXIMUM);
    settings->grace_ms = read_number(reader, "node", "grace_ms", 8000, 0, GRACE_MS_MAXIMUM);
    settings->key_value =
        read_address(reader, "key_value", "address", true, &settings->key_value_text);
    settings->value_bytes =
        read_number(reader, "key_value", "value_bytes", VALUE_BYTES, 0, VALUE_BYTES_MAXIMUM);
    settings->metrics = read_address(reader, "metrics", "listen", false, NULL);
    settings->calls = read_address(reader, "gateway", "calls", gateway, NULL);
    settings->readiness = read_address(reader, "gateway", "readiness", gateway, NULL);
    settings->peer = read_address(reader, "peer", "listen", true, &settings->peer_text);
    read_advertised_address(reader, settings);
    settings->tolerated_zones =
        read_number(reader, "gateway", "tolerated_zones", 0, 0, TOLERATED_ZONES_MAXIMUM);
    settings->folder = read_text(reader, "store", "folder", gateway ? "" : NULL);
    settings->disk_megabytes =
        read_number(reader, "store", "disk_megabytes", 300, 0, MEGABYTES_MAXIMUM);
    settings->tolerated_losses =
        read_number(reader, "store", "tolerated_losses", 1, 0, TOLERATED_LOSSES_MAXIMUM);
    read_quota(reader, &settings->quota);
    settings->whole_programs = read_switch(reader, "quota", "whole_programs", false);
    char *first = read_text(reader, "store", "first_start", "false");
    settings->first_start = g_strcmp0(first, "true") == 0;
    g_free(first);
}

void process_settings_free(process_settings_t *settings) {
    if (settings == NULL)
        return;
    g_free(settings->name);
    g_free(settings->zone);
    g_free(settings->log_level);
    g_free(settings->peer_text);
    g_free(settings->key_value_text);
    g_free(settings->folder);
    g_free(settings);
}

process_settings_t *process_settings_load(const char *path, process_kind_t kind, GError **error) {
    reader_t reader = {.file = g_key_file_new(), .error = error};
    process_settings_t *settings = NULL;
    if (g_key_file_load_from_file(reader.file, path, G_KEY_FILE_NONE, error)) {
        settings = g_new0(process_settings_t, 1);
        read_settings(&reader, settings, kind);
    }
    g_key_file_free(reader.file);
    if (!reader.failed)
        return settings;
    process_settings_free(settings);
    return NULL;
}
