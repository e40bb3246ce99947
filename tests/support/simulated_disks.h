/**
 * @file simulated_disks.h
 * Three storage nodes and two gateways in virtual time, for tests of writes on disks that stall.
 */
#ifndef RUDDERWAY_TESTS_SIMULATED_DISKS_H
#define RUDDERWAY_TESTS_SIMULATED_DISKS_H

#include <gtest/gtest.h>

#include <cstring>

extern "C" {
#include "storesim/world.h"
}

namespace simulated_disks {

constexpr uint64_t setup_ms = 4000;
constexpr uint64_t write_timeout_ms = 4000; /**< The caller's time. */
constexpr uint64_t prompt_ms = 100;         /**< More than a sync of a disk that does not stall. */
constexpr unsigned nodes = 3;
constexpr uint64_t max_tokens = 40;
constexpr uint64_t budget = 400;

struct Outcome {
    bool verdict_given = false;
    verdict_t verdict = VERDICT_UNSURE;
    uint64_t verdict_at = 0;
    bool ended = false;
    bool durable = false;
    uint64_t ended_at = 0;
};

inline void on_verdict(void *owner, verdict_t verdict, const GArray *) {
    auto *outcome = static_cast<Outcome *>(owner);
    outcome->verdict_given = true;
    outcome->verdict = verdict;
    outcome->verdict_at = virtual_now();
}

inline void on_durable(void *owner, bool durable) {
    auto *outcome = static_cast<Outcome *>(owner);
    outcome->ended = true;
    outcome->durable = durable;
    outcome->ended_at = virtual_now();
}

inline const store_operation_handler_t handler = {on_verdict, on_durable};

class SimulatedDisks : public testing::Test {
  public:
    explicit SimulatedDisks(unsigned spares = 0) {
        const world_shape_t shape = {nodes, spares, 2, 100, BREAK_NOTHING};
        world = world_new(1, &shape);
        virtual_run(setup_ms);
        client = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0))->client;
    }

    world_store_t *node(unsigned number) const {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
    }

    void stall(unsigned number, uint64_t ms) const {
        virtual_disk_stall(virtual_disk_of(node(number)->process), ms);
    }

    void stall_first(unsigned count, uint64_t ms) const {
        for (unsigned i = 0; i < count; i++)
            stall(i, ms);
    }

    static void run(uint64_t ms) {
        virtual_run(virtual_now() + ms);
    }

    void put_turn(const char *id, Outcome *outcome) const {
        turn_t turn = {g_strdup(id),          g_strdup(""), g_bytes_new("in", 2),
                       g_bytes_new("out", 3), 1000000000,   g_strdup("")};
        store_client_put_turn(client, &turn, write_timeout_ms, &handler, outcome);
        turn_clear(&turn);
    }

    void reserve(const char *call, uint64_t tokens, Outcome *outcome) const {
        const store_reserve_t request = {"program",        call, tokens, budget, true,
                                         write_timeout_ms, 0};
        store_client_reserve(client, &request, &handler, outcome);
    }

    /** Number of running nodes that have the turn on disk. */
    unsigned copies(const char *id) const {
        unsigned found = 0;
        for (unsigned i = 0; i < nodes; i++)
            found +=
                node(i)->store != nullptr && turn_table_find(&node(i)->store->turns, id) != nullptr;
        return found;
    }

    /** How many records of the turn or reserve @p id the node's log has. */
    unsigned records(unsigned number, const char *id) const {
        const virtual_disk_t *disk = virtual_disk_of(node(number)->process);
        unsigned found = 0;
        for (guint i = 0; i < disk->synced->len; i++) {
            gsize length;
            const void *data = g_bytes_get_data(
                static_cast<GBytes *>(g_ptr_array_index(disk->synced, i)), &length);
            message_t message;
            if (message_decode(&message, data, length) && message.type == REQUEST_PUT_TURN)
                found += strcmp(g_array_index(message.turns, turn_t, 0).id, id) == 0;
            else if (message.type == REQUEST_RESERVE)
                found += strcmp(message.charge.call, id) == 0;
            message_clear(&message);
        }
        return found;
    }

    world_t *world;
    store_client_t *client;
};

} // namespace simulated_disks

#endif
