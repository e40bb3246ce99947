#include <glib.h>

extern "C" {
#include "common/error.h"
#include "node/settings.h"
}

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace {

const char *const minimum[][2] = {
    {"node.name", "n1"},
    {"node.zone", "a"},
    {"http.listen", "127.0.0.1:0"},
    {"peer.listen", "127.0.0.1:0"},
    {"peer.cluster_key", "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"},
    {"admin.token_sha256", "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"},
    {"platform.key_value", "127.0.0.1:1"},
    {"platform.machine_list", "127.0.0.1:2"},
};

class Settings : public testing::Test {
  protected:
    std::vector<settings_override_t> overrides;
    GPtrArray *mistakes = g_ptr_array_new_with_free_func((GDestroyNotify)settings_mistake_free);

    Settings() {
        for (const auto &row : minimum)
            overrides.push_back({row[0], row[1]});
    }
    ~Settings() override {
        g_ptr_array_unref(mistakes);
    }

    void read(const char *file = nullptr) {
        settings_free(settings_read(file, overrides.data(), overrides.size(), mistakes));
    }
    std::string mistake(guint i) {
        auto *found = static_cast<settings_mistake_t *>(g_ptr_array_index(mistakes, i));
        return std::string(found->source) + " " + found->key + " " + found->value;
    }
};

TEST_F(Settings, MinimumIsEnough) {
    read();
    EXPECT_EQ(mistakes->len, 0u);
}

TEST_F(Settings, AllMistakesAreFoundAtOnce) {
    overrides[0].value = "no spaces allowed";
    overrides.push_back({"cluster.voters", "9"});
    overrides.push_back({"http.listen", "localhost:80"});
    overrides.push_back({"no.such", "1"});
    overrides.push_back({"routing.policy", "best"});
    read();
    EXPECT_EQ(mistakes->len, 5u);
    EXPECT_EQ(mistake(0), "command line no.such (unknown key)");
}

TEST_F(Settings, SecretsAreNotRepeated) {
    overrides[4].value = "secret";
    read();
    ASSERT_EQ(mistakes->len, 1u);
    EXPECT_EQ(mistake(0).find("secret"), std::string::npos);
}

TEST_F(Settings, FileIsReadAndOverridden) {
    std::string name = testing::TempDir() + "settings_test.ini";
    std::ofstream(name) << "[cluster]\nvoters=3\npartitons=4\n[http]\nthreads=0\n";
    overrides.push_back({"cluster.voters", "1"});
    read(name.c_str());
    ASSERT_EQ(mistakes->len, 2u);
    EXPECT_EQ(mistake(0), name + " [cluster] cluster.partitons (unknown key)");
    EXPECT_EQ(mistake(1), name + " [http] http.threads 0");
    std::remove(name.c_str());
}

std::string read_document(const char *name) {
    std::ifstream file(std::string(SOURCE_ROOT) + "/docs/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST(Documents, EveryEventIsInTheCatalogueAndNoOther) {
    std::set<std::string> in_code;
#define EVENT(number, name, level, fields)                                                         \
    in_code.insert("| E" #number " | " #name " | " #level " |");
#include "common/events.def"
#undef EVENT
    std::stringstream lines(read_document("EVENTS.md"));
    std::set<std::string> in_document;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("| E", 0) != 0)
            continue;
        size_t end = 0;
        for (int cell = 0; cell < 3; cell++)
            end = line.find('|', end + 1);
        in_document.insert(line.substr(0, end + 1));
    }
    EXPECT_EQ(in_code, in_document);
}

TEST(Documents, EverySettingIsDescribed) {
    std::string document = read_document("SETTINGS.md");
    char *text = nullptr;
    size_t length = 0;
    FILE *stream = open_memstream(&text, &length);
    settings_describe(stream);
    fclose(stream);
    std::stringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::string key = line.substr(0, line.find('\t'));
        EXPECT_NE(document.find("`" + key + "`"), std::string::npos) << key;
    }
    free(text);
}

TEST(Documents, EveryErrorIsInTheApiPage) {
    std::string document = read_document("API.md");
    for (unsigned code = 1; code < RUDDERWAY_ERROR_COUNT; code++) {
        const char *name = error_name(static_cast<error_code_t>(code));
        EXPECT_NE(document.find("`" + std::string(name) + "`"), std::string::npos) << name;
    }
}

} // namespace
