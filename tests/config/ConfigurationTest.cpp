#include "config/Configuration.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

const char *const Digest =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

wire::ConfigurationBundle
makeBundle(const std::vector<std::pair<std::string, std::string>> &Files) {
  wire::ConfigurationBundle Bundle;
  for (const auto &[Name, Content] : Files) {
    auto *File = Bundle.add_files();
    File->set_name(Name);
    File->set_content(Content);
  }
  return Bundle;
}

std::string operatorsSection() {
  return std::string("operators:\n  yuki: {token: ") + Digest + "}\n";
}

std::string faultsText(const ConfigurationReport &Report) {
  std::string Text;
  for (const auto &Fault : Report.Errors)
    Text += Fault.str() + "\n";
  return Text;
}

} // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, MergesFilesInTheOrderOfTheirNames) {
  const auto Report = readConfiguration(makeBundle(
      {{"20.yaml", "workspaces:\n  shed: {max_requests: 7}\n"},
       {"10.yaml", operatorsSection() + "workspaces:\n  shed: {max_requests: "
                                        "5, max_queued_jobs: 3}\n"}}));
  STRCMP_EQUAL("", faultsText(Report).c_str());
  const auto &Shed = Report.Result.Workspaces.at("shed");
  UNSIGNED_LONGS_EQUAL(7, Shed.MaxRequests);
  UNSIGNED_LONGS_EQUAL(3, Shed.MaxQueuedJobs);
}

TEST(Configuration, ReportsEveryFaultWithFileLineAndKey) {
  const auto Report = readConfiguration(
      makeBundle({{"10.yaml", operatorsSection() + "workspaces:\n  shed:\n"
                                                   "    max_requets: 5\n"
                                                   "    max_queued_jobs: -3\n"},
                  {"20.yaml", "servces: {}\n"}}));
  STRCMP_EQUAL("10.yaml:5: workspaces.shed.max_requets: unknown key; did you "
               "mean \"max_requests\"?\n"
               "10.yaml:6: workspaces.shed.max_queued_jobs: must be a whole "
               "number from 1 to 100000\n"
               "20.yaml:1: servces: unknown key; did you mean "
               "\"services\"?\n",
               faultsText(Report).c_str());
}

TEST(Configuration, ReportsTheLineOfMalformedYaml) {
  const auto Report =
      readConfiguration(makeBundle({{"10.yaml", "operators: {yuki\nx: ]\n"}}));
  CHECK_TRUE(!Report.Errors.empty());
  STRCMP_EQUAL("10.yaml", Report.Errors[0].File.c_str());
  CHECK_TRUE(Report.Errors[0].Line > 0);
}

TEST(Configuration, RefusesAConfigurationWithoutOperators) {
  const auto Report = readConfiguration(makeBundle({{"10.yaml", ""}}));
  LONGS_EQUAL(1, Report.Errors.size());
  STRCMP_EQUAL("operators", Report.Errors[0].Key.c_str());
}

TEST(Configuration, ReadsGuaranteedShapes) {
  const auto Report = readConfiguration(makeBundle(
      {{"10.yaml", operatorsSection() +
                       "workspaces:\n  shed:\n    guarantee:\n"
                       "      - {count: 2, accelerators: 16, adjacency: "
                       "rack}\n"}}));
  STRCMP_EQUAL("", faultsText(Report).c_str());
  const auto &Shapes = Report.Result.Workspaces.at("shed").Guarantee;
  LONGS_EQUAL(1, Shapes.size());
  UNSIGNED_LONGS_EQUAL(2, Shapes[0].Count);
  UNSIGNED_LONGS_EQUAL(16, Shapes[0].Accelerators);
  CHECK_TRUE(Shapes[0].Near == Adjacency::SameRack);
}

TEST(Configuration, LoadsTheSamplesOfBothDeployments) {
  for (const char *Deployment : {"kumasaka", "skoljka"}) {
    const auto Files = readConfigurationFolder(std::string(SOURCE_FOLDER) +
                                               "/samples/" + Deployment);
    CHECK_TRUE(Files.has_value());
    wire::ConfigurationBundle Bundle;
    for (const auto &File : *Files)
      *Bundle.add_files() = File;
    const auto Report = readConfiguration(Bundle);
    STRCMP_EQUAL("", faultsText(Report).c_str());
    LONGS_EQUAL(4, Report.Result.Workspaces.size());
  }
}

TEST(Configuration, ListsTheFilesThatDiffer) {
  const auto Names =
      changedFiles(makeBundle({{"a", "1"}, {"b", "2"}, {"c", "3"}}),
                   makeBundle({{"a", "1"}, {"b", "x"}, {"d", "4"}}));
  LONGS_EQUAL(3, Names.size());
  STRCMP_EQUAL("b", Names[0].c_str());
  STRCMP_EQUAL("d", Names[1].c_str());
  STRCMP_EQUAL("c", Names[2].c_str());
}
