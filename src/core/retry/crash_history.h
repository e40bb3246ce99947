/**
 * @file crash_history.h
 * Back ends that ended while they had a request, by request, over all attempts of its caller and
 * all gateways. A request under which CRASHES_MAX back ends have ended within CRASH_RETENTION_MS
 * may be the cause, and is stopped: not sent again for a time.
 *
 * A back end that ends takes other requests along, which are not the cause. A request that gets a
 * complete successful response is not, so its crashes are forgotten: that of one caller also clears
 * equal requests of others. A failure says nothing: the same request may end the next back end.
 *
 * A stop lasts for CRASH_RETENTION_MS from the crash that began it. It is renewed while the caller
 * of a program's request comes back all the same, which is sent to others (crash_history_renew).
 * For as long again after its end, one more crash is enough to stop the request, for twice as long.
 *
 * A crash is suspected from the moment the connection breaks, and counts; it is removed if the back
 * end turns out to be alive, and confirmed if not.
 *
 * Decision code: no I/O, clock or threads. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_CRASH_HISTORY_H
#define RUDDERWAY_CORE_RETRY_CRASH_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    CRASHES_MAX = 3,                    /**< Back ends that may end under one request. */
    CRASHES_NEAR_MAX = CRASHES_MAX - 1, /**< One more stops the request. */
    CRASH_RETENTION_MS = 60000,         /**< Longer than most callers try a request again. */
    CRASHES_SENT_MAX = 256,             /**< When a connection opens; some 10 kB. */
    /** What is found at one back end within this time is one crash; a restart takes longer. */
    CRASH_SAME_MS = 250,
    /**
     * The same where a back end was only silent, since it may have ended under an earlier attempt,
     * and where equal requests of many callers count as one.
     */
    CRASH_SILENT_SAME_MS = 2000,
};

/**
 * A crash under a request, or the end of suspicion against the request.
 *
 * Reports of one crash come more than once, from several gateways, and with any delay, so that the
 * time doesn't show whether the receiver knows a crash. A back end that ends under a request again,
 * after a restart, has the next number.
 */
typedef struct {
    uint64_t request; /**< See call_identity of gateway/call.h. */
    uint64_t at;
    uint16_t backend; /**< From a hash of the back end. */
    uint8_t number;   /**< Of the back end's crashes under the request, from 1; 0: not yet known. */
    bool silent;      /**< CRASH_SILENT_SAME_MS applies. */
    bool cleared;     /**< The request got a complete successful response. */
} crash_report_t;

typedef struct crash_history crash_history_t;

crash_history_t *crash_history_new(void);
void crash_history_free(crash_history_t *history);
/**
 * Adds a crash; false if it is known, or older than a complete response to the request. One without
 * a number gets it: that of a crash of the same back end less than CRASH_SAME_MS apart, or
 * CRASH_SILENT_SAME_MS if one of them is silent, else the next.
 */
bool crash_history_add(crash_history_t *history, crash_report_t *crash, bool confirmed);
/**
 * The same, while a back end is checked that a call has left: it counts, but it is no end until it
 * is confirmed (crash_history_count_ended).
 */
bool crash_history_add_left(crash_history_t *history, crash_report_t *crash);
/**
 * Removes a crash that turned out to be none; false if it is not known. One without a number gets
 * it, as in crash_history_add.
 */
bool crash_history_remove(crash_history_t *history, crash_report_t *crash);
void crash_history_confirm(crash_history_t *history, const crash_report_t *crash);
/** True if the crash is known and confirmed. */
bool crash_history_is_confirmed(const crash_history_t *history, const crash_report_t *crash);
/** Forgets the crashes up to @p at; false if there were none. */
bool crash_history_clear(crash_history_t *history, uint64_t request, uint64_t at);
/**
 * Renews the request's stop at @p at, if it is stopped then; true if that should be sent to
 * others, whose view of it is much older.
 */
bool crash_history_renew(crash_history_t *history, uint64_t request, uint64_t at);
/**
 * Adds a stop received from others, whose `number` is how often in a row the request was stopped;
 * false if it is known.
 */
bool crash_history_note_stop(crash_history_t *history, const crash_report_t *stop);
/** Describes a stop, or that one more crash begins the next one; false if there is none. */
bool crash_history_find_stop(const crash_history_t *history, uint64_t request, uint64_t now,
                             crash_report_t *stop);
/** Appends the stops that crash_history_find_stop describes to @p stops, at most @p max. */
void crash_history_list_stops(const crash_history_t *history, uint64_t now, unsigned max,
                              GArray *stops);
/**
 * Number of back ends that have ended under the request and count: CRASHES_MAX or more while it is
 * stopped.
 */
unsigned crash_history_count(const crash_history_t *history, uint64_t request, uint64_t now);
/**
 * The same, without those whose back ends were only left by a call, and are not confirmed to have
 * ended.
 */
unsigned crash_history_count_ended(const crash_history_t *history, uint64_t request, uint64_t now);
/** True if a crash of the back end under the request counts that was found since @p at, or so
 * shortly before that it is the same. */
bool crash_history_knows(const crash_history_t *history, uint64_t request, uint16_t backend,
                         uint64_t at, uint64_t now);
/** Time until the request may be sent; 0: now. */
uint32_t crash_history_wait_ms(const crash_history_t *history, uint64_t request, uint64_t now);
/** Appends the confirmed crashes under the request to @p reports, of crash_report_t. */
void crash_history_list_request(const crash_history_t *history, uint64_t request, uint64_t now,
                                GArray *reports);
/**
 * Appends the confirmed crashes under requests that have at least CRASHES_NEAR_MAX to @p reports,
 * of crash_report_t, the latest @p max of them.
 */
void crash_history_list(const crash_history_t *history, uint64_t now, unsigned max,
                        GArray *reports);

#endif
