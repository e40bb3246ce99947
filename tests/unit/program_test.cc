#include <glib.h>

extern "C" {
#include "core/program/program.h"
}

#include <gtest/gtest.h>

namespace {

class ProgramStore : public testing::Test {
  protected:
    program_store_t *store = program_store_new(listen, this);
    raft_state_machine_t machine = program_store_machine(store);
    error_code_t last = RUDDERWAY_ERROR_NONE;
    uint64_t index = 0;

    ~ProgramStore() override {
        program_store_free(store);
    }

    static void listen(void *context, uint64_t, uint64_t, command_t *command, error_code_t error) {
        static_cast<ProgramStore *>(context)->last = error;
        command_free(command);
    }

    error_code_t apply(command_t *command) {
        GBytes *bytes = command_encode(command);
        command_free(command);
        machine.apply(machine.state, ++index, 1, bytes);
        g_bytes_unref(bytes);
        return last;
    }

    error_code_t start(const char *id, uint64_t budget, uint32_t turns = 10) {
        command_t *command = command_new(COMMAND_START, id, 1000);
        command->start.tenant = g_strdup("t");
        command->start.template_name = g_strdup("x");
        command->start.limits = {turns, budget, 60000, 60000, 100, 3};
        return apply(command);
    }

    command_t *intent(const char *id, uint32_t call, uint32_t attempt, uint64_t reserve) {
        command_t *command = command_new(COMMAND_INTENT, id, 2000);
        command->call = call;
        command->attempt = attempt;
        command->reserve = reserve;
        command->digest = call;
        command->backend = g_strdup("engine-1");
        command->body = g_bytes_new("[]", 2);
        return command;
    }

    command_t *result(const char *id, uint32_t call, uint32_t attempt, call_state_t state,
                      uint64_t spent) {
        command_t *command = command_new(COMMAND_RESULT, id, 3000);
        command->call = call;
        command->attempt = attempt;
        command->state = state;
        command->spent = spent;
        command->spent_known = state == CALL_OK || state == CALL_NOT_RUN;
        command->body = g_bytes_new("{}", 2);
        return command;
    }

