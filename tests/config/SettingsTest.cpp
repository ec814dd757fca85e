#include "config/Settings.h"
#include "base/Text.h"

#include <fstream>

#include <Poco/TemporaryFile.h>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(Settings) {
  Poco::TemporaryFile File;

  Expected<Settings> read(const std::string &Text,
                          const std::vector<std::string> &Overrides = {}) {
    std::ofstream(File.path()) << Text;
    return readSettings(File.path(), Overrides);
  }
  std::string errorDetail(const std::string &Text) {
    const auto Read = read(Text);
    return Read ? std::string()
                : Read.error().Detail.substr(File.path().size());
  }
};

TEST(Settings, AppliesOverridesAfterTheFile) {
  const auto Read = read("node: a\nslots: 4\n", {"slots=9"});
  CHECK_TRUE(Read.has_value());
  STRCMP_EQUAL("a", Read->Node.c_str());
  UNSIGNED_LONGS_EQUAL(9, Read->Slots);
}

TEST(Settings, ReportsLineAndSuggestionForAnUnknownKey) {
  STRCMP_EQUAL(":2: unknown key \"slosts\"; did you mean \"slots\"?.",
               errorDetail("node: a\nslosts: 4\n").c_str());
}

TEST(Settings, RefusesNumbersOutOfRange) {
  STRCMP_EQUAL(":1: key \"slots\" must be a whole number from 1 to 4096.",
               errorDetail("slots: -1\n").c_str());
  STRCMP_EQUAL(":1: key \"slots\" must be a whole number from 1 to 4096.",
               errorDetail("slots: 99999999999999999999\n").c_str());
}

TEST(Settings, AreAllDocumented) {
  std::string Docs;
  CHECK_TRUE(
      readFile(std::string(SOURCE_FOLDER) + "/docs/CONFIGURATION.md", Docs));
  for (const SettingKey &Key : settingKeys()) {
    const std::string Row =
        "| `" + std::string(Key.Key) + "` | " + std::string(Key.Help) + " |";
    CHECK_TEXT(Docs.find(Row) != std::string::npos, Row.c_str());
  }
}

TEST(Settings, RefusesMalformedYaml) {
  CHECK_TRUE(!errorDetail("node: [\n").empty());
}

TEST(Settings, RefusesAnAgentWithoutItsRequiredKeys) {
  Settings Agent;
  Agent.Node = "n";
  const auto Checked = checkAgentSettings(Agent);
  CHECK_TRUE(!Checked.has_value());
  CHECK_TRUE(ResultCode::SettingsInvalid == Checked.error().Code);
}

TEST(Settings, RefusesAWorkerSilenceShorterThanIsolationPlusHeartbeat) {
  Settings Entry;
  Entry.Node = "n";
  Entry.StoreAddress = "127.0.0.1:1";
  CHECK_TRUE(checkEntrySettings(Entry).has_value());
  Entry.WorkerSilenceMs = Entry.IsolationMs;
  CHECK_TRUE(!checkEntrySettings(Entry).has_value());
}
