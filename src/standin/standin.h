/**
 * @file standin.h
 * What the roles of rudderway-standin share: a recorder, a timer and ordered faults.
 *
 * A stand-in takes the place of an outside system in tests. It speaks that system's protocol,
 * records what it received as JSON lines, and misbehaves on order: POST /standin/fault with
 * {"outage_ms": n, "hang": n, "lose_answer": n, "fail": n}, the last three counting requests.
 */
#ifndef RUDDERWAY_STANDIN_STANDIN_H
#define RUDDERWAY_STANDIN_STANDIN_H

#include "common/http_server.h"
#include "common/json.h"

typedef struct {
    const char *name;
    const char *zone;
    const char *offers;
    const char *machines_file;
    double speed_up;      /**< Modelled time runs this much faster than the clock. */
    int64_t latency_ms;   /**< Of a service. */
    int64_t lag_ms;       /**< Of load reports, cache events and the machine list. */
    int64_t rate;         /**< Requests a second; 0: no limit. */
    int64_t cache_tokens; /**< Of an engine's prefix cache. */
    int64_t batch;        /**< Sequences that an engine runs at once. */
} standin_options_t;

/** What happens to the next request. */
typedef enum { FAULT_NONE, FAULT_OUTAGE, FAULT_HANG, FAULT_LOSE_ANSWER, FAULT_FAIL } fault_t;

/** Starts a role; the request handler and its context are returned through the pointers. */
typedef struct {
    http_handler_t handler;
    void *context;
} standin_role_t;

standin_role_t engine_role_start(const standin_options_t *options);
standin_role_t service_role_start(const standin_options_t *options);
standin_role_t key_value_role_start(const standin_options_t *options);
standin_role_t machines_role_start(const standin_options_t *options);
standin_role_t weights_role_start(const standin_options_t *options);

/** Appends one JSON line to the record file; takes ownership of @p line. Any thread. */
void standin_record(json_t *line);
/** Milliseconds of the monotonic clock. */
int64_t standin_now_ms(void);
/** Runs @p run(@p data) on the timer thread after @p delay_ms. */
void standin_after(int64_t delay_ms, void (*run)(void *data), void *data);
/** The fault ordered for the next request, if any. */
fault_t standin_next_fault(void);
/** Answers with JSON; takes ownership of @p body. */
void standin_respond(http_request_t *request, unsigned status, json_t *body);
void standin_respond_text(http_request_t *request, unsigned status, const char *code);
/** True if one more request fits into @p rate a second. */
bool standin_within_rate(int64_t rate);

#endif
