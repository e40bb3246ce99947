/**
 * @file history.h
 * What callers, operators and back ends saw in a run, and the checker that judges the users'
 * promises from it. docs/HISTORY.md describes the records and what is checked.
 */
#ifndef RUDDERWAY_SIM_HISTORY_H
#define RUDDERWAY_SIM_HISTORY_H

#include "common/error.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

typedef enum {
    HISTORY_START,    /**< A program began: budget. */
    HISTORY_INVOKE,   /**< A caller issued a call. */
    HISTORY_OK,       /**< The caller got an answer: attempt, text. */
    HISTORY_NOT_RUN,  /**< The caller was told so. */
    HISTORY_UNKNOWN,  /**< Likewise, or it gave up waiting. */
    HISTORY_FAILED,   /**< Likewise. */
    HISTORY_EXECUTED, /**< A back end executed an attempt: text, cost. */
    HISTORY_READ,     /**< A caller read call N in the history: text. */
    HISTORY_END,      /**< A program ended; the caller was told so. */
    HISTORY_HELD,     /**< At the end of the run a back end holds cache for the program. */
    HISTORY_LEAVING,  /**< A back end announced that it leaves. */
    HISTORY_EDIT,     /**< An operator was told that an edit is accepted: revision, text. */
    HISTORY_IN_FORCE, /**< A node put a revision in force: revision, text. */
    HISTORY_LAGS,     /**< A reachable node was not at an accepted revision in time. */
    HISTORY_STOPPED,  /**< A planned stop ended: cost counts what was cut off. */
    HISTORY_FAULT,    /**< A fault struck: its name. Only for readers; nothing is judged by it. */
    HISTORY_KINDS
} history_kind_t;

typedef struct {
    history_kind_t kind;
    int64_t time_ms;
    char *program; /**< Program, or "" . */
    uint32_t call;
    uint32_t attempt;
    bool repeatable;
    char *place;     /**< Back end or node, or "". */
    char *text;      /**< Answer, or an edit's id. */
    uint64_t number; /**< Budget, cost, revision or count. */
} history_record_t;

typedef struct {
    GPtrArray *records; /**< Of history_record_t. */
} history_t;

/** A promise that a history breaks. */
typedef struct {
    const char *promise;
    char *program;
    int first; /**< Records that clash, by position; -1: none. */
    int second;
} violation_t;

history_t *history_new(void);
void history_free(history_t *history);
/** Appends a record; the texts are copied, NULL counts as "". */
void history_add(history_t *history, const history_record_t *record);
void history_write(const history_t *history, FILE *output);
/** NULL and an error naming the line if @p file is not a history. */
history_t *history_read(const char *file, GError **error);

/** The violations in @p history, of violation_t; the caller unrefs. */
GPtrArray *history_check(const history_t *history);

#endif
