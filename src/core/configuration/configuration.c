#include "core/configuration/configuration.h"

#include <string.h>

enum {
    NAME_MAXIMUM = 64,
    PROMPT_MAXIMUM = 64 * 1024,
    TURNS_MAXIMUM = 10000,
    OUTPUT_TOKENS_MAXIMUM = 32768,
    SECONDS_MAXIMUM = 7 * 24 * 3600,
    CALLS_IN_FLIGHT_MAXIMUM = 100000,
    LIST_MAXIMUM = 256,
    SHA256_HEX_LENGTH = 64,
    MILLISECONDS = 1000,
};

#define BUDGET_MAXIMUM INT64_C(1000000000000)

static const char template_prefix[] = "template/";
static const char tenant_prefix[] = "tenant/";

struct configuration {
    gatomicrefcount references;
    uint64_t revision;
    char *edit_id;
    GHashTable *objects; /**< key → configuration_object_t, shared by reference. */
};

typedef struct {
    gatomicrefcount references;
    configuration_object_t object;
} shared_object_t;

static void shared_object_unref(gpointer data) {
    shared_object_t *shared = data;
    if (!g_atomic_ref_count_dec(&shared->references))
        return;
    configuration_object_t *object = &shared->object;
    g_free(object->key);
    g_free(object->text);
    g_free(object->program_template.name);
    g_free(object->program_template.model);
    g_free(object->program_template.prompt);
    g_strfreev(object->program_template.tools);
    g_free(object->tenant.name);
    g_free(object->tenant.token_sha256);
    g_strfreev(object->tenant.services);
    json_decref(object->tenant.parameters);
    g_free(shared);
}

configuration_t *configuration_new(void) {
    configuration_t *configuration = g_new0(configuration_t, 1);
    g_atomic_ref_count_init(&configuration->references);
    configuration->edit_id = g_strdup("");
    configuration->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shared_object_unref);
    return configuration;
}

configuration_t *configuration_ref(configuration_t *configuration) {
    g_atomic_ref_count_inc(&configuration->references);
    return configuration;
}

void configuration_unref(configuration_t *configuration) {
    if (!g_atomic_ref_count_dec(&configuration->references))
        return;
    g_hash_table_unref(configuration->objects);
    g_free(configuration->edit_id);
    g_free(configuration);
}

bool configuration_name_valid(const char *name) {
    size_t length = strlen(name);
    if (length == 0 || length > NAME_MAXIMUM)
        return false;
    for (const char *c = name; *c != '\0'; c++)
        if (!g_ascii_isalnum(*c) && strchr("._-", *c) == NULL)
            return false;
    return true;
}

bool configuration_equal_constant_time(const char *left, const char *right) {
    size_t left_length = strlen(left);
    if (left_length != strlen(right))
        return false;
    volatile unsigned char difference = 0;
    for (size_t i = 0; i < left_length; i++)
        difference |= (unsigned char)(left[i] ^ right[i]);
    return difference == 0;
}

int configuration_find_line(const char *text, const char *path) {
    char **keys = g_strsplit(path, ".", -1);
    const char *position = text;
    for (char **key = keys; *key != NULL; key++) {
        char *quoted = g_strdup_printf("\"%s\"", *key);
        const char *found = strstr(position, quoted);
        g_free(quoted);
        if (found != NULL)
            position = found;
    }
    g_strfreev(keys);
    int line = 1;
    for (const char *c = text; c < position; c++)
        line += *c == '\n';
    return line;
}

/* --- Validation ----------------------------------------------------------------------------- */

static char **read_names(json_reader_t *reader, const char *key) {
    const json_t *list = json_reader_value(reader, key, JSON_ARRAY, false);
    GStrvBuilder *builder = g_strv_builder_new();
    if (json_array_size(list) > LIST_MAXIMUM)
        json_reader_fail(reader, key, "too many names");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *name = json_string_value(json_array_get(list, i));
        if (name == NULL || !configuration_name_valid(name))
            json_reader_fail(reader, key, "holds something that is not a name");
        else
            g_strv_builder_add(builder, name);
    }
    char **names = g_strv_builder_end(builder);
    g_strv_builder_unref(builder);
    return names;
}

