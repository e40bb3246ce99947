/**
 * @file main.c
 * rudderway: the command line for operators.
 */
#include "cli/cli.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { OPTION_TOKENS = 1000, OPTION_SPEED_UP, OPTION_OUTCOMES, OPTION_REPORT, OPTION_WAIT };

typedef struct {
    const char *name;
    int minimum; /**< Arguments. */
    int maximum;
    cli_status_t (*run)(const cli_t *cli);
    const char *usage;
} command_row_t;

static const command_row_t commands[] = {
    {"apply", 1, 1, command_apply, "apply FILE        write the objects in FILE as one edit"},
    {"get", 0, 1, command_get, "get [KEY]         print the configuration, or one object"},
    {"diff", 1, 1, command_diff, "diff FILE         compare FILE with the configuration"},
    {"history", 0, 0, command_history, "history           list the edits"},
    {"rollback", 1, 1, command_rollback,
     "rollback REVISION make a new revision with the objects of an old one"},
    {"status", 0, 0, command_status, "status            each node with its revision in force"},
    {"members", 0, 0, command_members, "members           the nodes as one of them sees them"},
    {"programs", 0, 0, command_programs, "programs          list the programs"},
    {"program", 1, 1, command_program, "program TENANT/ID one program with its history"},
    {"drain", 1, 1, command_drain, "drain NODE        planned stop of a node"},
    {"backends", 0, 0, command_backends, "backends          engines and services"},
    {"replay", 1, 1, command_replay,
     "replay TRACE      play a recorded trace against the cluster and judge the outcomes"},
};

const char *argp_program_version = "rudderway " RUDDERWAY_VERSION;

static const struct argp_option option_table[] = {
    {"node", 'n', "IP:PORT", 0, "a node's HTTP address; may be repeated", 0},
    {"token", 't', "TOKEN", 0, "administration token (or $RUDDERWAY_TOKEN)", 0},
    {"output", 'o', "FORMAT", 0, "table (the default) or json", 0},
    {"wait", OPTION_WAIT, NULL, 0,
     "apply, rollback: wait until the edit is in force on every node, and say how long", 0},
    {"tokens", OPTION_TOKENS, "FILE", 0, "replay: JSON object of tenants' tokens", 0},
    {"speed-up", OPTION_SPEED_UP, "N", 0, "replay: play N times as fast (1)", 0},
    {"outcomes", OPTION_OUTCOMES, "FILE", 0, "replay: stated outcomes (TRACE with .outcomes.json)",
     0},
    {"report", OPTION_REPORT, "FILE", 0, "replay: write the result as JSON to FILE", 0},
    {0},
};

static void add_node(const cli_t *cli, const char *text, struct argp_state *state) {
    const char *colon = strrchr(text, ':');
    guint64 port;
    if (colon == NULL || !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
        argp_error(state, "--node needs IP:PORT");
    else {
        cli_node_t node = {.address = g_strndup(text, (gsize)(colon - text)),
                           .port = (uint32_t)port};
        g_array_append_val(cli->nodes, node);
    }
}

static error_t parse_option(int key, char *value, struct argp_state *state) {
    cli_t *cli = state->input;
    switch (key) {
    case 'n':
        add_node(cli, value, state);
        return 0;
    case 't':
        cli->token = value;
        return 0;
    case 'o':
        cli->json = strcmp(value, "json") == 0;
        if (!cli->json && strcmp(value, "table") != 0)
            argp_error(state, "--output is table or json");
        return 0;
    case OPTION_WAIT:
        cli->wait = true;
        return 0;
    case OPTION_TOKENS:
        cli->tokens_file = value;
        return 0;
    case OPTION_SPEED_UP:
        cli->speed_up = strtod(value, NULL);
        if (cli->speed_up <= 0)
            argp_error(state, "--speed-up is a number above 0");
        return 0;
    case OPTION_OUTCOMES:
        cli->outcomes_file = value;
        return 0;
    case OPTION_REPORT:
        cli->report_file = value;
        return 0;
    case ARGP_KEY_ARGS:
        cli->arguments = (const char **)(state->argv + state->next);
        cli->argument_count = state->argc - state->next;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static char *help_text(void) {
    GString *text = g_string_new("The command line of Rudderway, the scheduler for agent "
                                 "programs.\vCommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
        g_string_append_printf(text, "  %s\n", commands[i].usage);
    g_string_append(text, "\nExit status: 0 success; 1 refused or outcomes missed; 2 usage; "
                          "3 conflict; 4 unknown; 5 unreachable; 6 diff found differences.");
    return g_string_free(text, FALSE);
}

static const command_row_t *find_command(const char *name) {
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
        if (strcmp(commands[i].name, name) == 0)
            return &commands[i];
    return NULL;
}

static cli_status_t run_command(cli_t *cli) {
    const command_row_t *command = cli->argument_count > 0 ? find_command(cli->arguments[0]) : NULL;
    if (command == NULL) {
        fprintf(stderr, "rudderway: no such command; see rudderway --help\n");
        return CLI_USAGE;
    }
    cli->arguments++;
    cli->argument_count--;
    if (cli->argument_count < command->minimum || cli->argument_count > command->maximum) {
        fprintf(stderr, "usage: rudderway %s\n", command->usage);
        return CLI_USAGE;
    }
    if (cli->nodes->len == 0) {
        fprintf(stderr, "rudderway: name a node with --node IP:PORT\n");
        return CLI_USAGE;
    }
    return command->run(cli);
}

int main(int argc, char **argv) {
    char *help = help_text();
    const struct argp parser = {option_table, parse_option, "COMMAND [ARGUMENT]", help, NULL,
                                NULL,         NULL};
    cli_t cli = {.nodes = g_array_new(FALSE, FALSE, sizeof(cli_node_t)), .speed_up = 1};
    cli.token = g_getenv("RUDDERWAY_TOKEN");
    argp_parse(&parser, argc, argv, 0, NULL, &cli);
    cli.client = http_client_new();
    cli_status_t status = run_command(&cli);
    http_client_free(cli.client);
    for (guint i = 0; i < cli.nodes->len; i++)
        g_free(g_array_index(cli.nodes, cli_node_t, i).address);
    g_array_unref(cli.nodes);
    g_free(help);
    return status;
}
