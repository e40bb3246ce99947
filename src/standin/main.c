/**
 * @file main.c
 * rudderway-standin: test stand-ins for the outside systems, one role a process.
 */
#include "standin/standin.h"

#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
    OPTION_SPEED_UP = 1000,
    OPTION_LATENCY,
    OPTION_LAG,
    OPTION_RATE,
    OPTION_CACHE,
    OPTION_BATCH,
    OPTION_MACHINES,
    OPTION_RECORD,
    OPTION_PORT_FILE,
};

enum {
    SERVER_THREADS = 2,
    CONNECTIONS_MAXIMUM = 4000,
    BODY_MAXIMUM = 8 * 1024 * 1024,
    IDLE_SECONDS = 120,
    MICROSECONDS_PER_MILLISECOND = 1000,
    MILLISECONDS_PER_SECOND = 1000,
};

typedef struct {
    const char *role;
    const char *address;
    uint16_t port;
    const char *record_file;
    const char *port_file;
    standin_options_t options;
} arguments_t;

typedef struct {
    int64_t due_ms;
    void (*run)(void *data);
    void *data;
} timer_entry_t;

typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GPtrArray *entries;
} timer_queue_t;

typedef struct {
    pthread_mutex_t lock;
    int64_t outage_until_ms;
    int64_t hang;
    int64_t lose_answer;
    int64_t fail;
    int64_t rate_second;
    int64_t rate_count;
    FILE *record;
} shared_t;

static timer_queue_t timer_queue = {.lock = PTHREAD_MUTEX_INITIALIZER};
static shared_t shared = {.lock = PTHREAD_MUTEX_INITIALIZER};

int64_t standin_now_ms(void) {
    return g_get_monotonic_time() / MICROSECONDS_PER_MILLISECOND;
}

void standin_record(json_t *line) {
    pthread_mutex_lock(&shared.lock);
    if (shared.record != NULL) {
        json_object_set_new(line, "time_ms", json_integer(g_get_real_time() / 1000));
        char *text = json_to_text(line);
        fprintf(shared.record, "%s\n", text);
        fflush(shared.record);
        g_free(text);
    }
    pthread_mutex_unlock(&shared.lock);
    json_decref(line);
}

static timer_entry_t *take_due(timer_queue_t *queue) {
    timer_entry_t *earliest = NULL;
    for (guint i = 0; i < queue->entries->len; i++) {
        timer_entry_t *entry = g_ptr_array_index(queue->entries, i);
        if (earliest == NULL || entry->due_ms < earliest->due_ms)
            earliest = entry;
    }
    if (earliest == NULL || earliest->due_ms > standin_now_ms())
        return NULL;
    g_ptr_array_remove_fast(queue->entries, earliest);
    return earliest;
}

static void *run_timers(void *argument) {
    timer_queue_t *queue = argument;
    pthread_mutex_lock(&queue->lock);
    for (;;) {
        timer_entry_t *entry = take_due(queue);
        if (entry == NULL) {
            struct timespec until;
            clock_gettime(CLOCK_REALTIME, &until);
            until.tv_nsec += 1000 * 1000;
            if (until.tv_nsec >= 1000 * 1000 * 1000) {
                until.tv_sec++;
                until.tv_nsec -= 1000 * 1000 * 1000;
            }
            if (queue->entries->len == 0)
                pthread_cond_wait(&queue->changed, &queue->lock);
            else
                pthread_cond_timedwait(&queue->changed, &queue->lock, &until);
            continue;
        }
        pthread_mutex_unlock(&queue->lock);
        entry->run(entry->data);
        g_free(entry);
        pthread_mutex_lock(&queue->lock);
    }
    return NULL;
}

void standin_after(int64_t delay_ms, void (*run)(void *data), void *data) {
    timer_entry_t *entry = g_new0(timer_entry_t, 1);
    entry->due_ms = standin_now_ms() + delay_ms;
    entry->run = run;
    entry->data = data;
    pthread_mutex_lock(&timer_queue.lock);
    g_ptr_array_add(timer_queue.entries, entry);
    pthread_cond_signal(&timer_queue.changed);
    pthread_mutex_unlock(&timer_queue.lock);
}

