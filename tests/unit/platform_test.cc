// The adapter to the users' platform: their words in, Rudderway's records out.
#include <glib.h>

extern "C" {
#include "cluster/key_value.h"
#include "cluster/process_settings.h"
#include "cluster/service_directory.h"
#include "gateway/call_fields.h"
}

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace {

TEST(Platform, ReadsAConfiguration) {
    const std::string text = R"({"version":7,"routes":[
        {"name":"r1","host":"a.example","path-prefix":"/x/","kind":"streaming","timeout-ms":4000,
         "target-latency-ms":200,"priority":1,"traffic-split":[{"service":"s1","weight":90},
         {"service":"s2","weight":10}],"attempts":1,"stateful":true,"retention-s":60.0,
         "resumable":false,"unheard-of":[1]},
        {"name":"r2","host":"a.example","path-prefix":"/y/","kind":"safe","service":"s2"},
        {"name":"r3","host":"a.example","path-prefix":"/z/","kind":"unsafe","service":"s2"}],
        "services":[{"name":"s1","connection-limit":160,"engine":{"slots":12,
         "tokens-per-event":9}},{"name":"s2"}],
        "limits":{"max-header-bytes":1000,"max-body-bytes":2000,"header-timeout-ms":30,
         "idle-timeout-ms":40}})";
    directory_configuration_t *configuration =
        directory_parse_configuration(text.data(), text.size());
    ASSERT_NE(configuration, nullptr);
    EXPECT_EQ(configuration->version, 7u);
    EXPECT_EQ(configuration->limits.header_bytes, 1000u);
    EXPECT_EQ(configuration->limits.idle_timeout_ms, 40u);
    const route_t *turns = directory_find_route(configuration, "a.example", "/x/1");
    EXPECT_EQ(turns->kind, CALL_STREAM);
    EXPECT_TRUE(turns->keeps_turns);
    EXPECT_FALSE(turns->resumable);
    EXPECT_EQ(turns->retention_ms, 60000u);
    EXPECT_EQ(turns->parts->len, 2u);
    EXPECT_EQ(directory_find_route(configuration, "a.example", "/y/")->kind, CALL_REPEATABLE);
    const route_t *once = directory_find_route(configuration, "a.example", "/z/");
    EXPECT_EQ(once->kind, CALL_AT_MOST_ONCE);
    EXPECT_EQ(once->attempts, 1u);
    EXPECT_STREQ(g_array_index(once->parts, route_part_t, 0).service, "s2");
    EXPECT_EQ(directory_find_service(configuration, "s1")->tokens_per_event, 9u);
    EXPECT_FALSE(directory_find_service(configuration, "s2")->engine);
    directory_configuration_unref(configuration);
    for (const char *bad : {"", "{}", "[1]", "{\"routes\":[]", "null"})
        EXPECT_EQ(directory_parse_configuration(bad, strlen(bad)), nullptr) << bad;
}

const char tenants_text[] = R"({"version":3,"routes":[
    {"name":"r1","host":"a.example","path-prefix":"/x/","kind":"safe","service":"s"},
    {"name":"r2","host":"a.example","path-prefix":"/y/","kind":"safe","service":"s",
     "public-access":true}],"services":[{"name":"s"}],
    "tenants":[{"name":"t1","api-keys":["key-one","key-two"],"priority":2,"rate-per-s":40,
     "burst":50},{"name":"t2","api-keys":["key-three"]},{"name":"t3","api-keys":[]}]})";

std::string tenant_of(const directory_configuration_t *configuration, const char *key) {
    const tenant_t *tenant = tenancy_find(configuration->tenancy, key);
    return tenant == nullptr ? "none" : tenant->name;
}

void expect_tenants(const directory_configuration_t *configuration) {
    ASSERT_NE(configuration, nullptr);
    ASSERT_NE(configuration->tenancy, nullptr);
    EXPECT_EQ(tenant_of(configuration, "key-one"), "t1");
    EXPECT_EQ(tenant_of(configuration, "key-two"), "t1");
    EXPECT_EQ(tenant_of(configuration, "key-three"), "t2");
    EXPECT_EQ(tenant_of(configuration, "key-four"), "none");
    EXPECT_EQ(tenant_of(configuration, ""), "none");
    const tenant_t *tenant = tenancy_find(configuration->tenancy, "key-one");
    EXPECT_EQ(tenant->rate, 40u);
    EXPECT_EQ(tenant->burst, 50u);
    EXPECT_EQ(tenancy_find(configuration->tenancy, "key-three")->rate, 0u);
    EXPECT_FALSE(directory_find_route(configuration, "a.example", "/x/")->open_to_all);
    EXPECT_TRUE(directory_find_route(configuration, "a.example", "/y/")->open_to_all);
}

