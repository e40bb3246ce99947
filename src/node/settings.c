#include "node/settings.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <string.h>

typedef enum {
    SETTING_NAME,
    SETTING_LEVEL,
    SETTING_ENDPOINT,
    SETTING_OPTIONAL_ENDPOINT,
    SETTING_ENDPOINTS,
    SETTING_KEY,
    SETTING_TOKEN,
    SETTING_PATH,
    SETTING_NUMBER,
    SETTING_POLICY,
} setting_kind_t;

typedef struct {
    const char *group;
    const char *key;
    setting_kind_t kind;
    size_t offset;
    const char *fallback; /**< NULL: required. */
    uint32_t minimum;
    uint32_t maximum;
    const char *meaning;
} setting_row_t;

#define FIELD(field) offsetof(settings_t, field)

enum { PORT_MAXIMUM = 65535 };

static const setting_row_t setting_rows[] = {
    {"node", "name", SETTING_NAME, FIELD(name), NULL, 0, 0,
     "name of the node, unique in the cluster; kept over restarts"},
    {"node", "zone", SETTING_NAME, FIELD(zone), NULL, 0, 0, "zone of the node"},
    {"node", "log_level", SETTING_LEVEL, FIELD(log_level), "info", 0, 0,
     "least level that is logged"},
    {"node", "port_file", SETTING_PATH, FIELD(port_file), "", 0, 0,
     "file to write the chosen HTTP and peer ports to"},
    {"node", "stop_seconds", SETTING_NUMBER, FIELD(stop_seconds), "60", 1, 86400,
     "longest planned stop, in seconds"},
    {"http", "listen", SETTING_ENDPOINT, FIELD(http), NULL, 0, 0,
     "address and port for callers and operators; port 0: the kernel chooses"},
    {"http", "threads", SETTING_NUMBER, FIELD(http_threads), "2", 1, 64, "server threads"},
    {"http", "connections", SETTING_NUMBER, FIELD(connections), "4000", 16, 100000,
     "open connections at most"},
    {"http", "body_bytes", SETTING_NUMBER, FIELD(body_bytes), "1048576", 1024, 67108864,
     "largest request body, in bytes"},
    {"http", "idle_seconds", SETTING_NUMBER, FIELD(idle_seconds), "10", 1, 3600,
     "time after which a connection without progress is closed"},
    {"peer", "listen", SETTING_ENDPOINT, FIELD(peer), NULL, 0, 0,
     "address and port for other nodes, TCP and UDP; port 0: the kernel chooses"},
    {"peer", "seeds", SETTING_ENDPOINTS, FIELD(seeds), "", 0, 0,
     "addresses of some nodes, separated by ';'"},
    {"peer", "cluster_key", SETTING_KEY, FIELD(cluster_key), NULL, 0, 0,
     "secret shared by all nodes: 64 hexadecimal digits"},
    {"admin", "token_sha256", SETTING_TOKEN, FIELD(admin_token_sha256), NULL, 0, 0,
     "SHA-256 of the administration token: 64 lower-case hexadecimal digits"},
    {"platform", "key_value", SETTING_ENDPOINT, FIELD(key_value), NULL, 0, 0,
     "the key-value service"},
    {"platform", "machine_list", SETTING_ENDPOINT, FIELD(machine_list), NULL, 0, 0,
     "the machine list"},
    {"platform", "weight_store", SETTING_OPTIONAL_ENDPOINT, FIELD(weight_store), "", 0, 0,
     "the weight store"},
    {"cluster", "partitions", SETTING_NUMBER, FIELD(partitions), "32", 1, 65536,
     "partitions of the program state; the same on every node, for good"},
    {"cluster", "voters", SETTING_NUMBER, FIELD(voters), "5", 1, 7,
     "copies of a partition that agree; 5 stand the loss of any two machines or one zone"},
    {"cluster", "bootstrap_members", SETTING_NUMBER, FIELD(bootstrap_members), "3", 1, 1000,
     "nodes that must have met before a new cluster is founded"},
    {"limits", "calls_in_flight", SETTING_NUMBER, FIELD(calls_in_flight), "2000", 1, 100000,
     "calls that the node runs at once"},
    {"limits", "program_memory_mb", SETTING_NUMBER, FIELD(program_memory_mb), "512", 1, 1048576,
     "program state that the node holds before it refuses new programs, in MiB"},
    {"limits", "ended_retention_seconds", SETTING_NUMBER, FIELD(ended_retention_seconds), "600", 1,
     604800, "how long the history of an ended program can be read"},
    {"limits", "call_timeout_seconds", SETTING_NUMBER, FIELD(call_timeout_seconds), "120", 1, 3600,
     "longest run of one call"},
    {"routing", "policy", SETTING_POLICY, FIELD(policy), "prefix_and_load", 0, 0,
     "how engines are chosen; all but the default are baselines"},
};

