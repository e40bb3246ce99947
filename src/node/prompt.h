/**
 * @file prompt.h
 * The prompt of a model call, built from a program's history.
 * Thread safety: decision thread only, as the program store.
 */
#ifndef RUDDERWAY_NODE_PROMPT_H
#define RUDDERWAY_NODE_PROMPT_H

#include "core/program/program.h"

#include <jansson.h>

/**
 * The messages an engine is to see for call @p number: the system prompt, the history of the
 * calls before it, and the call's own messages @p body (a JSON array). The caller decrefs.
 */
json_t *prompt_messages(const program_t *program, uint32_t number, GBytes *body);

/** Tokens of the history before call @p number: what a perfect cache would hold. */
uint64_t prompt_history_tokens(const program_t *program, uint32_t number);

#endif