TEST(Platform, ReadsTenantsAndTheirKeys) {
    directory_configuration_t *configuration =
        directory_parse_configuration(tenants_text, strlen(tenants_text));
    expect_tenants(configuration);
    directory_configuration_unref(configuration);
    const char *without = R"({"routes":[],"services":[]})";
    configuration = directory_parse_configuration(without, strlen(without));
    EXPECT_EQ(configuration->tenancy, nullptr);
    directory_configuration_unref(configuration);
    const char *nobody = R"({"routes":[],"services":[],"tenants":[]})";
    configuration = directory_parse_configuration(nobody, strlen(nobody));
    EXPECT_NE(configuration->tenancy, nullptr) << "nobody holds a key any more";
    directory_configuration_unref(configuration);
}

TEST(Platform, ARedactedConfigurationHoldsNoKeyAndServesAsWell) {
    GBytes *value = g_bytes_new_static(tenants_text, strlen(tenants_text));
    GBytes *redacted = directory_redact_configuration(value);
    GBytes *again = directory_redact_configuration(redacted);
    EXPECT_EQ(redacted, again) << "nothing is left to replace";
    gsize length;
    const char *data = static_cast<const char *>(g_bytes_get_data(redacted, &length));
    for (const char *key : {"key-one", "key-two", "key-three"})
        EXPECT_EQ(std::string(data, length).find(key), std::string::npos) << key;
    /* The digest of a key is not itself a key. */
    directory_configuration_t *configuration = directory_parse_configuration(data, length);
    expect_tenants(configuration);
    char *digest = tenancy_digest("key-one");
    EXPECT_EQ(tenant_of(configuration, digest), "none");
    g_free(digest);
    directory_configuration_unref(configuration);
    g_bytes_unref(again);
    g_bytes_unref(redacted);
    g_bytes_unref(value);
    for (const char *bad : {"", "api-keys", "{\"tenants\":[{\"api-keys\":[1,", "[\"api-keys\"]",
                            "{\"tenants\":[{\"api-keys\":7}]}"}) {
        value = g_bytes_new_static(bad, strlen(bad));
        g_bytes_unref(directory_redact_configuration(value));
        g_bytes_unref(value);
    }
}

TEST(Platform, ReadsTheKeyOfACall) {
    EXPECT_STREQ(call_field_parse_key("Bearer abc"), "abc");
    EXPECT_STREQ(call_field_parse_key("bearer  abc"), "abc");
    for (const char *none : {"", "Bearer", "Bearer ", "Basic abc", "Bearerabc", "abc"})
        EXPECT_EQ(call_field_parse_key(none), nullptr) << none;
    EXPECT_EQ(call_field_parse_key(nullptr), nullptr);
}

TEST(Platform, ReadsABackEndAndWhetherItLeaves) {
    const char *ready = R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":6,
        "state":"ready","sequence":4})";
    backend_record_t *backend = directory_parse_backend("i-1", ready, strlen(ready));
    ASSERT_NE(backend, nullptr);
    EXPECT_FALSE(backend->leaving);
    EXPECT_EQ(ntohs(backend->address.sin_port), 80);
    EXPECT_EQ(backend->slots, 6u);
    backend_record_free(backend);
    const char *draining = R"({"service":"s","address":"10.1.2.3:80","state":"draining"})";
    backend = directory_parse_backend("i-1", draining, strlen(draining));
    EXPECT_TRUE(backend->leaving);
    backend_record_free(backend);
    for (const char *bad : {"", "{}", R"({"address":"10.1.2.3"})", R"({"address":"x:1"})"})
        EXPECT_EQ(directory_parse_backend("i-1", bad, strlen(bad)), nullptr) << bad;
}

TEST(Platform, ReadsWhenABackEndStarted) {
    const char *told = R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":6,
        "state":"ready","born":1764700000000})";
    const char *not_told = R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":6,
        "state":"ready"})";
    backend_record_t *backend = directory_parse_backend("i-1", told, strlen(told));
    ASSERT_NE(backend, nullptr);
    EXPECT_EQ(backend->born, 1764700000000U);
    backend_record_free(backend);
    backend = directory_parse_backend("i-1", not_told, strlen(not_told));
    ASSERT_NE(backend, nullptr);
    EXPECT_EQ(backend->born, 0U);
    backend_record_free(backend);
}

