// Model of the control traffic of gateways and storage nodes at 30 to 3,300 gateways and 10,000
// back ends, with the real cells, decisions and encodings but without processes. Prints a table;
// fails when the work of one process grows with the fleet.
#include <gtest/gtest.h>

#include <arpa/inet.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "cluster/directory_changes.h"
#include "cluster/directory_snapshot.h"
#include "cluster/message.h"
#include "cluster/service_directory.h"
#include "core/configuration/directory_pacing.h"
#include "core/configuration/listing_schedule.h"
#include "core/configuration/watch_role.h"
#include "core/quorum/store_group_choice.h"
#include "gateway/backend_speeds.h"
#include "gateway/load_report.h"
#include "store/gateway_registry.h"
}

namespace {

constexpr unsigned backends = 10000;
constexpr unsigned tolerated_losses = 2;
constexpr unsigned page_items = 200;
constexpr double ms_per_s = 1000;
constexpr double idle_datagrams_per_s = 1; /**< From IDLE_REFRESH_MS of gateway/load_sharing.c. */

size_t size_of(GBytes *bytes) {
    size_t size = g_bytes_get_size(bytes);
    g_bytes_unref(bytes);
    return size;
}

/** Work of one process of a role. */
struct Figures {
    double steady_messages = 0; /**< Sent per second. */
    double steady_bytes = 0;
    size_t start_bytes = 0;  /**< Sent once, when all start together after a power failure. */
    size_t change_bytes = 0; /**< Sent for a change of one back end. */
    size_t loss_bytes = 0;   /**< Sent when one gateway is removed. */
    size_t state_bytes = 0;  /**< Held about other processes and the directory. */
};

struct Fleet {
    unsigned gateways = 0;
    size_t known = 0;         /**< Gateways that one gateway knows, at most. */
    unsigned followers = 0;   /**< Of one gateway, at most. */
    unsigned hops = 0;        /**< From the service's response to the last gateway. */
    unsigned watching = 0;    /**< Gateways that watch the service in the steady state. */
    double calls_per_s = 0;   /**< To the service, of all gateways, in the steady state. */
    unsigned start_calls = 0; /**< Of all gateways, to list the service when all start together. */
    Figures gateway;          /**< The one with the most followers. */
    Figures store;            /**< A member of the store group. */
};

class Model {
  public:
    Model() {
        gateway_registry_init(&directory);
        directory_snapshot_init(&snapshot);
        for (unsigned i = 0; i < backends; i++)
            add_backend(i);
    }
    Model(const Model &) = delete;
    Model &operator=(const Model &) = delete;
    ~Model() {
        gateway_registry_clear(&directory);
        directory_snapshot_clear(&snapshot);
    }
    Fleet measure(unsigned gateways, unsigned zones) {
        Fleet fleet;
        fleet.gateways = gateways;
        for (unsigned i = 0; i < gateways; i++)
            add_gateway(i, zones);
        size_t list_bytes = send_lists();
        std::map<std::string, std::set<std::string>> cells = cells_by_source();
        for (const auto &[serial, list] : lists)
            fleet.known = std::max(fleet.known, list.known.size());
        fleet.followers = max_followers(cells);
        fleet.hops = cells.size() > 1 ? 2 : 1;
        fleet.watching = watching();
        fleet.calls_per_s = fleet.watching * ms_per_s / WATCH_WAIT_RENEWING_MS;
        fleet.start_calls = gateways + listing() * (backends / page_items);
        measure_gateway(fleet);
        measure_store(fleet, list_bytes);
        return fleet;
    }

  private:
    struct List {
        std::vector<std::string> known;
        std::vector<std::string> sources;
    };
    gateway_registry_t directory;
    directory_snapshot_t snapshot;
    std::vector<std::unique_ptr<uint64_t>> serials;
    std::map<uint64_t, List> lists;
    std::map<uint64_t, std::string> addresses;
    size_t sent_bytes = 0;

