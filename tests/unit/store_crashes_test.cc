// Storage nodes pass crashes under a request on to all gateways (store_crashes.h), in virtual time.
#include <gtest/gtest.h>

#include <set>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t founding_ms = 6000;
constexpr uint64_t delivery_ms = 50;
constexpr uint64_t keep_alive_ms = 2000;
constexpr unsigned gateways = 3;
constexpr uint64_t request = 7;
constexpr uint64_t left_send = 100000; // Of a back end, in its low bits.

class StoreCrashes : public testing::Test {
  public:
    StoreCrashes() {
        const world_shape_t shape = {5, 0, gateways, 1000, BREAK_NOTHING};
        world = world_new(1, &shape);
        virtual_run(founding_ms);
    }
    world_gateway_t *gateway(unsigned number) const {
        return static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, number));
    }
    void report(unsigned from, uint16_t backend, bool cleared = false) const {
        message_t message;
        message_init(&message, MESSAGE_CRASH);
        message.crash.request = request;
        message.crash.backend = backend;
        message.crash.number = !cleared;
        message.crash.cleared = cleared;
        EXPECT_EQ(store_client_send_for_key(gateway(from)->client, request, &message),
                  unsigned{STORE_KEY_MEMBERS});
        message_clear(&message);
        virtual_run(virtual_now() + delivery_ms);
    }
    void send(unsigned from, message_type_t type, uint16_t backend, uint64_t attempt) const {
        message_t message;
        message_init(&message, type);
        message.crash.request = request;
        message.crash.backend = backend;
        message.send = attempt;
        store_client_send_for_key(gateway(from)->client, request, &message);
        message_clear(&message);
        virtual_run(virtual_now() + delivery_ms);
    }
    /** The gateway is lost, and its connections are found to be over. */
    void lose_gateway(unsigned number) const {
        virtual_network_keep_alive(keep_alive_ms);
        world_end_gateway(gateway(number));
        virtual_run(virtual_now() + keep_alive_ms + delivery_ms);
    }
    void leave(unsigned from, uint16_t backend, uint32_t run_ms, uint64_t attempt = 0) const {
        message_t message;
        message_init(&message, MESSAGE_SEND_LEFT);
        message.crash.request = request;
        message.crash.backend = backend;
        message.send = left_send + backend + attempt;
        message.wait_ms = run_ms;
        store_client_send_for_key(gateway(from)->client, request, &message);
        message_clear(&message);
        virtual_run(virtual_now() + delivery_ms);
    }
    /** Ends all nodes at once and starts them again; gateways know nothing then. */
    void end_all_nodes() const {
        for (guint i = 0; i < world->stores->len; i++)
            world_end_store(static_cast<world_store_t *>(g_ptr_array_index(world->stores, i)),
                            END_POWER_LOST);
        for (unsigned i = 0; i < gateways; i++)
            world_end_gateway(gateway(i));
        virtual_run(virtual_now() + delivery_ms);
        for (guint i = 0; i < world->stores->len; i++)
            world_start_store(static_cast<world_store_t *>(g_ptr_array_index(world->stores, i)),
                              false);
        for (unsigned i = 0; i < gateways; i++) {
            g_array_set_size(gateway(i)->crashes, 0);
            world_start_gateway(gateway(i));
        }
    }
    /** Back ends of which @p number was told that other gateways' calls have left them. */
    std::set<unsigned> left(unsigned number) const {
        std::set<unsigned> backends;
        for (guint i = 0; i < gateway(number)->left->len; i++)
            backends.insert(g_array_index(gateway(number)->left, crash_report_t, i).backend);
        return backends;
    }
    std::set<unsigned> known(unsigned number) const {
        std::set<unsigned> backends;
        for (guint i = 0; i < gateway(number)->crashes->len; i++) {
            const crash_report_t &crash =
                g_array_index(gateway(number)->crashes, crash_report_t, i);
            EXPECT_EQ(crash.request, request);
            if (crash.cleared)
                backends.clear();
            else
                backends.insert(crash.backend);
        }
        return backends;
    }
    world_t *world;
};