    const program_t *program(const char *id) {
        return program_store_find(store, id);
    }
};

TEST_F(ProgramStore, CallsRunInOrder) {
    start("t:p", 1000);
    EXPECT_EQ(apply(intent("t:p", 2, 1, 10)), RUDDERWAY_ERROR_OUT_OF_ORDER);
    EXPECT_EQ(apply(intent("t:p", 1, 1, 10)), RUDDERWAY_ERROR_NONE);
    EXPECT_EQ(apply(intent("t:p", 2, 1, 10)), RUDDERWAY_ERROR_OUT_OF_ORDER);
    EXPECT_EQ(apply(result("t:p", 1, 1, CALL_OK, 5)), RUDDERWAY_ERROR_NONE);
    EXPECT_EQ(apply(intent("t:p", 2, 1, 10)), RUDDERWAY_ERROR_NONE);
}

TEST_F(ProgramStore, BudgetIsReservedAndNeverExceeded) {
    start("t:p", 100);
    EXPECT_EQ(apply(intent("t:p", 1, 1, 101)), RUDDERWAY_ERROR_BUDGET_EXCEEDED);
    EXPECT_EQ(apply(intent("t:p", 1, 1, 60)), RUDDERWAY_ERROR_NONE);
    EXPECT_EQ(program_budget_left(program("t:p")), 40u);
    apply(result("t:p", 1, 1, CALL_OK, 20));
    EXPECT_EQ(program_budget_left(program("t:p")), 80u);
    apply(intent("t:p", 2, 1, 50));
    apply(result("t:p", 2, 1, CALL_UNKNOWN, 0));
    EXPECT_EQ(program_budget_left(program("t:p")), 30u) << "an unknown outcome keeps its reserve";
}

TEST_F(ProgramStore, UnrepeatableCallHasOneIntent) {
    start("t:p", 1000);
    apply(intent("t:p", 1, 1, 10));
    EXPECT_EQ(apply(intent("t:p", 1, 2, 10)), RUDDERWAY_ERROR_CALL_RUNNING);
    EXPECT_EQ(apply(intent("t:p", 1, 1, 10)), RUDDERWAY_ERROR_CALL_RUNNING);
    command_t *again = intent("t:p", 1, 2, 10);
    again->previous_not_run = true;
    EXPECT_EQ(apply(again), RUDDERWAY_ERROR_NONE);
    EXPECT_EQ(apply(result("t:p", 1, 1, CALL_OK, 5)), RUDDERWAY_ERROR_CALL_MISMATCH)
        << "the outcome of an older attempt is dropped";
    apply(result("t:p", 1, 2, CALL_UNKNOWN, 0));
    EXPECT_EQ(apply(intent("t:p", 1, 3, 10)), RUDDERWAY_ERROR_CALL_RUNNING);
}

TEST_F(ProgramStore, NumberThatDidNotRunMayBeIssuedAgainAndBlocksTheNext) {
    start("t:p", 1000);
    apply(intent("t:p", 1, 1, 10));
    apply(result("t:p", 1, 1, CALL_NOT_RUN, 0));
    EXPECT_EQ(program("t:p")->spent, 0u);
    EXPECT_EQ(apply(intent("t:p", 2, 1, 10)), RUDDERWAY_ERROR_OUT_OF_ORDER);
    EXPECT_EQ(apply(intent("t:p", 1, 2, 10)), RUDDERWAY_ERROR_NONE);
}

/** Found by the simulator (all-faults, seed 52): the third attempt found no engine. */
TEST_F(ProgramStore, CallIsNotSaidNotToHaveRunAfterAnUnknownAttempt) {
    start("t:p", 1000);
    command_t *first = intent("t:p", 1, 1, 10);
    first->repeatable = true;
    apply(first);
    apply(intent("t:p", 1, 2, 10));
    apply(result("t:p", 1, 2, CALL_NOT_RUN, 0));
    EXPECT_EQ(program_call(program("t:p"), 1)->state, CALL_UNKNOWN);
    EXPECT_EQ(error_outcome(static_cast<error_code_t>(program_call(program("t:p"), 1)->error)),
              OUTCOME_UNKNOWN);
    EXPECT_EQ(program("t:p")->spent, 10u);
}

TEST_F(ProgramStore, SameNumberWithAnotherRequestIsRefused) {
    start("t:p", 1000);
    apply(intent("t:p", 1, 1, 10));
    apply(result("t:p", 1, 1, CALL_NOT_RUN, 0));
    command_t *other = intent("t:p", 1, 2, 10);
    other->digest = 77;
    EXPECT_EQ(apply(other), RUDDERWAY_ERROR_CALL_MISMATCH);
}

TEST_F(ProgramStore, LoopsAndTurnsAreLimited) {
    start("t:p", 1000, 3);
    for (uint32_t call = 1; call <= 3; call++) {
        command_t *command = intent("t:p", call, 1, 1);
        command->digest = 5;
        EXPECT_EQ(apply(command), call < 3 ? RUDDERWAY_ERROR_NONE : RUDDERWAY_ERROR_LOOP_DETECTED);
        apply(result("t:p", call, 1, CALL_OK, 1));
    }
    apply(intent("t:p", 3, 1, 1));
    apply(result("t:p", 3, 1, CALL_OK, 1));
    EXPECT_EQ(apply(intent("t:p", 4, 1, 1)), RUDDERWAY_ERROR_TURN_LIMIT);
}

TEST_F(ProgramStore, SubagentBudgetIsCarvedOutAndComesBackOnce) {
    start("t:p", 1000);
    command_t *carve = intent("t:p", 1, 1, 400);
    carve->call_kind = CALL_SUBAGENT;
    carve->start.tenant = g_strdup("t");
    carve->start.template_name = g_strdup("child");
    carve->start.limits = {10, 400, 60000, 60000, 100, 3};
    EXPECT_EQ(apply(carve), RUDDERWAY_ERROR_NONE);
    EXPECT_EQ(program("t:p")->spent, 400u);
    apply(intent("t:p~1", 1, 1, 100));
    apply(result("t:p~1", 1, 1, CALL_OK, 30));
    for (int i = 0; i < 2; i++)
        apply(command_new(COMMAND_END, "t:p~1", 4000));
    EXPECT_EQ(program("t:p")->spent, 30u);
}

TEST_F(ProgramStore, EndOfParentEndsChildrenAndHoldersStayUntilReleased) {
    start("t:p", 1000);
    apply(intent("t:p", 1, 1, 10));
    apply(result("t:p", 1, 1, CALL_OK, 1));
    command_t *carve = intent("t:p", 2, 1, 100);
    carve->call_kind = CALL_SUBAGENT;
    carve->start.limits.budget = 100;
    apply(carve);
    apply(command_new(COMMAND_END, "t:p", 4000));
    EXPECT_TRUE(program("t:p~2")->ended);
    EXPECT_EQ(program("t:p~2")->end_reason, END_BY_PARENT);
    apply(command_new(COMMAND_FORGET, "t:p", 5000));
    ASSERT_NE(program("t:p"), nullptr) << "an engine may still hold its cache";
    command_t *released = command_new(COMMAND_RELEASED, "t:p", 5000);
    released->backend = g_strdup("engine-1");
    apply(released);
    apply(command_new(COMMAND_FORGET, "t:p", 5000));
    EXPECT_EQ(program("t:p"), nullptr);
}

TEST_F(ProgramStore, SnapshotHoldsEverything) {
    start("t:p", 1000);
    apply(intent("t:p", 1, 1, 10));
    apply(result("t:p", 1, 1, CALL_OK, 7));
    apply(intent("t:p", 2, 1, 10));
    GBytes *snapshot = machine.save(machine.state);
    program_store_t *copy = program_store_new(listen, this);
    raft_state_machine_t copy_machine = program_store_machine(copy);
    ASSERT_TRUE(copy_machine.load(copy_machine.state, snapshot));
    const program_t *loaded = program_store_find(copy, "t:p");
    ASSERT_NE(loaded, nullptr);
    EXPECT_EQ(loaded->spent, 7u);
    EXPECT_EQ(loaded->reserved, 10u);
    EXPECT_EQ(loaded->calls->len, 2u);
    EXPECT_EQ(program_running_call(loaded)->number, 2u);
    EXPECT_EQ(program_store_bytes(copy), program_store_bytes(store));
    program_store_free(copy);
    g_bytes_unref(snapshot);
}

} // namespace