// The story: an entry may come from another writer. A state without a meaning passed for leaving, a
// missing zone or number of slots for "" or 0, so that calls went to a server that is none; a
// number beyond 32 bits was converted, which C does not define.
TEST(Platform, AnEntryOfAnotherWriterNamesNoBackEnd) {
    const std::string address = R"("address":"10.1.2.3:80")";
    const std::string service = R"("service":"s")";
    const std::string zone = R"("zone":"z")";
    const std::string slots = R"("slots":6)";
    const std::string state = R"("state":"ready")";
    const std::string sound = service + "," + address + "," + zone + "," + slots + "," + state;
    auto fault = [](const std::string &data) {
        backend_entry_fault_t found;
        backend_record_t *backend = directory_read_backend("i-1", data.data(), data.size(), &found);
        EXPECT_EQ(backend == nullptr, found != BACKEND_ENTRY_SOUND) << data;
        backend_record_free(backend);
        return found;
    };
    auto entry = [](const std::vector<std::string> &fields) {
        std::string all;
        for (const std::string &field : fields)
            all += (all.empty() ? "" : ",") + field;
        return "{" + all + "}";
    };
    EXPECT_EQ(fault(entry({sound})), BACKEND_ENTRY_SOUND);
    EXPECT_EQ(fault(entry({sound, R"("born":1764700000000,"sequence":4,"version":"v1")"})),
              BACKEND_ENTRY_SOUND);
    for (const char *unreadable :
         {"", "null", "[]", "7", "\"s\"", "{", "\xff\xfe{}", "{\"service\":"})
        EXPECT_EQ(fault(unreadable), BACKEND_ENTRY_UNREADABLE) << unreadable;
    EXPECT_EQ(fault(std::string("{}\0", 3)), BACKEND_ENTRY_UNREADABLE);
    EXPECT_EQ(fault(entry({address, zone, slots, state})), BACKEND_ENTRY_SERVICE);
    EXPECT_EQ(fault(entry({R"("service":["s"])", address, zone, slots, state})),
              BACKEND_ENTRY_SERVICE);
    EXPECT_EQ(fault(entry({service, zone, slots, state})), BACKEND_ENTRY_ADDRESS);
    EXPECT_EQ(fault(entry({service, R"("address":80)", zone, slots, state})),
              BACKEND_ENTRY_ADDRESS);
    EXPECT_EQ(fault(entry({service, address, slots, state})), BACKEND_ENTRY_ZONE);
    EXPECT_EQ(fault(entry({service, address, R"("zone":1)", slots, state})), BACKEND_ENTRY_ZONE);
    EXPECT_EQ(fault(entry({service, address, zone, state})), BACKEND_ENTRY_SLOTS);
    for (const char *bad : {"\"6\"", "6.5", "-1", "4294967296", "1e300", "true", "null"})
        EXPECT_EQ(fault(entry({service, address, zone, "\"slots\":" + std::string(bad), state})),
                  BACKEND_ENTRY_SLOTS)
            << bad;
    EXPECT_EQ(fault(entry({service, address, zone, slots})), BACKEND_ENTRY_STATE);
    for (const char *bad : {"\"warming\"", "\"\"", "\"READY\"", "1", "null"})
        EXPECT_EQ(fault(entry({service, address, zone, slots, "\"state\":" + std::string(bad)})),
                  BACKEND_ENTRY_STATE)
            << bad;
    for (const char *bad : {R"("version":1)", R"("cold-remaining-ms":"0")", R"("sequence":"4")",
                            R"("sequence":4.5)", R"("born":"1764700000000")", R"("born":1.5)"})
        EXPECT_EQ(fault(entry({sound, bad})), BACKEND_ENTRY_OTHER) << bad;
}

std::string nested(const std::string &opening, const std::string &closing, size_t depth) {
    std::string text;
    for (size_t i = 0; i < depth; i++)
        text += opening;
    text += "1";
    for (size_t i = 0; i < depth; i++)
        text += closing;
    return text;
}

