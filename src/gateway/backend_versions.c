#include "gateway/backend_versions.h"

#include "gateway/backend_survival.h"

enum {
    VERSION_ENTRY_LAG_MS = 1000, /**< From the write of an entry until gateways have it. */
};

static version_count_t *version_at(const service_members_t *members, guint index) {
    return &g_array_index(members->versions, version_count_t, index);
}

static guint find_version(const service_members_t *members, software_version_t version) {
    guint index = 0;
    while (index < members->versions->len && version_at(members, index)->version != version)
        index++;
    return index;
}

void backend_versions_add(backends_t *backends, service_members_t *members,
                          software_version_t version) {
    bool another = members->latest_version != VERSION_ANY && members->latest_version != version;
    if (another)
        members->differed_at = uv_now(backends->loop);
    members->latest_version = version;
    guint index = find_version(members, version);
    if (index == members->versions->len) {
        const version_count_t none = {version, 0};
        g_array_append_val(members->versions, none);
    }
    version_at(members, index)->backends++;
}

void backend_versions_remove(backends_t *backends, service_members_t *members,
                             software_version_t version) {
    if (members->versions->len > 1)
        members->differed_at = uv_now(backends->loop);
    guint index = find_version(members, version);
    if (--version_at(members, index)->backends == 0)
        g_array_remove_index_fast(members->versions, index);
}

bool backends_versions_differ(const backends_t *backends, const char *service) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, service);
    if (members == NULL)
        return false;
    bool recently = members->differed_at > 0 &&
                    uv_now(backends->loop) < members->differed_at + STREAM_VERSION_RETENTION_MS;
    return recently || members->versions->len > 1;
}

bool backends_version_always_same(const backends_t *backends, const char *service) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, service);
    if (members == NULL || backends_versions_differ(backends, service))
        return false;
    bool unnamed = members->latest_version == VERSION_UNNAMED;
    return unnamed || uv_now(backends->loop) >= backends->opened_at + STREAM_VERSION_RETENTION_MS;
}

software_version_t backends_latest_version(const backends_t *backends, const char *service) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, service);
    if (members == NULL)
        return VERSION_UNKNOWN;
    return members->versions->len == 1 ? version_at(members, 0)->version : members->latest_version;
}

static bool list_serves_version(const GPtrArray *list, software_version_t version) {
    for (guint i = 0; i < list->len; i++) {
        const backend_t *backend = g_ptr_array_index(list, i);
        if (backend->version == version && !backend->record->leaving)
            return true;
    }
    return false;
}

bool backends_serve_version(const backends_t *backends, const char *service,
                            software_version_t version) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, service);
    return members != NULL && (list_serves_version(members->local, version) ||
                               list_serves_version(members->remote, version));
}

void backend_doubt_version(backend_t *backend, uint64_t since) {
    bool was_certain = backend_version_certain(backend);
    backend->replaced_from = was_certain ? since : MIN(backend->replaced_from, since);
    backend->version_doubted_at = uv_now(backend->loop);
    const backends_t *backends = backend->owner;
    if (backends->on_process_doubted != NULL)
        backends->on_process_doubted(backends->process_owner, backend);
}

void backend_trust_version(backend_t *backend, uint64_t since) {
    if (backend->version_doubted_at <= since)
        backend->version_doubted_at = 0;
}

bool backend_version_certain(const backend_t *backend) {
    uint64_t doubted_at = backend->version_doubted_at;
    if (doubted_at == 0)
        return true;
    bool updated = backend->version_updated_at >= doubted_at &&
                   uv_now(backend->loop) >= doubted_at + VERSION_ENTRY_LAG_MS;
    return updated || backend_survival_since(backend, doubted_at) == SURVIVAL_ANSWERED ||
           backend->owner->confirmed_at >= doubted_at + VERSION_DOUBT_MS;
}
