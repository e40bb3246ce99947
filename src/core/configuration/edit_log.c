#include "core/configuration/edit_log.h"

#include <string.h>

enum { EDITS_RETAINED = 2000 };

struct edit_log {
    configuration_t *configuration;
    GPtrArray *edits; /**< Of edit_t, with consecutive revisions up to the current one. */
};

edit_log_t *edit_log_new(void) {
    edit_log_t *log = g_new0(edit_log_t, 1);
    log->configuration = configuration_new();
    log->edits = g_ptr_array_new_with_free_func((GDestroyNotify)edit_free);
    return log;
}

void edit_log_free(edit_log_t *log) {
    configuration_unref(log->configuration);
    g_ptr_array_unref(log->edits);
    g_free(log);
}

configuration_t *edit_log_configuration(const edit_log_t *log) {
    return log->configuration;
}

static edit_t *copy_edit(edit_t *edit) {
    GBytes *bytes = edit_encode(edit);
    edit_t *copy = edit_decode(bytes);
    g_bytes_unref(bytes);
    return copy;
}

static void replace_configuration(edit_log_t *log, configuration_t *next) {
    configuration_unref(log->configuration);
    log->configuration = next;
}

edit_verdict_t edit_log_apply(edit_log_t *log, edit_t *edit, GError **error) {
    uint64_t revision = configuration_revision(log->configuration);
    if (edit->revision <= revision)
        return EDIT_OLD;
    if (edit->revision > revision + 1)
        return EDIT_GAP;
    configuration_t *next = configuration_apply(log->configuration, edit, error);
    if (next == NULL)
        return EDIT_REJECTED;
    replace_configuration(log, next);
    g_ptr_array_add(log->edits, copy_edit(edit));
    if (log->edits->len > EDITS_RETAINED)
        g_ptr_array_remove_index(log->edits, 0);
    return EDIT_APPLIED;
}

edit_verdict_t edit_log_load(edit_log_t *log, edit_t *snapshot, GError **error) {
    if (snapshot->revision <= configuration_revision(log->configuration))
        return EDIT_OLD;
    configuration_t *next = configuration_load(snapshot, error);
    if (next == NULL)
        return EDIT_REJECTED;
    replace_configuration(log, next);
    g_ptr_array_set_size(log->edits, 0);
    return EDIT_APPLIED;
}

static edit_t *make_snapshot(const edit_log_t *log) {
    edit_t *snapshot = edit_new(configuration_edit_id(log->configuration), "", 0);
    snapshot->revision = configuration_revision(log->configuration);
    GPtrArray *objects = configuration_list(log->configuration);
    for (guint i = 0; i < objects->len; i++) {
        const configuration_object_t *object = g_ptr_array_index(objects, i);
        edit_add(snapshot, object->key, object->text, object->revision);
    }
    g_ptr_array_unref(objects);
    return snapshot;
}

bool edit_log_since(const edit_log_t *log, uint64_t after, GPtrArray *edits) {
    uint64_t revision = configuration_revision(log->configuration);
    if (after >= revision)
        return false;
    if (revision - after > log->edits->len) {
        g_ptr_array_add(edits, make_snapshot(log));
        return true;
    }
    for (uint64_t i = log->edits->len - (revision - after); i < log->edits->len; i++)
        g_ptr_array_add(edits, copy_edit(g_ptr_array_index(log->edits, i)));
    return false;
}

const edit_t *edit_log_find(const edit_log_t *log, const char *id) {
    for (guint i = log->edits->len; i > 0; i--) {
        const edit_t *edit = g_ptr_array_index(log->edits, i - 1);
        if (strcmp(edit->id, id) == 0)
            return edit;
    }
    return NULL;
}

const edit_t *edit_log_get(const edit_log_t *log, uint64_t revision) {
    for (guint i = 0; i < log->edits->len; i++) {
        const edit_t *edit = g_ptr_array_index(log->edits, i);
        if (edit->revision == revision)
            return edit;
    }
    return NULL;
}

const GPtrArray *edit_log_edits(const edit_log_t *log) {
    return log->edits;
}
