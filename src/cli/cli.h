/**
 * @file cli.h
 * What the commands of rudderway share: the cluster's addresses, requests that try one node
 * after another, and output as tables or JSON.
 */
#ifndef RUDDERWAY_CLI_CLI_H
#define RUDDERWAY_CLI_CLI_H

#include "common/http_client.h"
#include "common/json.h"

/** Exit status of the program; documented in the man page. */
typedef enum {
    CLI_OK = 0,
    CLI_FAILED = 1,   /**< The cluster refused, or a replay missed its stated outcomes. */
    CLI_USAGE = 2,    /**< Wrong command line or file. */
    CLI_CONFLICT = 3, /**< Another edit came first. */
    CLI_UNKNOWN = 4,  /**< Nobody can say whether the edit took effect. */
    CLI_UNREACHABLE = 5,
    CLI_DIFFERENT = 6, /**< diff found differences. */
} cli_status_t;

typedef struct {
    char *address;
    uint32_t port;
} cli_node_t;

typedef struct {
    http_client_t *client;
    GArray *nodes; /**< Of cli_node_t. */
    const char *token;
    const char *tokens_file;
    double speed_up;
    const char *outcomes_file;
    const char *report_file;
    bool json;
    bool wait;              /**< apply and rollback: wait until the edit is in force everywhere. */
    const char **arguments; /**< After the command's name. */
    int argument_count;
} cli_t;

/** One request; @p body may be NULL. */
typedef struct {
    const char *method;
    const char *path;
    const char *token;
    const char *body;
    int64_t timeout_ms;
    bool repeatable;
} cli_request_t;

/** Asks one node; NULL and an error if there is no answer. The caller decrefs. */
json_t *cli_ask_node(const cli_t *cli, const cli_node_t *node, const cli_request_t *request,
                     unsigned *status, GError **error);
/** Asks the nodes in turn until one answers. */
json_t *cli_ask(const cli_t *cli, const cli_request_t *request, unsigned *status, GError **error);
/** GET of an administration path; prints what went wrong and returns NULL on failure. */
json_t *cli_get(const cli_t *cli, const char *path);
/** The exit status for an error answer, which is printed. */
cli_status_t cli_fail(const json_t *answer, unsigned status);
/** Prints @p rows, an array of objects, as a table of @p columns (NULL ends) or as JSON. */
void cli_print_table(const cli_t *cli, const json_t *rows, const char *const *columns);
void cli_print_json(const json_t *value);

cli_status_t command_apply(const cli_t *cli);
cli_status_t command_get(const cli_t *cli);
cli_status_t command_diff(const cli_t *cli);
cli_status_t command_history(const cli_t *cli);
cli_status_t command_rollback(const cli_t *cli);
cli_status_t command_status(const cli_t *cli);
cli_status_t command_members(const cli_t *cli);
cli_status_t command_programs(const cli_t *cli);
cli_status_t command_program(const cli_t *cli);
cli_status_t command_drain(const cli_t *cli);
cli_status_t command_backends(const cli_t *cli);
cli_status_t command_replay(const cli_t *cli);

#endif
