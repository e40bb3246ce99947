/**
 * @file key_value.h
 * The key-value service as Rudderway sees it: keys with revisions, listings, watches and
 * conditional writes. How that is said on the wire, and how the operators' configuration and the
 * list of back ends are written there, is the adapter's matter: platform/ implements the
 * functions of this header and holds no state.
 *
 * Thread safety: the functions are pure and may be called from any thread.
 */
#ifndef RUDDERWAY_CLUSTER_KEY_VALUE_H
#define RUDDERWAY_CLUSTER_KEY_VALUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One key as it was last written. */
typedef struct {
    char *key;
    GBytes *value; /**< NULL: the key is gone. */
    uint64_t revision;
} key_value_item_t;

/** Part of a listing, or what a watch saw. */
typedef struct {
    GArray *items;     /**< Of key_value_item_t. */
    uint64_t revision; /**< Of the service when it answered; a watch goes on after it. */
    bool more;         /**< The listing goes on after the last key. */
} key_value_page_t;

/** What a key holds for Rudderway. */
typedef enum {
    KEY_OTHER,
    KEY_CONFIGURATION, /**< The operators' configuration. */
    KEY_BACKEND,       /**< A back end; the key's name is its instance. */
    KEY_OWN,           /**< A record of Rudderway's own. */
    KEY_RETIRE,        /**< An operator asks that a storage node be emptied. */
    KEY_SPILL,         /**< Turns of a storage node whose disk is slow; see store/turn_spill.h. */
} key_kind_t;

typedef enum { KEY_VALUE_WRITTEN, KEY_VALUE_CONFLICT, KEY_VALUE_REFUSED } key_value_outcome_t;

/** Kind of @p key; @p name is set to its last part, inside the key. */
key_kind_t key_value_kind(const char *key, const char **name);
/** Prefix of the keys of a kind; all keys for KEY_OTHER. */
const char *key_value_prefix(key_kind_t kind);
/** The whole key of one of Rudderway's own records; caller frees. */
char *key_value_own_key(const char *name);
/** The whole key under which a retirement's state is told; caller frees. */
char *key_value_retire_status_key(const char *node);
/** The record that tells a retirement's state. */
GBytes *key_value_retire_status(bool complete);

/** Whole HTTP requests to the service at @p host. */
GString *key_value_list_request(const char *host, const char *prefix, const char *after);
GString *key_value_watch_request(const char *host, const char *prefix, uint64_t after,
                                 uint32_t wait_ms);
/** Writes @p value if the key's revision is @p expected (0: no such key); always if @p any. */
GString *key_value_write_request(const char *host, const char *key, GBytes *value, bool any,
                                 uint64_t expected);

/** Removes @p keys (of char *), at most 32. */
GString *key_value_remove_request(const char *host, const GPtrArray *keys);

void key_value_page_clear(key_value_page_t *page);
/** Reads an answer; false if it is not one. */
bool key_value_parse_page(const char *body, size_t length, key_value_page_t *page);
/** Reads a watch's answer; false if it is not one. */
bool key_value_parse_events(const char *body, size_t length, key_value_page_t *page);
/** True if @p status says that a watch's history is gone and listing must begin again. */
bool key_value_history_gone(unsigned status);
/**
 * What the answer to a write says. One that says that it was done without its revision was cut off:
 * an answer without a length ends with its connection wherever that ends.
 */
key_value_outcome_t key_value_write_outcome(unsigned status, const char *body, size_t length);

#endif
