/**
 * @file trace.h
 * Recorded traces: JSON lines, one event a line, in the order in which a program issues its
 * calls. docs/TRACES.md describes the format.
 */
#ifndef RUDDERWAY_CLI_TRACE_H
#define RUDDERWAY_CLI_TRACE_H

#include "common/json.h"

typedef enum {
    TRACE_PROGRAM,
    TRACE_MODEL,
    TRACE_TOOL,
    TRACE_SUBAGENT,
    TRACE_END,
    TRACE_SERVICE,
    TRACE_KINDS
} trace_kind_t;

typedef struct {
    trace_kind_t kind;
    char *program; /**< Root program, or sub-agent as ROOT~N. */
    char *tenant;
    char *name;       /**< Template, tool or service. */
    int64_t at_ms;    /**< PROGRAM and SERVICE: since the start of the trace. */
    int64_t pause_ms; /**< Before a call: what the agent does elsewhere. */
    int64_t deadline_ms;
    uint32_t prompt_tokens; /**< New text of a model call. */
    uint32_t output_tokens;
    bool repeatable;
} trace_event_t;

/** The events of one root program and its sub-agents, in order; or one plain request. */
typedef struct {
    int64_t at_ms;
    GPtrArray *events; /**< Of trace_event_t, owned. */
} trace_script_t;

/** Reads a trace into scripts (of trace_script_t); NULL and an error with the line. */
GPtrArray *trace_read(const char *file, GError **error);

#endif
