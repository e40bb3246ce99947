#include "store/store_gateways.h"

#include "store/store_crashes.h"
#include "store/store_directory.h"

enum {
    /**
     * Batches changes of gateway lists: each change costs a message to every gateway of a cell
     * (gateway_registry.h).
     */
    GATEWAY_LIST_DELAY_MS = 100,
    GATEWAYS_PER_DELAY_MS = 2, /**< Number of gateways that add 1 ms to the delay. */
    /** While all gateways connect, the lists change all the time. */
    GATEWAY_LIST_DELAY_MAX_MS = 1000,
};

typedef struct {
    const store_t *store;
    GHashTable *encoded; /**< Maps gateway_peer_list_t to its encoded message, a GBytes. */
} gateway_lists_t;

static GBytes *encode_list(const gateway_peer_list_t *list) {
    message_t message;
    message_init(&message, MESSAGE_GATEWAYS);
    for (guint i = 0; i < list->known->len; i++)
        g_ptr_array_add(message.ids, g_strdup(g_ptr_array_index(list->known, i)));
    for (guint i = 0; i < list->remote->len; i++)
        g_ptr_array_add(message.ids, g_strdup(g_ptr_array_index(list->remote, i)));
    for (guint i = 0; i < list->sources->len; i++)
        g_ptr_array_add(message.sources, g_strdup(g_ptr_array_index(list->sources, i)));
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    return bytes;
}

static void send_gateway_list(void *user, const uint64_t *serial, const gateway_peer_list_t *list) {
    const gateway_lists_t *lists = user;
    GBytes *encoded = g_hash_table_lookup(lists->encoded, list);
    if (encoded == NULL) {
        encoded = encode_list(list);
        g_hash_table_insert(lists->encoded, (gpointer)list, encoded);
    }
    frame_connection_send(g_hash_table_lookup(lists->store->connections, serial),
                          g_bytes_ref(encoded));
}

static void on_gateway_list_timer(uv_timer_t *timer) {
    store_t *store = timer->data;
    gateway_lists_t lists = {
        store, g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_bytes_unref)};
    gateway_registry_notify(&store->gateways, send_gateway_list, &lists);
    g_hash_table_destroy(lists.encoded);
}

void store_schedule_gateway_lists(store_t *store) {
    uint64_t delay_ms =
        GATEWAY_LIST_DELAY_MS + gateway_registry_count(&store->gateways) / GATEWAYS_PER_DELAY_MS;
    if (!uv_is_active((const uv_handle_t *)&store->gateway_list_timer))
        uv_timer_start(&store->gateway_list_timer, on_gateway_list_timer,
                       MIN(delay_ms, (uint64_t)GATEWAY_LIST_DELAY_MAX_MS), 0);
}

void store_handle_gateway(store_t *store, frame_connection_t *connection,
                          const message_t *message) {
    if (message->ids->len != 2)
        return;
    gateway_registry_add(&store->gateways, frame_connection_serial(connection),
                         g_ptr_array_index(message->ids, 0), g_ptr_array_index(message->ids, 1));
    store_directory_gateway_connected(store->directory, g_ptr_array_index(message->ids, 0));
    store_send_crashes(store, connection);
    store_request_reconciliation(store, RECONCILE_GATEWAY_CONNECTED);
    store_schedule_gateway_lists(store);
}

void store_gateways_init(store_t *store) {
    gateway_registry_init(&store->gateways);
    uv_timer_init(store->loop, &store->gateway_list_timer);
    store->gateway_list_timer.data = store;
}
