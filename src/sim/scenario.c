#include "sim/world.h"

#include "common/json.h"

#include <string.h>

enum { DAY_MS = 24 * 3600 * 1000, PROGRAMS_MAXIMUM = 100000, ZONES_MAXIMUM = 16 };

static void read_faults(json_reader_t *reader, scenario_t *scenario) {
    const json_t *list = json_reader_value(reader, "faults", JSON_ARRAY, false);
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *name = json_string_value(json_array_get(list, i));
        bool known = false;
        for (unsigned kind = 0; kind < FAULT_KINDS; kind++) {
            if (g_strcmp0(fault_name((fault_kind_t)kind), name) != 0)
                continue;
            scenario->faults[kind] = true;
            known = true;
        }
        if (!known)
            json_reader_fail(reader, "faults", "holds a kind that is not known");
    }
}

bool scenario_read(const char *file, scenario_t *scenario, GError **error) {
    char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, error))
        return false;
    json_t *value = json_parse(text, strlen(text), error);
    g_free(text);
    if (value == NULL)
        return false;
    json_reader_t reader;
    *scenario = (scenario_t){0};
    json_reader_start(&reader, value, "", error);
    scenario->zones = (uint32_t)json_reader_integer(&reader, "zones", 1, ZONES_MAXIMUM, 3);
    scenario->nodes_per_zone = (uint32_t)json_reader_integer(&reader, "nodes_per_zone", 1, 1000, 2);
    scenario->engines = (uint32_t)json_reader_integer(&reader, "engines", 1, 1000, 3);
    scenario->programs =
        (uint32_t)json_reader_integer(&reader, "programs", 0, PROGRAMS_MAXIMUM, 20);
    scenario->partitions = (uint32_t)json_reader_integer(&reader, "partitions", 1, 65536, 4);
    scenario->voters = (uint32_t)json_reader_integer(&reader, "voters", 1, 7, 5);
    scenario->duration_ms = json_reader_integer(&reader, "duration_ms", 1000, DAY_MS, 60000);
    scenario->settle_ms = json_reader_integer(&reader, "settle_ms", 0, DAY_MS, 70000);
    scenario->fault_interval_ms =
        json_reader_integer(&reader, "fault_interval_ms", 1000, DAY_MS, 15000);
    scenario->edit_interval_ms =
        json_reader_integer(&reader, "edit_interval_ms", 100, DAY_MS, 3000);
    scenario->key_value_outage_ms =
        json_reader_integer(&reader, "key_value_outage_ms", 0, DAY_MS, 0);
    scenario->rolling_restart = json_reader_bool(&reader, "rolling_restart", false);
    read_faults(&reader, scenario);
    bool valid = json_reader_finish(&reader);
    json_decref(value);
    return valid;
}