static char *read_name(json_reader_t *reader, const char *key) {
    const char *name = json_reader_text(reader, key, true, 1, NAME_MAXIMUM);
    if (name != NULL && !configuration_name_valid(name))
        json_reader_fail(reader, key, "is not a name (A-Z a-z 0-9 . _ -)");
    return g_strdup(name);
}

static void read_limits(json_reader_t *parent, program_limits_t *limits) {
    json_reader_t reader;
    const json_t *value = json_reader_value(parent, "limits", JSON_OBJECT, true);
    if (value == NULL)
        return;
    json_reader_start(&reader, value, "limits.", parent->error);
    limits->turns = (uint32_t)json_reader_integer(&reader, "turns", 1, TURNS_MAXIMUM, 0);
    limits->budget = (uint64_t)json_reader_integer(&reader, "budget_tokens", 1, BUDGET_MAXIMUM, 0);
    limits->wall_ms =
        MILLISECONDS * json_reader_integer(&reader, "wall_seconds", 1, SECONDS_MAXIMUM, 0);
    limits->idle_ms =
        MILLISECONDS * json_reader_integer(&reader, "idle_seconds", 1, SECONDS_MAXIMUM, 0);
    limits->output_tokens =
        (uint32_t)json_reader_integer(&reader, "output_tokens", 1, OUTPUT_TOKENS_MAXIMUM, 0);
    limits->loop_repeats =
        (uint32_t)json_reader_integer(&reader, "loop_repeats", 2, TURNS_MAXIMUM, 8);
    parent->failed = !json_reader_finish(&reader) || parent->failed;
}

static void read_template(json_reader_t *reader, template_t *program_template) {
    program_template->name = read_name(reader, "name");
    program_template->model = read_name(reader, "model");
    program_template->prompt =
        g_strdup(json_reader_text(reader, "prompt", true, 1, PROMPT_MAXIMUM));
    const char *priority = json_reader_text(reader, "priority", false, 1, NAME_MAXIMUM);
    program_template->batch = g_strcmp0(priority, "batch") == 0;
    if (priority != NULL && !program_template->batch && strcmp(priority, "interactive") != 0)
        json_reader_fail(reader, "priority", "is neither interactive nor batch");
    program_template->tools = read_names(reader, "tools");
    read_limits(reader, &program_template->limits);
}

static bool is_sha256(const char *text) {
    return strlen(text) == SHA256_HEX_LENGTH &&
           strspn(text, "0123456789abcdef") == SHA256_HEX_LENGTH;
}

static void read_parameters(json_reader_t *reader, tenant_t *tenant) {
    const json_t *parameters = json_reader_value(reader, "parameters", JSON_OBJECT, false);
    const char *key;
    json_t *value;
    tenant->parameters = parameters != NULL ? json_deep_copy(parameters) : json_object();
    json_object_foreach(tenant->parameters, key, value) {
        const char *name;
        json_t *parameter;
        if (!json_is_object(value))
            json_reader_fail(reader, "parameters", "is not an object of objects");
        json_object_foreach(value, name, parameter) {
            if (!json_is_string(parameter) || !configuration_name_valid(name))
                json_reader_fail(reader, "parameters", "holds something that is not a text");
        }
    }
}

static void read_tenant(json_reader_t *reader, tenant_t *tenant) {
    tenant->name = read_name(reader, "name");
    tenant->token_sha256 =
        g_strdup(json_reader_text(reader, "token_sha256", true, 1, SHA256_HEX_LENGTH));
    if (tenant->token_sha256 != NULL && !is_sha256(tenant->token_sha256))
        json_reader_fail(reader, "token_sha256", "is not 64 lower-case hexadecimal digits");
    tenant->calls_in_flight =
        (uint32_t)json_reader_integer(reader, "calls_in_flight", 1, CALLS_IN_FLIGHT_MAXIMUM, 100);
    tenant->services = read_names(reader, "services");
    read_parameters(reader, tenant);
}