void *read_nested_entries(void *) {
    const std::string sound =
        R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":6,"state":"ready","further":)";
    for (size_t depth : {100, 2000, 2048, 2049, 100000, 1000000})
        for (const auto &value : {nested("[", "]", depth), nested("{\"a\":", "}", depth)}) {
            backend_entry_fault_t fault;
            const std::string entry = sound + value + "}";
            backend_record_t *backend =
                directory_read_backend("i-1", entry.data(), entry.size(), &fault);
            EXPECT_EQ(fault, depth <= 2000 ? BACKEND_ENTRY_SOUND : BACKEND_ENTRY_UNREADABLE);
            backend_record_free(backend);
            EXPECT_EQ(directory_parse_backend("i-1", value.data(), value.size()), nullptr);
            EXPECT_EQ(directory_parse_configuration(value.data(), value.size()), nullptr);
            uint64_t born;
            EXPECT_EQ(backend_report_read(entry.data(), entry.size(), &born), depth <= 2000);
            GBytes *bytes = g_bytes_new(value.data(), value.size());
            g_bytes_unref(directory_redact_configuration(bytes));
            const std::string tenants = R"({"tenants":[{"api-keys":)" + value + "}]}";
            GBytes *keys = g_bytes_new(tenants.data(), tenants.size());
            g_bytes_unref(directory_redact_configuration(keys));
            g_bytes_unref(keys);
            g_bytes_unref(bytes);
        }
    return nullptr;
}

// Values are read on the loop's thread. One that nests a million deep must leave its stack alone:
// an eighth of the usual stack is enough here.
TEST(Platform, AnEntryThatNestsDeeplyTakesLittleOfTheStack) {
    pthread_attr_t attributes;
    pthread_t thread;
    ASSERT_EQ(pthread_attr_init(&attributes), 0);
    ASSERT_EQ(pthread_attr_setstacksize(&attributes, 1024 * 1024), 0);
    ASSERT_EQ(pthread_create(&thread, &attributes, read_nested_entries, nullptr), 0);
    ASSERT_EQ(pthread_join(thread, nullptr), 0);
    pthread_attr_destroy(&attributes);
}

TEST(Platform, AnEntryWithANumberOrATextOutOfBoundsIsReadOrRejected) {
    auto fault = [](const std::string &fields) {
        const std::string entry = R"({"service":"s","zone":"z","state":"ready",)" + fields + "}";
        backend_entry_fault_t found;
        backend_record_t *backend =
            directory_read_backend("i-1", entry.data(), entry.size(), &found);
        EXPECT_EQ(backend == nullptr, found != BACKEND_ENTRY_SOUND) << fields;
        backend_record_free(backend);
        return found;
    };
    const std::string address = R"("address":"10.1.2.3:80",)";
    EXPECT_EQ(fault(address + R"("slots":4294967295)"), BACKEND_ENTRY_SOUND);
    for (const char *number : {"1e18", "1e-400", "1.5", "-0.5", "1000000000000000000"})
        EXPECT_EQ(fault(address + "\"slots\":" + number), BACKEND_ENTRY_SLOTS) << number;
    for (const std::string &number :
         {std::string("1e400"), std::string("18446744073709551616"), std::string(5000, '9')})
        EXPECT_EQ(fault(address + "\"slots\":" + number), BACKEND_ENTRY_UNREADABLE) << number;
    for (const char *text :
         {"", ":", "10.1.2.3", "10.1.2.3:", "10.1.2.3:65536", "10.1.2.3:-1", "10.1.2.3:1e3",
          "10.1.2.3:99999999999999999999999", "256.1.1.1:80", "localhost:80", "[::1]:80",
          "10.1.2.3:-18446744073709551615", "10.1.2.3:+80", "10.1.2.3: 80"})
        EXPECT_EQ(fault("\"slots\":6,\"address\":\"" + std::string(text) + "\""),
                  BACKEND_ENTRY_ADDRESS)
            << text;
    const std::string large(1000 * 1000, '1');
    EXPECT_EQ(fault("\"slots\":6,\"address\":\"" + large + ":80\""), BACKEND_ENTRY_ADDRESS);
    EXPECT_EQ(fault(address + "\"slots\":6,\"further\":\"" + large + "\""), BACKEND_ENTRY_SOUND);
    EXPECT_EQ(fault(address + R"("slots":6,"version":"a\u0000b")"), BACKEND_ENTRY_UNREADABLE);
}

TEST(Platform, ANumberOfAConfigurationThatIsTooLargeIsTheLargest) {
    const char *large = R"({"version":1,"services":[],"routes":[{"name":"r","host":"h",
        "path-prefix":"/","service":"s","timeout-ms":1e300,"retention-s":1e300}]})";
    directory_configuration_t *configuration = directory_parse_configuration(large, strlen(large));
    ASSERT_NE(configuration, nullptr);
    const route_t *route = directory_find_route(configuration, "h", "/");
    EXPECT_EQ(route->timeout_ms, UINT32_MAX);
    EXPECT_EQ(route->retention_ms, UINT32_MAX);
    directory_configuration_unref(configuration);
}

