#include <glib.h>

extern "C" {
#include "core/configuration/edit_log.h"
}

#include <gtest/gtest.h>

#include <string>

namespace {

const char template_text[] = R"({
  "name": "plan",
  "model": "base",
  "prompt": "Plans for {place}.",
  "limits": {"turns": 10, "budget_tokens": 1000, "wall_seconds": 60, "idle_seconds": 30,
             "output_tokens": 100}
})";

std::string tenant_text(const char *token = "00") {
    std::string digits;
    for (int i = 0; i < 32; i++)
        digits += token;
    return R"({"name": "town", "token_sha256": ")" + digits +
           R"(", "parameters": {"plan": {"place": "Concord"}}})";
}

class EditLog : public testing::Test {
  protected:
    edit_log_t *log = edit_log_new();
    GError *error = nullptr;

    ~EditLog() override {
        g_clear_error(&error);
        edit_log_free(log);
    }

    edit_verdict_t apply(uint64_t revision, const char *key, const std::string &text,
                         uint64_t base) {
        edit_t *edit = edit_new(("e" + std::to_string(revision)).c_str(), "me", 1);
        edit->revision = revision;
        edit_add(edit, key, text.c_str(), base);
        g_clear_error(&error);
        edit_verdict_t verdict = edit_log_apply(log, edit, &error);
        edit_free(edit);
        return verdict;
    }

    uint64_t revision() {
        return configuration_revision(edit_log_configuration(log));
    }
};

TEST_F(EditLog, AppliesInOrderAndNeverReverts) {
    EXPECT_EQ(apply(1, "template/plan", template_text, 0), EDIT_APPLIED);
    EXPECT_EQ(apply(3, "tenant/town", tenant_text(), 0), EDIT_GAP);
    EXPECT_EQ(apply(2, "tenant/town", tenant_text(), 0), EDIT_APPLIED);
    EXPECT_EQ(apply(1, "tenant/town", "", 2), EDIT_OLD);
    EXPECT_EQ(revision(), 2u);
    EXPECT_NE(configuration_tenant(edit_log_configuration(log), "town"), nullptr);
}

TEST_F(EditLog, ConcurrentEditsOfOneObjectConflict) {
    apply(1, "template/plan", template_text, 0);
    EXPECT_EQ(apply(2, "template/plan", template_text, 0), EDIT_REJECTED);
    EXPECT_EQ(error->code, RUDDERWAY_ERROR_EDIT_CONFLICT);
    EXPECT_NE(std::string(error->message).find("at revision 1"), std::string::npos);
}

TEST_F(EditLog, ErrorsNameLineAndKey) {
    std::string wrong = template_text;
    wrong.replace(wrong.find("1000"), 4, "-5");
    EXPECT_EQ(apply(1, "template/plan", wrong, 0), EDIT_REJECTED);
    EXPECT_EQ(error->code, RUDDERWAY_ERROR_EDIT_INVALID);
    EXPECT_NE(std::string(error->message).find("line 5"), std::string::npos) << error->message;
    EXPECT_NE(std::string(error->message).find("limits.budget_tokens"), std::string::npos);
    EXPECT_EQ(apply(1, "template/plan", "{", 0), EDIT_REJECTED);
    EXPECT_EQ(apply(1, "something/else", "{}", 0), EDIT_REJECTED);
    std::string unknown = template_text;
    unknown.replace(unknown.find("\"model\""), 7, "\"nodel\"");
    EXPECT_EQ(apply(1, "template/plan", unknown, 0), EDIT_REJECTED);
    EXPECT_EQ(revision(), 0u);
}

TEST_F(EditLog, ATenantMayNotReferToAMissingTemplate) {
    EXPECT_EQ(apply(1, "tenant/town", tenant_text(), 0), EDIT_REJECTED);
    apply(1, "template/plan", template_text, 0);
    apply(2, "tenant/town", tenant_text(), 0);
    EXPECT_EQ(apply(3, "template/plan", "", 1), EDIT_REJECTED) << "a tenant still refers to it";
}

TEST_F(EditLog, ALaggingNodeGetsEditsOrASnapshot) {
    apply(1, "template/plan", template_text, 0);
    apply(2, "tenant/town", tenant_text(), 0);
    for (uint64_t i = 3; i < 2500; i++)
        ASSERT_EQ(apply(i, "tenant/town", tenant_text(i % 2 == 0 ? "00" : "11"), i - 1),
                  EDIT_APPLIED);
    GPtrArray *edits = g_ptr_array_new_with_free_func((GDestroyNotify)edit_free);
    EXPECT_FALSE(edit_log_since(log, 2490, edits));
    EXPECT_EQ(edits->len, 9u);
    g_ptr_array_set_size(edits, 0);
    EXPECT_TRUE(edit_log_since(log, 5, edits));
    edit_log_t *other = edit_log_new();
    edit_t *snapshot = static_cast<edit_t *>(g_ptr_array_index(edits, 0));
    EXPECT_EQ(edit_log_load(other, snapshot, nullptr), EDIT_APPLIED);
    const configuration_object_t *object =
        configuration_object(edit_log_configuration(other), "template/plan");
    ASSERT_NE(object, nullptr);
    EXPECT_EQ(object->revision, 1u) << "an object keeps its own revision";
    EXPECT_EQ(configuration_revision(edit_log_configuration(other)), 2499u);
    EXPECT_EQ(edit_log_load(other, snapshot, nullptr), EDIT_OLD);
    edit_log_free(other);
    g_ptr_array_unref(edits);
}

TEST_F(EditLog, ParametersFillThePrompt) {
    apply(1, "template/plan", template_text, 0);
    apply(2, "tenant/town", tenant_text(), 0);
    configuration_t *configuration = edit_log_configuration(log);
    json_t *parameters =
        configuration_parameters(configuration_tenant(configuration, "town"), "plan", nullptr);
    char *prompt = configuration_prompt(configuration_template(configuration, "plan"), parameters);
    EXPECT_STREQ(prompt, "Plans for Concord.");
    g_free(prompt);
    json_decref(parameters);
}

TEST_F(EditLog, EditsRoundTripThroughJson) {
    edit_t *edit = edit_new("id", "me", 5);
    edit_add(edit, "template/plan", template_text, 3);
    json_t *value = edit_to_json(edit);
    edit_t *copy = edit_from_json(value, nullptr);
    ASSERT_NE(copy, nullptr);
    auto *change = static_cast<edit_change_t *>(g_ptr_array_index(copy->changes, 0));
    EXPECT_STREQ(change->text, template_text);
    EXPECT_EQ(change->base_revision, 3u);
    edit_free(copy);
    edit_free(edit);
    json_decref(value);
}

} // namespace