/** Converts a parse or field error to EDIT_INVALID with object key and line number. */
static void set_edit_error(GError **error, GError *problem, const edit_change_t *change) {
    const char *detail = strstr(problem->message, ": ");
    detail = detail != NULL ? detail + 2 : problem->message;
    const char *end = strchr(detail, ':');
    char *path = end != NULL ? g_strndup(detail, (gsize)(end - detail)) : g_strdup(detail);
    bool syntax = problem->code == RUDDERWAY_ERROR_BAD_JSON;
    if (syntax)
        error_set(error, RUDDERWAY_ERROR_EDIT_INVALID, "%s: %s", change->key, detail);
    else
        error_set(error, RUDDERWAY_ERROR_EDIT_INVALID, "%s: line %d: %s", change->key,
                  configuration_find_line(change->text, path), problem->message);
    g_free(path);
    g_error_free(problem);
}

static shared_object_t *parse_object(const edit_change_t *change, uint64_t revision,
                                     GError **error) {
    GError *problem = NULL;
    json_reader_t reader;
    json_t *value = json_parse(change->text, strlen(change->text), &problem);
    if (value == NULL) {
        set_edit_error(error, problem, change);
        return NULL;
    }
    shared_object_t *shared = g_new0(shared_object_t, 1);
    configuration_object_t *object = &shared->object;
    g_atomic_ref_count_init(&shared->references);
    object->key = g_strdup(change->key);
    object->text = g_strdup(change->text);
    object->revision = revision;
    object->kind = g_str_has_prefix(change->key, template_prefix) ? OBJECT_TEMPLATE : OBJECT_TENANT;
    json_reader_start(&reader, value, "", &problem);
    if (object->kind == OBJECT_TEMPLATE)
        read_template(&reader, &object->program_template);
    else
        read_tenant(&reader, &object->tenant);
    const char *name =
        object->kind == OBJECT_TEMPLATE ? object->program_template.name : object->tenant.name;
    if (!reader.failed && g_strcmp0(name, strchr(change->key, '/') + 1) != 0)
        json_reader_fail(&reader, "name", "differs from the key");
    bool valid = json_reader_finish(&reader);
    json_decref(value);
    if (valid)
        return shared;
    shared_object_unref(shared);
    set_edit_error(error, problem, change);
    return NULL;
}

static bool key_is_valid(const char *key) {
    if (g_str_has_prefix(key, template_prefix))
        return configuration_name_valid(key + strlen(template_prefix));
    return g_str_has_prefix(key, tenant_prefix) &&
           configuration_name_valid(key + strlen(tenant_prefix));
}

static bool apply_change(configuration_t *next, const configuration_t *base,
                         const edit_change_t *change, GError **error) {
    if (!key_is_valid(change->key)) {
        error_set(error, RUDDERWAY_ERROR_EDIT_INVALID,
                  "key \"%s\" is not template/NAME or "
                  "tenant/NAME",
                  change->key);
        return false;
    }
    const configuration_object_t *current = configuration_object(base, change->key);
    uint64_t current_revision = current != NULL ? current->revision : 0;
    if (current_revision != change->base_revision) {
        error_set(error, RUDDERWAY_ERROR_EDIT_CONFLICT,
                  "%s is at revision %" G_GUINT64_FORMAT
                  ", the edit is based on %" G_GUINT64_FORMAT,
                  change->key, current_revision, change->base_revision);
        return false;
    }
    if (*change->text == '\0') {
        g_hash_table_remove(next->objects, change->key);
        return true;
    }
    shared_object_t *shared = parse_object(change, next->revision, error);
    if (shared == NULL)
        return false;
    g_hash_table_replace(next->objects, shared->object.key, shared);
    return true;
}

/** Checks that every template for which a tenant sets parameters exists. */
static bool references_are_valid(const configuration_t *configuration, GError **error) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, configuration->objects);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const configuration_object_t *object = &((shared_object_t *)value)->object;
        if (object->kind != OBJECT_TENANT)
            continue;
        const char *name;
        json_t *parameters;
        json_object_foreach(object->tenant.parameters, name, parameters) {
            if (configuration_template(configuration, name) != NULL)
                continue;
            error_set(error, RUDDERWAY_ERROR_EDIT_INVALID,
                      "%s: line %d: parameters.%s: no such template", object->key,
                      configuration_find_line(object->text, name), name);
            return false;
        }
    }
    return true;
}

