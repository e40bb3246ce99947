/**
 * @file settings.h
 * The settings of a node: a GKeyFile, overridden by flags. docs/SETTINGS.md lists every key.
 * All mistakes are found at once. Thread safety: settings do not change after they are read.
 */
#ifndef RUDDERWAY_NODE_SETTINGS_H
#define RUDDERWAY_NODE_SETTINGS_H

#include "core/membership/membership.h"
#include "core/routing/routing.h"
#include "node/peer_message.h"

#include <stdio.h>

/** An IP number and a port; port 0 means that the setting is absent. */
typedef struct {
    char *address;
    uint32_t port;
} endpoint_t;

typedef struct {
    char *name;
    char *zone;
    char *log_level;
    endpoint_t http;
    endpoint_t peer;
    endpoint_t key_value;
    endpoint_t machine_list;
    endpoint_t weight_store;
    uint8_t cluster_key[PEER_KEY_BYTES];
    char *admin_token_sha256;
    GArray *seeds;   /**< Of membership_seed_t. */
    char *port_file; /**< Where the chosen ports are written, or "". */
    uint32_t partitions;
    uint32_t voters;
    uint32_t bootstrap_members;
    uint32_t http_threads;
    uint32_t connections;
    uint32_t body_bytes;
    uint32_t idle_seconds;
    uint32_t calls_in_flight;
    uint32_t program_memory_mb;
    uint32_t ended_retention_seconds;
    uint32_t stop_seconds;
    uint32_t call_timeout_seconds;
    routing_policy_t policy;
} settings_t;

/** One mistake in the settings. */
typedef struct {
    char *source; /**< File and group, or "command line". */
    char *key;
    char *value;
    char *allowed;
} settings_mistake_t;

/** A value from the command line, as "group.key". */
typedef struct {
    const char *key;
    const char *value;
} settings_override_t;

/**
 * Reads @p file (NULL: none), then @p overrides. Every mistake is appended to @p mistakes (of
 * settings_mistake_t); the settings are usable only if there is none.
 */
settings_t *settings_read(const char *file, const settings_override_t *overrides,
                          size_t override_count, GPtrArray *mistakes);
void settings_free(settings_t *settings);
void settings_mistake_free(settings_mistake_t *mistake);

/** Prints every key with its default and meaning, for --help and the documentation's test. */
void settings_describe(FILE *output);

#endif