TEST_F(StoreCrashes, GoToAllGatewaysOnceTwoBackEndsHaveEndedUnderARequest) {
    report(0, 1);
    for (unsigned i = 0; i < gateways; i++)
        EXPECT_TRUE(known(i).empty()) << "each request that a back end takes along has one";
    report(1, 2);
    for (unsigned i = 0; i < gateways; i++)
        EXPECT_EQ(known(i), (std::set<unsigned>{1, 2})) << i;
    report(2, 3);
    for (unsigned i = 0; i < gateways; i++)
        EXPECT_EQ(known(i), (std::set<unsigned>{1, 2, 3})) << i;
}

TEST_F(StoreCrashes, CountTheNextEndOfABackEndThatAnotherGatewayFinds) {
    constexpr uint64_t restart_ms = 3000;
    report(0, 1);
    virtual_run(virtual_now() + restart_ms);
    report(1, 1);
    for (unsigned i = 0; i < gateways; i++)
        EXPECT_EQ(known(i), (std::set<unsigned>{1})) << i;
}

TEST_F(StoreCrashes, AStopThatOneGatewayRenewsGoesToAll) {
    message_t message;
    message_init(&message, MESSAGE_REQUEST_STOPPED);
    message.crash.request = request;
    message.crash.number = 2;
    message.age_ms = 100;
    store_client_send_for_key(gateway(1)->client, request, &message);
    message_clear(&message);
    virtual_run(virtual_now() + delivery_ms);
    for (unsigned i = 0; i < gateways; i++) {
        ASSERT_EQ(gateway(i)->stops->len, unsigned{STORE_KEY_MEMBERS}) << i;
        EXPECT_EQ(g_array_index(gateway(i)->stops, crash_report_t, 0).request, request);
        EXPECT_EQ(g_array_index(gateway(i)->stops, crash_report_t, 0).number, 2U);
    }
}

TEST_F(StoreCrashes, OutlastARestartOfAllGateways) {
    report(0, 1);
    report(0, 2);
    report(1, 3);
    for (unsigned i = 0; i < gateways; i++)
        world_end_gateway(gateway(i));
    virtual_run(virtual_now() + delivery_ms);
    for (unsigned i = 0; i < gateways; i++) {
        g_array_set_size(gateway(i)->crashes, 0);
        world_start_gateway(gateway(i));
    }
    virtual_run(virtual_now() + founding_ms);
    for (unsigned i = 0; i < gateways; i++) {
        EXPECT_EQ(known(i), (std::set<unsigned>{1, 2, 3})) << i;
        EXPECT_GT(gateway(i)->stops->len, 0U) << i;
    }
}

TEST_F(StoreCrashes, AreWithdrawnAtAllGatewaysThatWereTold) {
    report(0, 1);
    report(1, 2);
    message_t message;
    message_init(&message, MESSAGE_CRASH_WITHDRAWN);
    message.crash.request = request;
    message.crash.backend = 2;
    store_client_send_for_key(gateway(1)->client, request, &message);
    message_clear(&message);
    virtual_run(virtual_now() + delivery_ms);
    for (unsigned i = 0; i < gateways; i++)
        EXPECT_EQ(gateway(i)->withdrawn->len, unsigned{STORE_KEY_MEMBERS}) << i;
    for (unsigned i = 0; i < gateways; i++)
        g_array_set_size(gateway(i)->crashes, 0);
    report(2, 3);
    EXPECT_EQ(known(0), (std::set<unsigned>{1, 3}));
}

TEST_F(StoreCrashes, AreClearedAtAllGatewaysThatWereTold) {
    report(0, 1);
    report(0, 2);
    report(1, 0, true);
    for (unsigned i = 0; i < gateways; i++)
        EXPECT_TRUE(known(i).empty()) << i;
    report(0, 3);
    EXPECT_TRUE(known(2).empty());
}

// Guards against a stop that is forgotten when all nodes lose power.
TEST_F(StoreCrashes, OutlastALossOfPowerOfAllNodes) {
    report(0, 1);
    report(0, 2);
    report(1, 3);
    end_all_nodes();
    virtual_run(virtual_now() + founding_ms);
    for (unsigned i = 0; i < gateways; i++) {
        EXPECT_EQ(known(i), (std::set<unsigned>{1, 2, 3})) << i;
        EXPECT_GT(gateway(i)->stops->len, 0U) << i;
    }
}

