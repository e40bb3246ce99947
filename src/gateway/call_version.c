/*
 * Design. A stream goes on only at the software version that began it. The version is that of the
 * back end whose event is the first that the caller gets; until then the stream may begin anywhere.
 * It is recorded before that event goes out (stream_client.h), under the attempt that brought it,
 * which the caller names when it takes the stream up.
 *
 * While a service has had back ends of one version only, there is nothing to decide. Otherwise a
 * stream of an unknown version is refused at once, as one whose version has no back end: the caller
 * starts a new one.
 *
 * Failures. A back end's entry may be older than the process that serves under its id. After a
 * broken or refused connection its version is in doubt until there is evidence of the process that
 * serves there (process_check.h, backend_version_certain). A stream that runs there meanwhile has
 * no known version, and none goes on there.
 */
#include "gateway/call.h"

#include "common/event.h"
#include "gateway/backend_versions.h"
#include "gateway/process_check.h"

enum { STATUS_UNAVAILABLE = 503 };

static bool is_resumable_stream(const call_t *call) {
    return call->route->kind == CALL_STREAM && call->route->resumable;
}

static bool versions_differ(const call_t *call) {
    return backends_versions_differ(&call->gateway->backends, call->service_name);
}

static const char *tenant_name(const call_t *call) {
    return call->tenant == NULL ? NULL : call->tenant->name;
}

/** Refuses a stream that can't go on; false if it can. */
static bool refuse_if_not_served(call_t *call) {
    const backends_t *backends = &call->gateway->backends;
    bool known = call->stream.version != VERSION_UNKNOWN;
    if (known && backends_serve_version(backends, call->service_name, call->stream.version))
        return false;
    event_log(GATEWAY_STREAM_REFUSED, call->id, call_field(call, FIELD_RESUMES),
              known ? "no_backend" : "unknown");
    call_refuse(call, STATUS_UNAVAILABLE, known ? CALL_VERSION_GONE : CALL_VERSION_UNKNOWN);
    return true;
}

static void on_version(void *owner, software_version_t version) {
    call_t *call = owner;
    call->stream.pending = NULL;
    call->stream.version = version;
    if (!refuse_if_not_served(call))
        call_turn_send_if_ready(call);
}

/** Finds the version of the stream that the call takes up; false if the call has been refused. */
static bool find_version(call_t *call, const char *resumes) {
    gateway_t *gateway = call->gateway;
    if (backends_version_always_same(&gateway->backends, call->service_name)) {
        call->stream.version = backends_latest_version(&gateway->backends, call->service_name);
        return true;
    }
    if (resumes == NULL) {
        call->stream.version =
            versions_differ(call) ? VERSION_UNKNOWN
                                  : backends_latest_version(&gateway->backends, call->service_name);
        return !refuse_if_not_served(call);
    }
    call->stream.pending = stream_client_find(gateway->streams, call->stream.key,
                                              &call->stream.version, on_version, call);
    return call->stream.pending != NULL || !refuse_if_not_served(call);
}

bool call_version_begin(call_t *call) {
    if (!is_resumable_stream(call))
        return true;
    const char *last_event = call_field(call, FIELD_LAST_EVENT);
    const char *resumes = call_field(call, FIELD_RESUMES);
    bool takes_up = last_event != NULL && *last_event != '\0';
    call->stream.key =
        stream_version_key(tenant_name(call), takes_up && resumes != NULL ? resumes : call->id);
    return !takes_up || find_version(call, resumes);
}

void call_version_end(call_t *call) {
    if (call->stream.pending != NULL)
        stream_request_cancel(call->stream.pending);
    call->stream.pending = NULL;
}

bool call_version_served_by_backend(const call_t *call) {
    const backend_t *backend = call->backend;
    if (call->stream.version == VERSION_ANY)
        return true;
    return backend->version == call->stream.version &&
           (!versions_differ(call) || backend_version_certain(backend));
}

void call_version_check_process(const call_t *call) {
    if (is_resumable_stream(call) && versions_differ(call))
        process_check_begin(call->backend);
}

void call_version_record(call_t *call) {
    if (!is_resumable_stream(call))
        return;
    call_version_check_process(call);
    bool certain = !versions_differ(call) || backend_version_certain(call->backend);
    bool other =
        call->stream.version != VERSION_ANY && call->stream.version != call->backend->version;
    call->stream.version = certain && !other ? call->backend->version : VERSION_UNKNOWN;
    stream_client_record(call->gateway->streams, call->stream.key, call->stream.version);
}

void call_version_check(call_t *call) {
    if (call->stream.version == VERSION_ANY || call->stream.version == VERSION_UNKNOWN ||
        call->stream.version == call->backend->version)
        return;
    call->stream.version = VERSION_UNKNOWN;
    stream_client_record(call->gateway->streams, call->stream.key, VERSION_UNKNOWN);
}
