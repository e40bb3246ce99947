/* Metrics of a storage node. */
#include "store/store.h"

#include "cluster/metrics_page.h"
#include "common/event.h"

static void append_metrics(void *owner, GString *text) {
    const store_t *store = owner;
    metrics_append(text, "store_generation", store->group->generation);
    metrics_append(text, "store_members", store->group->members->len);
    metrics_append(text, "store_member", store_is_member(store));
    metrics_append(text, "store_complete", store_is_complete(store));
    metrics_append(text, "store_turns", g_hash_table_size(store->turns.entries));
    metrics_append(text, "store_missing_ancestors", turn_table_missing_ancestors(&store->turns));
    metrics_append(text, "store_turn_bytes", store->turns.bytes);
    metrics_append(text, "store_held_turn_bytes", store_reserved_turn_bytes(store));
    metrics_append(text, "store_charge_bytes", budget_table_bytes(&store->budgets));
    metrics_append(text, "store_log_bytes", record_log_bytes(store->log));
    metrics_append(text, "store_connections", g_hash_table_size(store->connections));
    metrics_append(text, "store_connection_buffer_bytes", store_connections_buffer_bytes(store));
    metrics_append(text, "store_gateways", gateway_registry_count(&store->gateways));
    metrics_append(text, "store_writes_failed_total", store->writes_failed);
    metrics_append(text, "store_no_room_total", store->turns_refused_for_space);
    metrics_append(text, "store_taken_beyond_share_total", store->turns_accepted_over_limit);
    metrics_append(text, "store_reserves_refused_total", store->reserves_refused);
    metrics_append(text, "store_turns_copied_total", store->turns_copied);
    metrics_append(text, "store_charges_copied_total", store->charges_copied);
    metrics_append(text, "store_reconciliations_total", store->reconciliations);
    metrics_append(text, "store_copy_looks_total", store->copy_ids_examined);
    metrics_append(text, "store_turns_spilled_total", turn_spill_count(store->spill));
    metrics_append(text, "store_spill_empty", turn_spill_empty(store->spill));
    metrics_append(text, "store_tenants", g_hash_table_size(store->quotas.buckets));
    metrics_append(text, "store_allowances_granted_total", store->quotas.granted);
    metrics_append(text, "store_allowances_refused_total", store->quotas.refused);
    metrics_append(text, "store_allowances_charged_total", store->quotas.charged);
    metrics_append(text, "store_programs_admitted_total", store->admissions.admitted);
    metrics_append(text, "store_programs_readmitted_total", store->admissions.readmitted);
    metrics_append(text, "store_programs_refused_total", store->admissions.refused);
    metrics_append(text, "store_programs_remembered", store->admissions.programs);
    metrics_append(text, "log_lines_left_out_total", event_lines_left_out());
    latency_histogram_append(&store->write_latency, "rudderway_store_write_ms", NULL, text);
}

bool store_serve_metrics(store_t *store, metrics_page_t *page) {
    return metrics_page_open(page, store->loop, store->settings, append_metrics, store);
}