TEST(Platform, OfACallersFieldsTheGatewaysOwnAreLeftOut) {
    for (const char *own : {"Deadline-Milliseconds", "Expect-Instance", "Expect-Version",
                            "Request-Priority", "Tenant", "Hold", "Pin-Milliseconds",
                            "Cache-Backup", "Kv-From", "Kv-Fetch", "hold", "TENANT"})
        EXPECT_TRUE(call_field_is_gateway_only(own)) << own;
    for (const char *passed :
         {"Attempt-Id", "Affinity-Key", "Prompt-Prefix", "Last-Event-Id", "Model", "Token-Counts",
          "Program-Id", "Session-Id", "Program-Deadline", "Token-Budget", "Previous-Turn",
          "Length-Hint", "Host", "Content-Type", "Accept", "X-Unheard-Of", "Holder", ""})
        EXPECT_FALSE(call_field_is_gateway_only(passed)) << passed;
}

TEST(Platform, ReadsListingsAndEvents) {
    const std::string listing = R"({"items":[{"private-key":"servers/i-1","value":"aGk=",
        "revision":4,"made":4,"lease":0}],"more":true,"at":9})";
    key_value_page_t page = {};
    ASSERT_TRUE(key_value_parse_page(listing.data(), listing.size(), &page));
    EXPECT_TRUE(page.more);
    EXPECT_EQ(page.revision, 9u);
    const auto &item = g_array_index(page.items, key_value_item_t, 0);
    EXPECT_EQ(memcmp(g_bytes_get_data(item.value, nullptr), "hi", 2), 0);
    key_value_page_clear(&page);
    const std::string events =
        R"({"events":[{"private-key":"op/config","revision":5,"gone":true}],"at":5})";
    ASSERT_TRUE(key_value_parse_events(events.data(), events.size(), &page));
    EXPECT_EQ(g_array_index(page.items, key_value_item_t, 0).value, nullptr);
    key_value_page_clear(&page);
    for (const char *bad : {"", "{}", "{\"items\":[{}],\"at\":1}", "{\"items\":[]}"}) {
        EXPECT_FALSE(key_value_parse_page(bad, strlen(bad), &page)) << bad;
        key_value_page_clear(&page);
    }
}

// Otherwise one key with a zero byte makes each listing unreadable, and no change is followed.
TEST(Platform, AKeyWithAZeroByteHidesNoOther) {
    const std::string foreign = R"({"private-key":"servers/a\u0000b","value":"aGk=","revision":3})";
    const std::string known = R"({"private-key":"servers/a","value":"aGk=","revision":4})";
    key_value_page_t page = {};
    for (const std::string &items : {foreign + "," + known, known + "," + foreign}) {
        const std::string listing = "{\"items\":[" + items + "],\"more\":true,\"at\":9}";
        ASSERT_TRUE(key_value_parse_page(listing.data(), listing.size(), &page));
        ASSERT_EQ(page.items->len, 1u);
        const auto &item = g_array_index(page.items, key_value_item_t, 0);
        EXPECT_STREQ(item.key, "servers/a");
        EXPECT_EQ(item.revision, 4u);
        key_value_page_clear(&page);
    }
    const std::string events = "{\"events\":[" + foreign + "],\"at\":5}";
    ASSERT_TRUE(key_value_parse_events(events.data(), events.size(), &page));
    EXPECT_EQ(page.items->len, 0u);
    key_value_page_clear(&page);
    // Its last key is the place where the next page begins.
    const std::string nothing_else = "{\"items\":[" + foreign + "],\"more\":true,\"at\":9}";
    EXPECT_FALSE(key_value_parse_page(nothing_else.data(), nothing_else.size(), &page));
    key_value_page_clear(&page);
}

TEST(Platform, TellsKeysApart) {
    const char *name;
    EXPECT_EQ(key_value_kind("op/config", &name), KEY_CONFIGURATION);
    EXPECT_EQ(key_value_kind("servers/i-1", &name), KEY_BACKEND);
    EXPECT_STREQ(name, "i-1");
    EXPECT_EQ(key_value_kind("op/retire/n", &name), KEY_RETIRE);
    EXPECT_STREQ(name, "n");
    EXPECT_EQ(key_value_kind("op/other", &name), KEY_OTHER);
    char *own = key_value_own_key("group");
    EXPECT_EQ(key_value_kind(own, &name), KEY_OWN);
    EXPECT_STREQ(name, "group");
    g_free(own);
}

