/**
 * @file chat.h
 * Chat messages as prompt text, and the size of text in tokens.
 * Thread safety: all functions may be called from any thread.
 */
#ifndef RUDDERWAY_COMMON_CHAT_H
#define RUDDERWAY_COMMON_CHAT_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum { CHAT_BYTES_PER_TOKEN = 4 };

/** Appends one message, {"role", "content"}, to @p prompt as prompt text. */
void chat_append(GString *prompt, const char *role, const char *content);
/** The prompt text of an array of messages; the caller frees it. */
GString *chat_prompt(const json_t *messages);
/** Tokens that @p bytes of text take, rounded up. */
uint64_t chat_tokens(uint64_t bytes);

#endif
