/**
 * @file configuration.h
 * The operators' configuration: templates, and tenants with their parameters per template.
 *
 * A configuration is an immutable snapshot of one revision. Each revision is one edit: a set
 * of objects written or deleted atomically. Nodes apply edits in order of revision only, so that
 * a configuration never reverts; a rollback is a new revision.
 *
 * Decision code: no I/O, clock or thread. A snapshot may be read by any thread.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_CONFIGURATION_H
#define RUDDERWAY_CORE_CONFIGURATION_CONFIGURATION_H

#include "common/codec.h"
#include "common/json.h"
#include "core/program/command.h"

/** Settings shared by all programs that are created from the template. */
typedef struct {
    char *name;
    char *model;
    char *prompt; /**< System prompt; "{name}" is replaced by a parameter. */
    bool batch;
    program_limits_t limits;
    char **tools; /**< Services that programs may call. */
} template_t;

typedef struct {
    char *name;
    char *token_sha256; /**< Lower-case hexadecimal. */
    uint32_t calls_in_flight;
    char **services;    /**< Services that it may call without a program. */
    json_t *parameters; /**< Object: template → object of parameters. */
} tenant_t;

typedef enum { OBJECT_TEMPLATE, OBJECT_TENANT } object_kind_t;

/** One object of a configuration. */
typedef struct {
    char *key;         /**< "template/NAME" or "tenant/NAME". */
    uint64_t revision; /**< Revision that last changed the object. */
    char *text;        /**< JSON source. */
    object_kind_t kind;
    template_t program_template;
    tenant_t tenant;
} configuration_object_t;

/** Change of one object by an edit. */
typedef struct {
    char *key;
    char *text;             /**< JSON; "" deletes the object. */
    uint64_t base_revision; /**< Revision of the object that was edited; 0: a new object. */
} edit_change_t;

/** A set of changes submitted by an operator; becomes one revision. */
typedef struct {
    uint64_t revision; /**< Assigned on acceptance. */
    char *id;          /**< Unique; set by the client. */
    char *author;
    int64_t time_ms;
    GPtrArray *changes; /**< Of edit_change_t. */
} edit_t;

typedef struct configuration configuration_t;

/** The empty configuration, revision 0. */
configuration_t *configuration_new(void);
configuration_t *configuration_ref(configuration_t *configuration);
void configuration_unref(configuration_t *configuration);

/**
 * The configuration after @p edit, whose revision must be the next one. Unchanged objects are
 * shared. NULL with EDIT_INVALID (with line and key in the message) or EDIT_CONFLICT.
 */
configuration_t *configuration_apply(const configuration_t *configuration, const edit_t *edit,
                                     GError **error);

/**
 * The configuration in @p snapshot, an edit that contains every object with its own revision as
 * base_revision. NULL with EDIT_INVALID.
 */
configuration_t *configuration_load(const edit_t *snapshot, GError **error);

uint64_t configuration_revision(const configuration_t *configuration);
/** Id of the edit that created this revision; "" at revision 0. */
const char *configuration_edit_id(const configuration_t *configuration);
const template_t *configuration_template(const configuration_t *configuration, const char *name);
const tenant_t *configuration_tenant(const configuration_t *configuration, const char *name);
/** The tenant whose token has this SHA-256 hash; compares in constant time per tenant. */
const tenant_t *configuration_tenant_by_token(const configuration_t *configuration,
                                              const char *sha256);
const configuration_object_t *configuration_object(const configuration_t *configuration,
                                                   const char *key);
/** Of configuration_object_t, ordered by key; the caller unrefs the array. */
GPtrArray *configuration_list(const configuration_t *configuration);

/** The parameters of @p tenant for @p template_name overridden by @p parameters; caller decrefs. */
json_t *configuration_parameters(const tenant_t *tenant, const char *template_name,
                                 const json_t *parameters);
/** The template's prompt with "{name}" replaced by the parameters; caller frees. */
char *configuration_prompt(const template_t *program_template, const json_t *parameters);

/** Line number, from 1, of the key at @p path ("a.b.c") in JSON @p text. */
int configuration_find_line(const char *text, const char *path);

edit_t *edit_new(const char *id, const char *author, int64_t time_ms);
void edit_add(edit_t *edit, const char *key, const char *text, uint64_t base_revision);
void edit_free(edit_t *edit);
void edit_codec(codec_t *codec, edit_t *edit);
GBytes *edit_encode(edit_t *edit);
edit_t *edit_decode(GBytes *bytes);
/** JSON encoding, for the key-value service and the administration API. */
json_t *edit_to_json(const edit_t *edit);
edit_t *edit_from_json(const json_t *value, GError **error);

/** True for 1 to 64 of the characters A-Z a-z 0-9 . _ - */
bool configuration_name_valid(const char *name);
/** Compares strings; the time does not depend on the position of the first difference. */
bool configuration_equal_constant_time(const char *left, const char *right);

#endif