TEST_F(StoreCrashes, ThatWereClearedStayClearedAfterALossOfPower) {
    report(0, 1);
    report(0, 2);
    report(1, 0, true);
    end_all_nodes();
    virtual_run(virtual_now() + founding_ms);
    report(0, 3);
    for (unsigned i = 0; i < gateways; i++)
        EXPECT_TRUE(known(i).empty()) << i;
}

TEST_F(StoreCrashes, ThatWereWithdrawnStayWithdrawnAfterALossOfPower) {
    report(0, 1);
    report(0, 2);
    send(0, MESSAGE_CRASH_WITHDRAWN, 2, 0);
    end_all_nodes();
    virtual_run(virtual_now() + founding_ms);
    report(0, 3);
    for (unsigned i = 0; i < gateways; i++)
        EXPECT_EQ(known(i), (std::set<unsigned>{1, 3})) << i;
}

// Guards against a send of which only its gateway knows, which is lost or stands still.
TEST_F(StoreCrashes, AnOpenSendOfAnEarlierAttemptCountsForTheNext) {
    send(0, REQUEST_SEND, 0, 11);
    EXPECT_TRUE(known(0).empty());
    send(1, REQUEST_SEND, 0, 12);
    EXPECT_EQ(known(1), std::set<unsigned>{11});
    EXPECT_TRUE(known(2).empty()) << "one is told to nobody else";
    send(2, REQUEST_SEND, 0, 13);
    EXPECT_EQ(known(2), (std::set<unsigned>{11, 12}));
}

// Guards against a back end that ends together with all nodes and does not count.
TEST_F(StoreCrashes, AnOpenSendAfterACrashOutlastsALossOfPowerOfAllNodes) {
    report(0, 1);
    send(0, REQUEST_SEND, 0, 12);
    send(0, MESSAGE_SEND_ENDED, 0, 12);
    send(0, REQUEST_SEND, 0, 11);
    end_all_nodes();
    virtual_run(virtual_now() + founding_ms);
    send(1, REQUEST_SEND, 0, 13);
    EXPECT_EQ(known(1), (std::set<unsigned>{1, 11}));
}

// Guards against equal requests of many callers that are refused for each other's sends.
TEST_F(StoreCrashes, SendsThatOneGatewayHasOpenSideBySideDoNotCount) {
    report(0, 1);
    for (uint64_t attempt : {11, 12, 13})
        send(0, REQUEST_SEND, 0, attempt);
    EXPECT_EQ(known(0), std::set<unsigned>{1});
    send(1, REQUEST_SEND, 0, 14);
    EXPECT_EQ(known(1), (std::set<unsigned>{1, 11, 12, 13})) << "that gateway may be lost";
}

TEST_F(StoreCrashes, ASendOfAGatewayThatHasStartedAgainCountsForIts) {
    send(0, REQUEST_SEND, 0, 11);
    world_end_gateway(gateway(0));
    virtual_run(virtual_now() + delivery_ms);
    world_start_gateway(gateway(0));
    virtual_run(virtual_now() + founding_ms);
    send(0, REQUEST_SEND, 0, 12);
    EXPECT_EQ(known(0), std::set<unsigned>{11});
}

// Guards against a back end that ends after its call has left it and its gateway is lost.
TEST_F(StoreCrashes, ASendThatACallHasLeftCountsOnceItsGatewayIsLost) {
    leave(0, 11, 3000);
    send(1, REQUEST_SEND, 0, 12);
    EXPECT_TRUE(known(1).empty()) << "its gateway watches it";
    send(1, MESSAGE_SEND_ENDED, 0, 12);
    lose_gateway(0);
    send(1, REQUEST_SEND, 0, 13);
    EXPECT_EQ(known(1), std::set<unsigned>{11});
}

TEST_F(StoreCrashes, AnEndThatTheGatewayHasToldBeforeItIsLostCountsOnce) {
    leave(0, 11, 3000);
    send(0, MESSAGE_CRASH_SILENT, 11, 0);
    lose_gateway(0);
    send(1, REQUEST_SEND, 0, 13);
    EXPECT_EQ(known(1), std::set<unsigned>{11});
    EXPECT_EQ(gateway(1)->crashes->len, unsigned{STORE_KEY_MEMBERS}) << "one from each node";
}