TEST(Platform, AWriteCarriesItsConditionAndValue) {
    GBytes *value = g_bytes_new("hi", 2);
    GString *request = key_value_write_request("h:1", "k\"ey", value, false, 12);
    std::string text(request->str);
    EXPECT_NE(text.find("aGk="), std::string::npos);
    EXPECT_NE(text.find("\"revision\":12"), std::string::npos);
    EXPECT_NE(text.find("k\\\"ey"), std::string::npos);
    size_t body = text.find("\r\n\r\n") + 4;
    EXPECT_NE(text.find("Content-Length: " + std::to_string(text.size() - body)),
              std::string::npos);
    g_string_free(request, TRUE);
    g_bytes_unref(value);
}

TEST(Platform, ARemovalNamesItsKeysAndNothingElse) {
    GPtrArray *keys = g_ptr_array_new();
    g_ptr_array_add(keys, const_cast<char *>("one"));
    g_ptr_array_add(keys, const_cast<char *>("t\"wo"));
    GString *request = key_value_remove_request("h:1", keys);
    std::string text(request->str);
    EXPECT_NE(text.find("\"drop\":[\"one\",\"t\\\"wo\"]"), std::string::npos) << text;
    EXPECT_NE(text.find("\"put\":[]"), std::string::npos);
    EXPECT_NE(text.find("\"expected-revision\":[]"), std::string::npos);
    size_t body = text.find("\r\n\r\n") + 4;
    EXPECT_NE(text.find("Content-Length: " + std::to_string(text.size() - body)),
              std::string::npos);
    g_string_free(request, TRUE);
    g_ptr_array_free(keys, TRUE);
}

TEST(Platform, SpilledTurnsAreOutsideThePrefixThatEveryStorageNodeWatches) {
    const char *name;
    std::string key = std::string(key_value_prefix(KEY_SPILL)) + "node/1";
    EXPECT_EQ(key_value_kind(key.c_str(), &name), KEY_SPILL);
    EXPECT_STREQ(name, "node/1");
    EXPECT_NE(key.rfind(key_value_prefix(KEY_OWN), 0), 0u);
}

TEST(ProcessSettings, EachBadValueIsRefusedWithItsName) {
    const std::string good = "[node]\nname=n\nzone=z\n[key_value]\naddress=127.0.0.1:1\n"
                             "[peer]\nlisten=127.0.0.1:2\n[store]\nfolder=/tmp\n";
    const std::string path = testing::TempDir() + "settings.ini";
    auto load = [&](const std::string &text, process_kind_t kind) {
        std::ofstream(path) << text;
        GError *error = nullptr;
        process_settings_t *settings = process_settings_load(path.c_str(), kind, &error);
        std::string message = error == nullptr ? "" : error->message;
        g_clear_error(&error);
        EXPECT_EQ(settings == nullptr, !message.empty());
        process_settings_free(settings);
        return message;
    };
    EXPECT_EQ(load(good, PROCESS_STORE), "");
    EXPECT_NE(load(good, PROCESS_GATEWAY).find("gateway.calls"), std::string::npos);
    EXPECT_NE(load(good + "disk_megabytes=many\n", PROCESS_STORE).find("store.disk_megabytes"),
              std::string::npos);
    EXPECT_NE(load(good + "[gateway]\ntolerated_zones=-1\n", PROCESS_STORE)
                  .find("gateway.tolerated_zones"),
              std::string::npos);
    EXPECT_EQ(load(good + "[gateway]\ntolerated_zones=1\n", PROCESS_STORE), "");
    EXPECT_NE(
        load(good + "[quota]\nwhole_programs=some\n", PROCESS_STORE).find("quota.whole_programs"),
        std::string::npos);
    EXPECT_EQ(load(good + "[quota]\nwhole_programs=true\n", PROCESS_STORE), "");
    EXPECT_NE(load("[node]\nname=n\n", PROCESS_STORE).find("node.zone"), std::string::npos);
    EXPECT_NE(load(good + "[metrics]\nlisten=here\n", PROCESS_STORE).find("metrics.listen"),
              std::string::npos);
    std::remove(path.c_str());
}

} // namespace