configuration_t *configuration_apply(const configuration_t *configuration, const edit_t *edit,
                                     GError **error) {
    if (edit->revision != configuration->revision + 1) {
        error_set(error, RUDDERWAY_ERROR_EDIT_CONFLICT,
                  "revision %" G_GUINT64_FORMAT " does not follow %" G_GUINT64_FORMAT,
                  edit->revision, configuration->revision);
        return NULL;
    }
    configuration_t *next = configuration_new();
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, configuration->objects);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        g_atomic_ref_count_inc(&((shared_object_t *)value)->references);
        g_hash_table_insert(next->objects, key, value);
    }
    next->revision = edit->revision;
    g_free(next->edit_id);
    next->edit_id = g_strdup(edit->id);
    bool valid = true;
    for (guint i = 0; i < edit->changes->len && valid; i++)
        valid = apply_change(next, configuration, g_ptr_array_index(edit->changes, i), error);
    if (valid && references_are_valid(next, error))
        return next;
    configuration_unref(next);
    return NULL;
}

configuration_t *configuration_load(const edit_t *snapshot, GError **error) {
    configuration_t *loaded = configuration_new();
    loaded->revision = snapshot->revision;
    g_free(loaded->edit_id);
    loaded->edit_id = g_strdup(snapshot->id);
    for (guint i = 0; i < snapshot->changes->len; i++) {
        const edit_change_t *change = g_ptr_array_index(snapshot->changes, i);
        shared_object_t *shared =
            key_is_valid(change->key) ? parse_object(change, change->base_revision, error) : NULL;
        if (shared == NULL) {
            configuration_unref(loaded);
            return NULL;
        }
        g_hash_table_replace(loaded->objects, shared->object.key, shared);
    }
    return loaded;
}

/* --- Reading -------------------------------------------------------------------------------- */

uint64_t configuration_revision(const configuration_t *configuration) {
    return configuration->revision;
}

const char *configuration_edit_id(const configuration_t *configuration) {
    return configuration->edit_id;
}

const configuration_object_t *configuration_object(const configuration_t *configuration,
                                                   const char *key) {
    const shared_object_t *shared = g_hash_table_lookup(configuration->objects, key);
    return shared != NULL ? &shared->object : NULL;
}

static const configuration_object_t *find_named(const configuration_t *configuration,
                                                const char *prefix, const char *name) {
    char *key = g_strconcat(prefix, name, NULL);
    const configuration_object_t *object = configuration_object(configuration, key);
    g_free(key);
    return object;
}

const template_t *configuration_template(const configuration_t *configuration, const char *name) {
    const configuration_object_t *object = find_named(configuration, template_prefix, name);
    return object != NULL ? &object->program_template : NULL;
}

const tenant_t *configuration_tenant(const configuration_t *configuration, const char *name) {
    const configuration_object_t *object = find_named(configuration, tenant_prefix, name);
    return object != NULL ? &object->tenant : NULL;
}

const tenant_t *configuration_tenant_by_token(const configuration_t *configuration,
                                              const char *sha256) {
    const tenant_t *found = NULL;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, configuration->objects);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const configuration_object_t *object = &((shared_object_t *)value)->object;
        if (object->kind == OBJECT_TENANT &&
            configuration_equal_constant_time(object->tenant.token_sha256, sha256))
            found = &object->tenant;
    }
    return found;
}

static gint compare_keys(gconstpointer a, gconstpointer b) {
    const configuration_object_t *left = *(const configuration_object_t *const *)a;
    const configuration_object_t *right = *(const configuration_object_t *const *)b;
    return strcmp(left->key, right->key);
}

GPtrArray *configuration_list(const configuration_t *configuration) {
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, configuration->objects);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        g_ptr_array_add(list, &((shared_object_t *)value)->object);
    g_ptr_array_sort(list, compare_keys);
    return list;
}

json_t *configuration_parameters(const tenant_t *tenant, const char *template_name,
                                 const json_t *parameters) {
    json_t *merged = json_object();
    json_object_update(merged, json_object_get(tenant->parameters, template_name));
    if (parameters != NULL)
        json_object_update(merged, (json_t *)parameters);
    return merged;
}

char *configuration_prompt(const template_t *program_template, const json_t *parameters) {
    GString *prompt = g_string_new(program_template->prompt);
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)parameters, name, value) {
        char *placeholder = g_strdup_printf("{%s}", name);
        if (json_is_string(value))
            g_string_replace(prompt, placeholder, json_string_value(value), 0);
        g_free(placeholder);
    }
    return g_string_free(prompt, FALSE);
}