static void add_mistake(GPtrArray *mistakes, const char *source, const setting_row_t *row,
                        const char *value, const char *allowed) {
    settings_mistake_t *mistake = g_new0(settings_mistake_t, 1);
    mistake->source = g_strdup(source);
    mistake->key = g_strdup_printf("%s.%s", row->group, row->key);
    mistake->value = g_strdup(value);
    mistake->allowed = g_strdup(allowed);
    g_ptr_array_add(mistakes, mistake);
}

void settings_mistake_free(settings_mistake_t *mistake) {
    g_free(mistake->source);
    g_free(mistake->key);
    g_free(mistake->value);
    g_free(mistake->allowed);
    g_free(mistake);
}

static bool parse_number(const char *text, uint32_t minimum, uint32_t maximum, uint32_t *number) {
    guint64 wide;
    if (!g_ascii_string_to_unsigned(text, 10, minimum, maximum, &wide, NULL))
        return false;
    *number = (uint32_t)wide;
    return true;
}

static bool parse_endpoint(const char *text, char **address, uint32_t *port) {
    struct in_addr ignored;
    const char *colon = strrchr(text, ':');
    if (colon == NULL)
        return false;
    char *host = g_strndup(text, (gsize)(colon - text));
    bool valid =
        inet_pton(AF_INET, host, &ignored) == 1 && parse_number(colon + 1, 0, PORT_MAXIMUM, port);
    if (valid)
        *address = g_steal_pointer(&host);
    g_free(host);
    return valid;
}

static bool parse_endpoints(const char *text, GArray *seeds) {
    char **parts = g_strsplit(text, ";", -1);
    bool valid = true;
    for (char **part = parts; *part != NULL && valid; part++) {
        membership_seed_t seed = {0};
        if (*g_strstrip(*part) == '\0')
            continue;
        valid = parse_endpoint(*part, &seed.address, &seed.port);
        if (valid)
            g_array_append_val(seeds, seed);
    }
    g_strfreev(parts);
    return valid;
}

static bool is_hexadecimal(const char *text, size_t digits, const char *alphabet) {
    return strlen(text) == digits && strspn(text, alphabet) == digits;
}

static bool parse_key(const char *text, uint8_t *key) {
    if (!is_hexadecimal(text, 2 * (size_t)PEER_KEY_BYTES, "0123456789abcdefABCDEF"))
        return false;
    for (size_t i = 0; i < PEER_KEY_BYTES; i++)
        key[i] = (uint8_t)(g_ascii_xdigit_value(text[2 * i]) * 16 +
                           g_ascii_xdigit_value(text[2 * i + 1]));
    return true;
}

static bool parse_policy(const char *text, routing_policy_t *policy) {
    for (unsigned i = 0; i < POLICY_COUNT; i++) {
        if (strcmp(routing_policy_name((routing_policy_t)i), text) != 0)
            continue;
        *policy = (routing_policy_t)i;
        return true;
    }
    return false;
}

static bool level_is_valid(const char *level) {
    static const char *const levels[] = {"debug", "info", "notice", "warn", "error", NULL};
    return g_strv_contains(levels, level);
}