TEST_F(StoreCrashes, ASendThatWasLeftDoesNotCountOnceItsTimeIsOverOrItIsSettled) {
    leave(0, 11, 500);
    leave(0, 12, 5000);
    send(0, MESSAGE_SEND_ENDED, 0, left_send + 12);
    virtual_run(virtual_now() + 600);
    lose_gateway(0);
    send(1, REQUEST_SEND, 0, 13);
    EXPECT_TRUE(known(1).empty());
}

TEST_F(StoreCrashes, ASendThatWasLeftIsWithdrawnIfItsGatewayConnectsAnew) {
    leave(0, 11, 30000);
    lose_gateway(0);
    send(1, REQUEST_SEND, 0, 12);
    ASSERT_EQ(known(1), std::set<unsigned>{11});
    world_start_gateway(gateway(0));
    virtual_run(virtual_now() + founding_ms);
    leave(0, 11, 20000);
    EXPECT_EQ(gateway(1)->withdrawn->len, unsigned{STORE_KEY_MEMBERS});
}

// Guards against a request that ends one more back end than others know, which it has left there.
TEST_F(StoreCrashes, WhatOtherGatewaysHaveLeftIsToldToTheOneThatSendsTheRequest) {
    report(0, 1);
    leave(0, 11, 3000);
    leave(0, 12, 500);
    leave(1, 13, 3000);
    virtual_run(virtual_now() + 600);
    send(1, REQUEST_SEND, 0, 14);
    EXPECT_EQ(left(1), std::set<unsigned>{11});
    send(0, MESSAGE_SEND_ENDED, 0, left_send + 11);
    g_array_set_size(gateway(2)->left, 0);
    send(2, REQUEST_SEND, 0, 15);
    EXPECT_EQ(left(2), std::set<unsigned>{13});
}

// Guards against an end that is withdrawn because a gateway that has started again left the same
// back end.
TEST_F(StoreCrashes, ASendThatCountsIsNotWithdrawnByAnotherThatWasLeftAtTheSameBackEnd) {
    constexpr uint64_t later = 1000;
    leave(0, 11, 3000);
    lose_gateway(0);
    send(1, REQUEST_SEND, 0, 12);
    ASSERT_EQ(known(1), std::set<unsigned>{11});
    leave(1, 11, 3000, later);
    EXPECT_EQ(gateway(1)->withdrawn->len, 0U);
}

TEST_F(StoreCrashes, WhatWasLeftAtABackEndThatHasEndedSinceIsNotTold) {
    leave(0, 11, 3000);
    report(2, 11);
    send(1, REQUEST_SEND, 0, 14);
    EXPECT_TRUE(left(1).empty());
}

TEST_F(StoreCrashes, WhatWasLeftLongerIsToldThoughItWasLeftAgainForAShorterTime) {
    report(0, 1);
    leave(0, 11, 3000);
    leave(0, 11, 100);
    virtual_run(virtual_now() + 500);
    send(1, REQUEST_SEND, 0, 14);
    EXPECT_EQ(left(1), std::set<unsigned>{11});
}

TEST_F(StoreCrashes, WhatOtherGatewaysHaveLeftIsNotToldOfARequestUnderWhichNoneHasEnded) {
    leave(0, 11, 3000);
    send(1, REQUEST_SEND, 0, 12);
    EXPECT_TRUE(left(1).empty());
}

TEST_F(StoreCrashes, ASendThatHasEndedDoesNotCount) {
    send(0, REQUEST_SEND, 0, 11);
    send(0, MESSAGE_SEND_ENDED, 0, 11);
    send(1, REQUEST_SEND, 0, 12);
    EXPECT_TRUE(known(1).empty());
}

TEST_F(StoreCrashes, ASendThatEndsAfterItWasCountedIsWithdrawn) {
    send(0, REQUEST_SEND, 0, 11);
    send(1, REQUEST_SEND, 0, 12);
    send(0, MESSAGE_SEND_ENDED, 0, 11);
    EXPECT_EQ(gateway(1)->withdrawn->len, unsigned{STORE_KEY_MEMBERS});
    for (unsigned i = 0; i < gateways; i++)
        g_array_set_size(gateway(i)->crashes, 0);
    send(2, REQUEST_SEND, 0, 13);
    EXPECT_EQ(known(2), std::set<unsigned>{12});
}

} // namespace
