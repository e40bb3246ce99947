#include "core/tenancy/tenancy.h"

static void free_tenant(gpointer data) {
    tenant_t *tenant = data;
    g_free(tenant->name);
    g_free(tenant);
}

tenancy_t *tenancy_new(void) {
    tenancy_t *tenancy = g_new0(tenancy_t, 1);
    tenancy->tenants = g_ptr_array_new_with_free_func(free_tenant);
    tenancy->by_digest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return tenancy;
}

void tenancy_free(tenancy_t *tenancy) {
    if (tenancy == NULL)
        return;
    g_hash_table_destroy(tenancy->by_digest);
    g_ptr_array_free(tenancy->tenants, TRUE);
    g_free(tenancy);
}

tenant_t *tenancy_add(tenancy_t *tenancy, const char *name) {
    tenant_t *tenant = g_new0(tenant_t, 1);
    tenant->name = g_strdup(name);
    g_ptr_array_add(tenancy->tenants, tenant);
    return tenant;
}

void tenancy_add_digest(tenancy_t *tenancy, tenant_t *tenant, const char *digest) {
    g_hash_table_replace(tenancy->by_digest, g_strdup(digest), tenant);
}

char *tenancy_digest(const char *key) {
    return g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
}

const tenant_t *tenancy_find(const tenancy_t *tenancy, const char *key) {
    char *digest = tenancy_digest(key);
    const tenant_t *tenant = g_hash_table_lookup(tenancy->by_digest, digest);
    g_free(digest);
    return tenant;
}
