/**
 * @file tenancy.h
 * The tenants of a configuration and the keys by which their callers are known.
 *
 * Keys are secrets: only their SHA-256 digests are held, so that neither memory dumps nor copies of
 * the directory on storage nodes show them. A key is looked up by its digest, and so the time that
 * a look-up takes says nothing about how much of a guessed key is right.
 *
 * Decision code: no I/O, clock or thread. Immutable once filled.
 */
#ifndef RUDDERWAY_CORE_TENANCY_TENANCY_H
#define RUDDERWAY_CORE_TENANCY_TENANCY_H

#include <glib.h>
#include <stdint.h>

typedef struct {
    char *name;
    uint32_t rate;  /**< Calls a second that back ends may run for it; 0: no limit. */
    uint32_t burst; /**< Calls on top of the rate at one moment. */
} tenant_t;

typedef struct {
    GPtrArray *tenants;    /**< Of tenant_t. */
    GHashTable *by_digest; /**< Digest of a key to its tenant_t. */
} tenancy_t;

tenancy_t *tenancy_new(void);
void tenancy_free(tenancy_t *tenancy);
/** Adds a tenant; it belongs to @p tenancy. */
tenant_t *tenancy_add(tenancy_t *tenancy, const char *name);
/** Gives a tenant the key with the digest @p digest; a key of two tenants is the later one's. */
void tenancy_add_digest(tenancy_t *tenancy, tenant_t *tenant, const char *digest);
/** The digest of a key, 64 hexadecimal digits; the caller frees it. */
char *tenancy_digest(const char *key);
/** The tenant that holds @p key; NULL if none does. */
const tenant_t *tenancy_find(const tenancy_t *tenancy, const char *key);

#endif