static bool take_one(int64_t *count) {
    if (*count == 0)
        return false;
    (*count)--;
    return true;
}

fault_t standin_next_fault(void) {
    fault_t fault = FAULT_NONE;
    pthread_mutex_lock(&shared.lock);
    if (standin_now_ms() < shared.outage_until_ms)
        fault = FAULT_OUTAGE;
    else if (take_one(&shared.hang))
        fault = FAULT_HANG;
    else if (take_one(&shared.lose_answer))
        fault = FAULT_LOSE_ANSWER;
    else if (take_one(&shared.fail))
        fault = FAULT_FAIL;
    pthread_mutex_unlock(&shared.lock);
    return fault;
}

bool standin_within_rate(int64_t rate) {
    if (rate == 0)
        return true;
    pthread_mutex_lock(&shared.lock);
    int64_t second = standin_now_ms() / MILLISECONDS_PER_SECOND;
    if (second != shared.rate_second)
        shared.rate_count = 0;
    shared.rate_second = second;
    bool within = ++shared.rate_count <= rate;
    pthread_mutex_unlock(&shared.lock);
    return within;
}

void standin_respond(http_request_t *request, unsigned status, json_t *body) {
    GBytes *bytes = json_to_bytes(body);
    json_decref(body);
    http_respond(request, status, "application/json", bytes, 0);
}

void standin_respond_text(http_request_t *request, unsigned status, const char *code) {
    standin_respond(request, status, json_pack("{s:s}", "error", code));
}

static void order_fault(http_request_t *request) {
    size_t length;
    const char *text = g_bytes_get_data(http_request_body(request), &length);
    json_t *order = json_parse(text != NULL ? text : "", length, NULL);
    pthread_mutex_lock(&shared.lock);
    shared.outage_until_ms =
        standin_now_ms() + json_integer_value(json_object_get(order, "outage_ms"));
    shared.hang = json_integer_value(json_object_get(order, "hang"));
    shared.lose_answer = json_integer_value(json_object_get(order, "lose_answer"));
    shared.fail = json_integer_value(json_object_get(order, "fail"));
    pthread_mutex_unlock(&shared.lock);
    json_decref(order);
    standin_respond(request, 200, json_object());
}

static void on_request(void *context, http_request_t *request) {
    const standin_role_t *role = context;
    if (strcmp(http_request_path(request), "/standin/fault") == 0)
        order_fault(request);
    else
        role->handler(role->context, request);
}

static const struct argp_option option_table[] = {
    {"role", 'r', "ROLE", 0, "engine, service, key-value, machines or weights", 0},
    {"name", 'n', "NAME", 0, "name of the machine", 0},
    {"zone", 'z', "ZONE", 0, "zone of the machine", 0},
    {"offers", 'o', "NAME", 0, "model of an engine, or name of a service", 0},
    {"address", 'a', "IP", 0, "address to listen on (127.0.0.1)", 0},
    {"port", 'p', "PORT", 0, "port to listen on (0: the kernel chooses)", 0},
    {"port-file", OPTION_PORT_FILE, "FILE", 0, "write the port to FILE", 0},
    {"record", OPTION_RECORD, "FILE", 0, "append what was received to FILE as JSON lines", 0},
    {"speed-up", OPTION_SPEED_UP, "N", 0, "run modelled time N times as fast (1)", 0},
    {"latency", OPTION_LATENCY, "MS", 0, "of a service (20)", 0},
    {"lag", OPTION_LAG, "MS", 0, "of load reports, cache events and the machine list (0)", 0},
    {"rate", OPTION_RATE, "N", 0, "requests a second (0: no limit)", 0},
    {"cache", OPTION_CACHE, "TOKENS", 0, "prefix cache of an engine (200000)", 0},
    {"batch", OPTION_BATCH, "N", 0, "sequences an engine runs at once (32)", 0},
    {"machines", OPTION_MACHINES, "FILE", 0, "the machine list to serve", 0},
    {0},
};