    void add_backend(unsigned number) {
        char key[32];
        /* Scattered like real ones: consecutive names and addresses would compress too well. */
        uint64_t scattered = number * 0x9e3779b97f4a7c15U;
        snprintf(key, sizeof key, "servers/i-%010llx",
                 static_cast<unsigned long long>(scattered >> 24));
        backend_record_t record = {};
        record.service = const_cast<char *>("agent-service");
        record.zone = const_cast<char *>("region-a");
        record.address.sin_addr.s_addr = htonl(0x0a000000 + static_cast<uint32_t>(scattered >> 44));
        record.address.sin_port = htons(static_cast<uint16_t>(8000 + (scattered >> 54)));
        record.slots = 6;
        GBytes *value = backend_record_encode(&record);
        key_value_item_t item = {key, value, number + 1};
        directory_snapshot_note(&snapshot, &item);
        g_bytes_unref(value);
    }
    void add_gateway(unsigned number, unsigned zones) {
        serials.push_back(std::make_unique<uint64_t>(number + 1));
        std::string address = "10." + std::to_string(number / 40000) + "." +
                              std::to_string(number / 200) + "." + std::to_string(number % 200) +
                              ":7000";
        addresses[*serials.back()] = address;
        gateway_registry_add(&directory, serials.back().get(), address.c_str(),
                             ("zone-" + std::to_string(number % zones)).c_str());
    }
    static void on_list(void *user, const uint64_t *serial, const gateway_peer_list_t *list) {
        auto *model = static_cast<Model *>(user);
        List &to = model->lists[*serial];
        message_t message;
        message_init(&message, MESSAGE_GATEWAYS);
        for (guint i = 0; i < list->known->len; i++) {
            auto *address = static_cast<char *>(g_ptr_array_index(list->known, i));
            to.known.emplace_back(address);
            g_ptr_array_add(message.ids, g_strdup(address));
        }
        for (guint i = 0; i < list->sources->len; i++) {
            auto *address = static_cast<char *>(g_ptr_array_index(list->sources, i));
            to.sources.emplace_back(address);
            g_ptr_array_add(message.sources, g_strdup(address));
        }
        model->sent_bytes += size_of(message_encode(&message));
        message_clear(&message);
    }
    size_t send_lists() {
        sent_bytes = 0;
        lists.clear();
        gateway_registry_notify(&directory, on_list, this);
        return sent_bytes;
    }
    /** Cells other than the root, identified by their first gateway, grouped by common source. */
    std::map<std::string, std::set<std::string>> cells_by_source() {
        std::map<std::string, std::set<std::string>> cells;
        for (const auto &[serial, list] : lists) {
            std::string first = *std::min_element(list.known.begin(), list.known.end());
            cells[list.sources.empty() ? first : list.sources[0]].insert(first);
        }
        return cells;
    }
    unsigned max_followers(const std::map<std::string, std::set<std::string>> &cells) {
        size_t own = 0;
        for (const auto &[serial, list] : lists)
            own = std::max(own, list.known.size() / WATCH_RENEWING + 1);
        size_t below = 0;
        for (const auto &[source, in_zone] : cells)
            below = std::max(below, in_zone.size());
        return static_cast<unsigned>(own + below);
    }
    /** Number of gateways of a cell that come before @p address. */
    static unsigned rank_of(const List &list, const std::string &address) {
        return static_cast<unsigned>(
            std::count_if(list.known.begin(), list.known.end(),
                          [&address](const std::string &other) { return other < address; }));
    }
    /** Gateways that watch the service, as each decides from the reports of its cell. */
    unsigned watching() {
        constexpr uint64_t now = 100000;
        unsigned found = 0;
        for (const auto &[serial, list] : lists) {
            auto peers = static_cast<unsigned>(list.known.size() - 1);
            unsigned rank = rank_of(list, addresses.at(serial));
            std::vector<watch_report_t> reports(peers);
            for (unsigned i = 0; i < peers; i++)
                reports[i] = {i < rank, i, now - 100, 1000, backends, true, i < WATCH_RENEWING};
            watch_state_t own = {backends, now - 1000, now - 1000, 0, !list.sources.empty()};
            watch_decision_t decision =
                watch_role_decide(&own, reports.data(), peers, load_report_period_ms(peers, true),
                                  load_report_period_ms(peers, false), now);
            found += (decision.renewing && list.sources.empty()) ? 1 : 0;
        }
        return found;
    }
    /** Gateways that list the service at startup while the others are sent views. */
    unsigned listing() {
        constexpr uint64_t start = 5000;
        constexpr uint64_t elapsed_ms = 1000;
        unsigned found = 0;
        for (const auto &[serial, list] : lists) {
            unsigned rank = rank_of(list, addresses.at(serial));
            listing_schedule_t turn = {start, start, rank, !list.sources.empty(), false, 0, 0};
            found += listing_schedule_due(&turn, start + LISTING_SETTLE_MS + elapsed_ms) ? 1 : 0;
        }
        return found;
    }
    static size_t report_bytes() {
        watch_report_t watch = {};
        watch.answer_age = 2000;
        watch.changed = backends;
        GArray *entries = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
        load_entry_t entry = {UINT64_MAX, 1, 0};
        g_array_append_val(entries, entry);
        size_t bytes = size_of(load_report_encode(&watch, entries));
        g_array_free(entries, TRUE);
        return bytes;
    }
    static size_t changes_bytes(bool any) {
        GArray *changes = directory_changes_new();
        key_value_item_t item = {const_cast<char *>("servers/i-0000000000"),
                                 g_bytes_new_static("0123456789012345678901234567890123456789", 40),
                                 backends};
        if (any)
            directory_changes_add(changes, &item);
        message_t message;
        message_init(&message, MESSAGE_DIRECTORY_CHANGES);
        message.revision = backends;
        message.directory = directory_changes_encode(changes);
        size_t bytes = size_of(message_encode(&message));
        message_clear(&message);
        g_array_free(changes, TRUE);
        g_bytes_unref(item.value);
        return bytes;
    }
    void measure_gateway(Fleet &fleet) {
        Figures &figures = fleet.gateway;
        auto peers = static_cast<unsigned>(fleet.known - 1);
        double period_ms = static_cast<double>(load_report_period_ms(peers, true));
        double datagrams = peers * std::max(idle_datagrams_per_s, ms_per_s / period_ms);
        figures.steady_messages = datagrams + fleet.followers;
        figures.steady_bytes = datagrams * static_cast<double>(report_bytes()) +
                               fleet.followers * static_cast<double>(changes_bytes(false)) +
                               BACKEND_SPEEDS_BYTES_PER_S;
        size_t view = size_of(directory_snapshot_encode(&snapshot));
        figures.start_bytes = fleet.followers * changes_bytes(false);
        figures.change_bytes = fleet.followers * changes_bytes(true);
        figures.state_bytes = view + fleet.known * sizeof(load_entry_t) + backends * sizeof(void *);
    }
    void measure_store(Fleet &fleet, size_t list_bytes) {
        Figures &figures = fleet.store;
        unsigned members = store_group_size(tolerated_losses);
        size_t view = size_of(directory_snapshot_encode(&snapshot));
        /* Each gateway requests the view from one member; every member sends it a list. */
        figures.start_bytes = list_bytes + fleet.gateways / members * view;
        figures.state_bytes = view;
        size_t max_bytes = 0;
        for (unsigned i = 0; i < 20 && i < serials.size(); i++) {
            gateway_registry_remove(&directory, serials[serials.size() - 1 - i].get());
            max_bytes = std::max(max_bytes, send_lists());
        }
        figures.loss_bytes = max_bytes;
    }
};

const std::vector<unsigned> sizes = {30, 100, 300, 1000, 3300};

std::map<unsigned, Fleet> measure_all() {
    std::map<unsigned, Fleet> fleets;
    for (unsigned gateways : sizes) {
        Model model;
        fleets[gateways] = model.measure(gateways, gateways < 2000 ? 6 : 16);
    }
    return fleets;
}

TEST(ControlTraffic, WorkOfOneProcessDoesNotGrowWithTheFleet) {
    std::map<unsigned, Fleet> fleets = measure_all();
    printf("%8s %6s %9s %5s %8s %8s %11s %9s %9s %10s %9s %9s\n", "gateways", "knows", "followers",
           "hops", "watching", "calls/s", "start calls", "msg/s", "B/s", "B a change", "store MB",
           "B a loss");
    for (const auto &[gateways, fleet] : fleets)
        printf("%8u %6zu %9u %5u %8u %8.1f %11u %9.1f %9.0f %10zu %9.1f %9zu\n", gateways,
               fleet.known, fleet.followers, fleet.hops, fleet.watching, fleet.calls_per_s,
               fleet.start_calls, fleet.gateway.steady_messages, fleet.gateway.steady_bytes,
               fleet.gateway.change_bytes, static_cast<double>(fleet.store.start_bytes) / 1e6,
               fleet.store.loss_bytes);
    for (const auto &[gateways, fleet] : fleets) {
        EXPECT_LE(fleet.known, 2U * GATEWAYS_CELL_MEAN_MAX) << gateways;
        EXPECT_LE(fleet.followers, GATEWAYS_CELL_MEAN_MAX) << gateways;
        EXPECT_LE(fleet.watching, 16U * WATCH_RENEWING) << "three per zone, whatever its size";
        EXPECT_LE(fleet.gateway.steady_bytes, 14000) << "share of a node for control traffic, B/s";
        EXPECT_LE(load_report_period_ms(static_cast<unsigned>(fleet.known), true), 1200U)
            << "less frequent watch reports are not trusted";
    }
    const Fleet &small = fleets[300];
    const Fleet &large = fleets[3300];
    EXPECT_LE(large.gateway.steady_bytes, 2 * small.gateway.steady_bytes);
    EXPECT_LE(large.gateway.change_bytes, 2 * small.gateway.change_bytes);
    EXPECT_LE(large.store.loss_bytes, 4 * small.store.loss_bytes);
    EXPECT_EQ(large.store.state_bytes, small.store.state_bytes);
}

// Guards against a listing of the service by every gateway.
TEST(ControlTraffic, StartupTakesOneCallPerGatewayAndThreeListingsPerZone) {
    std::map<unsigned, Fleet> fleets = measure_all();
    for (const auto &[gateways, fleet] : fleets)
        EXPECT_LE(fleet.start_calls, gateways + 16 * WATCH_RENEWING * (backends / page_items));
}

} // namespace