static char *describe_allowed(const setting_row_t *row) {
    switch (row->kind) {
    case SETTING_NAME:
        return g_strdup("1 to 64 of A-Z a-z 0-9 . _ -");
    case SETTING_LEVEL:
        return g_strdup("debug, info, notice, warn or error");
    case SETTING_ENDPOINT:
        return g_strdup("IPv4:PORT");
    case SETTING_OPTIONAL_ENDPOINT:
        return g_strdup("IPv4:PORT or nothing");
    case SETTING_ENDPOINTS:
        return g_strdup("IPv4:PORT;IPv4:PORT;...");
    case SETTING_KEY:
        return g_strdup("64 hexadecimal digits");
    case SETTING_TOKEN:
        return g_strdup("64 lower-case hexadecimal digits");
    case SETTING_PATH:
        return g_strdup("a path");
    case SETTING_NUMBER:
        return g_strdup_printf("%u to %u", row->minimum, row->maximum);
    case SETTING_POLICY:
        break;
    }
    return g_strdup("prefix_and_load, least_load, round_robin or sticky");
}

static bool set_text(char **field, const char *text, bool valid) {
    g_free(*field);
    *field = g_strdup(text);
    return valid;
}

static bool set_value(settings_t *settings, const setting_row_t *row, const char *text) {
    void *field = (char *)settings + row->offset;
    endpoint_t *endpoint = field;
    switch (row->kind) {
    case SETTING_NAME:
        return set_text(field, text, configuration_name_valid(text));
    case SETTING_LEVEL:
        return set_text(field, text, level_is_valid(text));
    case SETTING_OPTIONAL_ENDPOINT:
        if (*text == '\0')
            return true;
        return parse_endpoint(text, &endpoint->address, &endpoint->port);
    case SETTING_ENDPOINT:
        return parse_endpoint(text, &endpoint->address, &endpoint->port);
    case SETTING_ENDPOINTS:
        return parse_endpoints(text, *(GArray **)field);
    case SETTING_KEY:
        return parse_key(text, field);
    case SETTING_TOKEN:
        return set_text(field, text, is_hexadecimal(text, 64, "0123456789abcdef"));
    case SETTING_PATH:
        return set_text(field, text, true);
    case SETTING_NUMBER:
        return parse_number(text, row->minimum, row->maximum, field);
    case SETTING_POLICY:
        break;
    }
    return parse_policy(text, field);
}

/** The secret's value is not repeated in messages. */
static const char *shown_value(const setting_row_t *row, const char *value) {
    return row->kind == SETTING_KEY || row->kind == SETTING_TOKEN ? "(hidden)" : value;
}

static const char *find_override(const settings_override_t *overrides, size_t count,
                                 const setting_row_t *row) {
    char *name = g_strdup_printf("%s.%s", row->group, row->key);
    const char *value = NULL;
    for (size_t i = 0; i < count; i++)
        if (strcmp(overrides[i].key, name) == 0)
            value = overrides[i].value;
    g_free(name);
    return value;
}

static void read_row(settings_t *settings, const setting_row_t *row, GKeyFile *file,
                     const char *file_name, const char *override, GPtrArray *mistakes) {
    char *from_file = g_key_file_get_string(file, row->group, row->key, NULL);
    const char *text = override != NULL ? override : from_file;
    char *source = override != NULL ? g_strdup("command line")
                                    : g_strdup_printf("%s [%s]", file_name, row->group);
    char *allowed = describe_allowed(row);
    if (text == NULL && row->fallback == NULL)
        add_mistake(mistakes, source, row, "(missing)", allowed);
    else if (!set_value(settings, row, text != NULL ? text : row->fallback))
        add_mistake(mistakes, source, row, shown_value(row, text), allowed);
    g_free(allowed);
    g_free(source);
    g_free(from_file);
}

static const setting_row_t *find_row(const char *group, const char *key) {
    for (size_t i = 0; i < G_N_ELEMENTS(setting_rows); i++)
        if (strcmp(setting_rows[i].group, group) == 0 && strcmp(setting_rows[i].key, key) == 0)
            return &setting_rows[i];
    return NULL;
}