static error_t parse_option(int key, char *value, struct argp_state *state) {
    arguments_t *arguments = state->input;
    standin_options_t *options = &arguments->options;
    switch (key) {
    case 'r':
        arguments->role = value;
        break;
    case 'n':
        options->name = value;
        break;
    case 'z':
        options->zone = value;
        break;
    case 'o':
        options->offers = value;
        break;
    case 'a':
        arguments->address = value;
        break;
    case 'p':
        arguments->port = (uint16_t)strtoul(value, NULL, 10);
        break;
    case OPTION_PORT_FILE:
        arguments->port_file = value;
        break;
    case OPTION_RECORD:
        arguments->record_file = value;
        break;
    case OPTION_SPEED_UP:
        options->speed_up = strtod(value, NULL);
        break;
    case OPTION_LATENCY:
        options->latency_ms = strtoll(value, NULL, 10);
        break;
    case OPTION_LAG:
        options->lag_ms = strtoll(value, NULL, 10);
        break;
    case OPTION_RATE:
        options->rate = strtoll(value, NULL, 10);
        break;
    case OPTION_CACHE:
        options->cache_tokens = strtoll(value, NULL, 10);
        break;
    case OPTION_BATCH:
        options->batch = strtoll(value, NULL, 10);
        break;
    case OPTION_MACHINES:
        options->machines_file = value;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static standin_role_t start_role(const arguments_t *arguments) {
    static const struct {
        const char *name;
        standin_role_t (*start)(const standin_options_t *options);
    } roles[] = {
        {"engine", engine_role_start},       {"service", service_role_start},
        {"key-value", key_value_role_start}, {"machines", machines_role_start},
        {"weights", weights_role_start},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(roles); i++)
        if (strcmp(roles[i].name, arguments->role) == 0)
            return roles[i].start(&arguments->options);
    return (standin_role_t){0};
}

static bool write_port(const char *file, uint16_t port) {
    char *text = g_strdup_printf("%u\n", port);
    bool written = file == NULL || g_file_set_contents(file, text, -1, NULL);
    g_free(text);
    return written;
}

int main(int argc, char **argv) {
    static const struct argp parser = {
        option_table, parse_option, NULL, "Test stand-ins for Rudderway's back ends and platform.",
        NULL,         NULL,         NULL};
    arguments_t arguments = {
        .role = "",
        .address = "127.0.0.1",
        .options = {.name = "standin",
                    .zone = "",
                    .offers = "",
                    .speed_up = 1,
                    .latency_ms = 20,
                    .cache_tokens = 200000,
                    .batch = 32},
    };
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    if (arguments.record_file != NULL)
        shared.record = fopen(arguments.record_file, "a");
    timer_queue.entries = g_ptr_array_new();
    pthread_cond_init(&timer_queue.changed, NULL);
    pthread_t timer_thread;
    pthread_create(&timer_thread, NULL, run_timers, &timer_queue);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    standin_role_t role = start_role(&arguments);
    if (role.handler == NULL) {
        fprintf(stderr, "rudderway-standin: unknown role \"%s\"\n", arguments.role);
        return 2;
    }
    http_server_options_t server_options = {.address = arguments.address,
                                            .port = arguments.port,
                                            .threads = SERVER_THREADS,
                                            .connections_maximum = CONNECTIONS_MAXIMUM,
                                            .body_maximum = BODY_MAXIMUM,
                                            .idle_seconds = IDLE_SECONDS};
    GError *error = NULL;
    http_server_t *server = http_server_start(&server_options, on_request, &role, &error);
    if (server == NULL || !write_port(arguments.port_file, http_server_port(server))) {
        fprintf(stderr, "rudderway-standin: %s\n", error != NULL ? error->message : "port file");
        return 1;
    }
    int signal_number;
    sigwait(&signals, &signal_number);
    return 0;
}
