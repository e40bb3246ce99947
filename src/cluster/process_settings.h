/**
 * @file process_settings.h
 * Settings of a gateway or a storage node, read from a key file once at the start.
 * docs/SETTINGS.md lists them.
 *
 * Thread safety: read-only after process_settings_load.
 */
#ifndef RUDDERWAY_CLUSTER_PROCESS_SETTINGS_H
#define RUDDERWAY_CLUSTER_PROCESS_SETTINGS_H

#include "common/error.h"
#include "core/quota/quota_split.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    char *name;
    char *zone;
    char *log_level;
    struct sockaddr_in calls;     /**< Where a gateway takes calls. */
    struct sockaddr_in readiness; /**< Where a gateway says whether it is ready. */
    uint64_t tolerated_zones;   /**< Zones whose loss is to be borne; 0: a cut is not looked for. */
    struct sockaddr_in metrics; /**< Where figures are told; port 0: nowhere. */
    char *peer_text;            /**< Where other processes of Rudderway reach this one. */
    struct sockaddr_in peer;
    char *key_value_text;
    struct sockaddr_in key_value;
    uint64_t value_bytes; /**< Largest value that the key-value service takes. */
    char *folder;         /**< Of a storage node's files. */
    uint64_t disk_megabytes;
    uint64_t tolerated_losses; /**< Disks that may be lost at once: a group keeps more members. */
    uint64_t memory_megabytes;
    bool first_start;     /**< The whole system starts for the first time. */
    uint64_t grace_ms;    /**< Longest planned stop. */
    quota_bounds_t quota; /**< How exactly tenants' limits are to be held. */
    bool whole_programs;  /**< Programs of tenants with a limit begin only if they can end. */
} process_settings_t;

/** Which settings a program needs. */
typedef enum { PROCESS_GATEWAY, PROCESS_STORE } process_kind_t;

/** Reads and checks the file; NULL and @p error naming the setting if one is not valid. */
process_settings_t *process_settings_load(const char *path, process_kind_t kind, GError **error);
void process_settings_free(process_settings_t *settings);

#endif