static void find_unknown_keys(GKeyFile *file, const char *file_name, GPtrArray *mistakes) {
    char **groups = g_key_file_get_groups(file, NULL);
    for (char **group = groups; *group != NULL; group++) {
        char **keys = g_key_file_get_keys(file, *group, NULL, NULL);
        for (char **key = keys; key != NULL && *key != NULL; key++) {
            if (find_row(*group, *key) != NULL)
                continue;
            const setting_row_t row = {.group = *group, .key = *key};
            char *source = g_strdup_printf("%s [%s]", file_name, *group);
            add_mistake(mistakes, source, &row, "(unknown key)", "the keys of docs/SETTINGS.md");
            g_free(source);
        }
        g_strfreev(keys);
    }
    g_strfreev(groups);
}

static void find_unknown_overrides(const settings_override_t *overrides, size_t count,
                                   GPtrArray *mistakes) {
    for (size_t i = 0; i < count; i++) {
        char **parts = g_strsplit(overrides[i].key, ".", 2);
        bool known = parts[0] != NULL && parts[1] != NULL && find_row(parts[0], parts[1]) != NULL;
        const setting_row_t row = {.group = parts[0] != NULL ? parts[0] : "",
                                   .key = parts[0] != NULL && parts[1] != NULL ? parts[1] : ""};
        if (!known)
            add_mistake(mistakes, "command line", &row, "(unknown key)",
                        "the keys of docs/SETTINGS.md");
        g_strfreev(parts);
    }
}

static void clear_seed(gpointer data) {
    g_free(((membership_seed_t *)data)->address);
}

settings_t *settings_read(const char *file, const settings_override_t *overrides,
                          size_t override_count, GPtrArray *mistakes) {
    settings_t *settings = g_new0(settings_t, 1);
    settings->seeds = g_array_new(FALSE, TRUE, sizeof(membership_seed_t));
    g_array_set_clear_func(settings->seeds, clear_seed);
    GKeyFile *key_file = g_key_file_new();
    GError *error = NULL;
    const char *file_name = file != NULL ? file : "(no file)";
    if (file != NULL && !g_key_file_load_from_file(key_file, file, G_KEY_FILE_NONE, &error)) {
        const setting_row_t row = {.group = "file", .key = "load"};
        add_mistake(mistakes, file_name, &row, error->message, "a readable key file");
        g_clear_error(&error);
    }
    find_unknown_keys(key_file, file_name, mistakes);
    find_unknown_overrides(overrides, override_count, mistakes);
    for (size_t i = 0; i < G_N_ELEMENTS(setting_rows); i++)
        read_row(settings, &setting_rows[i], key_file, file_name,
                 find_override(overrides, override_count, &setting_rows[i]), mistakes);
    g_key_file_unref(key_file);
    return settings;
}

static void clear_endpoint(endpoint_t *endpoint) {
    g_free(endpoint->address);
}

void settings_free(settings_t *settings) {
    g_free(settings->name);
    g_free(settings->zone);
    g_free(settings->log_level);
    g_free(settings->port_file);
    g_free(settings->admin_token_sha256);
    clear_endpoint(&settings->http);
    clear_endpoint(&settings->peer);
    clear_endpoint(&settings->key_value);
    clear_endpoint(&settings->machine_list);
    clear_endpoint(&settings->weight_store);
    g_array_unref(settings->seeds);
    g_free(settings);
}

void settings_describe(FILE *output) {
    for (size_t i = 0; i < G_N_ELEMENTS(setting_rows); i++) {
        const setting_row_t *row = &setting_rows[i];
        char *allowed = describe_allowed(row);
        fprintf(output, "%s.%s\t%s\t%s\t%s\n", row->group, row->key, allowed,
                row->fallback != NULL ? row->fallback : "(required)", row->meaning);
        g_free(allowed);
    }
}
