/**
 * @file service_directory.h
 * What routes and back ends there are: the operators' configuration as the gateway uses it, and
 * one record for each back end. The adapter in platform/ makes both from the key-value service.
 *
 * Thread safety: records are immutable once made; counts of references are atomic.
 */
#ifndef RUDDERWAY_CLUSTER_SERVICE_DIRECTORY_H
#define RUDDERWAY_CLUSTER_SERVICE_DIRECTORY_H

#include "core/tenancy/tenancy.h"
#include "net/http_listener.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** What may be done with a call whose outcome is unknown. */
typedef enum {
    CALL_REPEATABLE,   /**< May run more than once. */
    CALL_AT_MOST_ONCE, /**< May run once for each attempt of the caller. */
    CALL_STREAM,       /**< Answers by events; at most once unless resumable. */
} call_kind_t;

/** One destination of a route. */
typedef struct {
    char *service;
    uint32_t weight;
} route_part_t;

typedef struct {
    char *name;
    char *host;
    char *path_prefix;
    call_kind_t kind;
    bool resumable;        /**< A stream may go on at another back end. */
    bool keeps_turns;      /**< A call may go on from an earlier one, whose text is kept. */
    bool sticky;           /**< Calls of a session belong together. */
    bool open_to_all;      /**< Calls need no key. */
    uint32_t timeout_ms;   /**< Longest time that a call is held; 0: none. */
    uint32_t objective_ms; /**< Time within which an answer is in time. */
    uint32_t attempts;     /**< Back ends that one attempt of a caller may be sent to. */
    uint32_t priority;     /**< 0 is served first. */
    uint32_t retention_ms; /**< How long turns are kept. */
    GArray *parts;         /**< Of route_part_t. */
} route_t;

typedef struct {
    char *name;
    uint32_t connection_limit; /**< Connections a back end takes from all callers; 0: unknown. */
    bool engine;
    uint32_t slots; /**< Calls that an engine runs at once; 0: unknown. */
    uint32_t tokens_per_event;
} service_t;

typedef struct {
    gint references;
    uint64_t version;
    GPtrArray *routes;      /**< Of route_t. */
    GHashTable *by_prefix;  /**< Host and path prefix to route_t; see directory_add_route. */
    GArray *prefix_lengths; /**< Of size_t: those that occur, the longest first. */
    GHashTable *services;   /**< Name to service_t. */
    tenancy_t *tenancy;     /**< NULL: there are no tenants, and keys mean nothing here. */
    http_limits_t limits;
} directory_configuration_t;

typedef struct {
    char *instance; /**< Of one start of the back end. */
    char *service;
    char *zone;
    struct sockaddr_in address;
    uint32_t slots;
    char *version; /**< Of the back end's software; NULL: its entry names none. */
    uint64_t born; /**< Unix time in ms at which this life began; 0: unknown. In a record that came
                      in short form: what stands for it, see backend_record_life. */
    bool leaving;
} backend_record_t;

directory_configuration_t *directory_configuration_new(void);
directory_configuration_t *directory_configuration_ref(directory_configuration_t *configuration);
void directory_configuration_unref(directory_configuration_t *configuration);
route_t *directory_route_new(void);
/** Adds a route that is complete; of two with one host and prefix the earlier one counts. */
void directory_add_route(directory_configuration_t *configuration, route_t *route);
/** The route for @p host and @p path: of those of the host the one with the longest prefix. */
const route_t *directory_find_route(const directory_configuration_t *configuration,
                                    const char *host, const char *path);
const service_t *directory_find_service(const directory_configuration_t *configuration,
                                        const char *name);
void backend_record_free(backend_record_t *backend);
/**
 * What stands for a back end's life among processes, the same at each; 0: its start is unknown. Two
 * lives of one instance have the same one if they began a multiple of 65,535 ms apart.
 */
uint16_t backend_record_life(const backend_record_t *backend);
/**
 * The short form in which processes pass on a back end without a version; the instance is not in
 * there.
 */
GBytes *backend_record_encode(const backend_record_t *backend);
/** NULL if @p data is no short form. */
backend_record_t *backend_record_decode(const char *instance, const void *data, size_t length);
/** Reads "IP:PORT"; false if it is none. */
bool parse_socket_address(const char *text, struct sockaddr_in *address);
enum { SOCKET_ADDRESS_BYTES = sizeof "255.255.255.255:65535" };
/** Writes "IP:PORT". */
void format_socket_address(const struct sockaddr_in *address, char text[SOCKET_ADDRESS_BYTES]);

/* Implemented by platform/. */

/**
 * The configuration @p value with each key replaced by its digest: what leaves this process, or
 * is kept. The caller owns the result; bytes that are no configuration come back as they are.
 */
GBytes *directory_redact_configuration(GBytes *value);
/** NULL if @p data is no configuration; it may be a redacted one. */
directory_configuration_t *directory_parse_configuration(const char *data, size_t length);
/** What makes an entry of the directory name no back end. */
typedef enum {
    BACKEND_ENTRY_SOUND,
    BACKEND_ENTRY_UNREADABLE, /**< No object of the service's encoding. */
    BACKEND_ENTRY_SERVICE,    /**< From here on: this field is missing or of another type. */
    BACKEND_ENTRY_ADDRESS,
    BACKEND_ENTRY_ZONE,
    BACKEND_ENTRY_SLOTS,
    BACKEND_ENTRY_STATE, /**< Also one that has no meaning here. */
    BACKEND_ENTRY_OTHER, /**< A field that is not used here is of another type. */
    BACKEND_ENTRY_FAULT_COUNT,
} backend_entry_fault_t;

const char *backend_entry_fault_name(backend_entry_fault_t fault);
/**
 * Writes a back end as an entry, which directory_read_backend reads: the form in which processes
 * pass on one with a version, since earlier versions of them reject a short form with a field more.
 */
GBytes *directory_write_backend(const backend_record_t *backend);
/** Reads an entry; NULL and @p fault if it names no back end to use, or to stop using. */
backend_record_t *directory_read_backend(const char *instance, const char *data, size_t length,
                                         backend_entry_fault_t *fault);
/** As directory_read_backend, for which fault does not matter. */
backend_record_t *directory_parse_backend(const char *instance, const char *data, size_t length);
/** URL path at which a back end reports on itself. */
const char *backend_report_path(void);
/** Reads a back end's report; false if it is none. @p born: as in backend_record_t. */
bool backend_report_read(const char *data, size_t length, uint64_t *born);

#endif
