#include "app/settings.h"

#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <cstdio>
#include <fstream>

#include "app/options.h"
#include "wire/job_json.h"
#include "wire/worker_json.h"

namespace oxbow {
namespace {

constexpr const char* kGood = R"({
  "host_name": "a", "site": "north", "public_addr": "10.0.0.1:8080",
  "back": "10.0.0.1:8081", "new_field": 1,
  "known": [{"host_name": "b", "site": "south", "address": "10.0.0.2:8081"}],
  "outside": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
  "cluster": {"count": 2, "zones": ["north", "south"],
    "teams": [{"name": "t", "cpus": 0.0, "cpus_max": 8.0}],
    "workers": {"report_s": 2.0, "lease_s": 12.0},
    "state": {"rps": 100.0, "txn_ops": 8}, "cloud": {"rps": 4.0},
    "quota": {"cpu": 0.08, "mem_mb": 56.0, "max_sockets": 700}}})";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(Settings, AreReadAndUnknownFieldsIgnored) {
  Settings s;
  EXPECT_EQ(app::ParseSettings(kGood, &s), "");
  EXPECT_EQ(s.node, "a");
  EXPECT_EQ(s.peers.size(), 1U);
  EXPECT_EQ(s.workers.lease_seconds, 12);
  EXPECT_EQ(s.store.txn_ops, 8);
  EXPECT_EQ(s.teams[0].cpus_max, 8);
}

TEST(Settings, ABadValueIsNamed) {
  const std::vector<std::array<std::string, 3>> bad = {
      {"\"host_name\": \"a\"", "\"host_name\": 3", "host_name"},
      {"10.0.0.1:8080", "nowhere", "public_addr"},
      {"10.0.0.2:8081", "10.0.0.2", "address"},
      {"\"lease_s\": 12.0", "\"lease_s\": -1", "lease_s"},
      {"\"txn_ops\": 8", "\"txn_ops\": \"x\"", "txn_ops"},
      {"\"zones\": [\"north\", \"south\"]", "\"zones\": 1", "zones"},
      {"\"outside\"", "\"inside\"", "outside"},
  };
  for (const auto& [from, to, field] : bad) {
    Settings s;
    const std::string error = app::ParseSettings(Replace(kGood, from, to), &s);
    EXPECT_NE(error.find(field), std::string::npos) << error;
  }
  Settings s;
  EXPECT_NE(app::ParseSettings("{", &s), "");
}

TEST(Settings, TheSmallerOfTheLimitsNowAndNextHold) {
  const std::string next =
      Replace(kGood, "\"txn_ops\": 8",
              R"("txn_ops": 8, "value_kb": 8, "write_rps": 100,
         "next": {"value_kb": 2, "txn_ops": 5, "write_rps": 70, "rps": 300})");
  Settings s;
  ASSERT_EQ(app::ParseSettings(next, &s), "");
  EXPECT_EQ(s.store.txn_ops, 5);
  EXPECT_EQ(s.store.value_kb, 2);
  EXPECT_EQ(s.store.write_rps, 70);
  EXPECT_EQ(s.store.rps, 100);
  // Values that are already stored may have been written under the larger
  // limit.
  EXPECT_EQ(s.store.stored_value_kb, 8);
  for (const auto& [from, to, field] : std::vector<std::array<std::string, 3>>{
           {"\"txn_ops\": 5", "\"txn_ops\": 0", "next, txn_ops"},
           {"\"value_kb\": 2", "\"value_kb\": \"2\"", "next, value_kb"},
           {"\"next\": {", "\"next\": 3, \"x\": {", "next"}}) {
    Settings bad;
    const std::string error = app::ParseSettings(Replace(next, from, to), &bad);
    EXPECT_EQ(error.rfind(field, 0), 0U) << error;
  }
}

TEST(Tuning, IsReadFromTheOperatorsFile) {
  const std::string path = testing::TempDir() + "tuning.conf";
  std::ofstream(path) << "placement { fetch_weight = 2.5 }\n"
                         "machines { idle_return_leases = 3 }\n";
  Tuning t;
  EXPECT_EQ(app::LoadTuning(path, &t), "");
  EXPECT_EQ(t.fetch_weight, 2.5);
  EXPECT_EQ(t.idle_return_leases, 3);
  EXPECT_EQ(t.spread_weight, Tuning().spread_weight);
  std::ofstream(path) << "placement { fetch_weight = -1 }\n";
  EXPECT_NE(app::LoadTuning(path, &t).find("fetch_weight"), std::string::npos);
  std::ofstream(path) << "placement { weight_of_feathers = 1 }\n";
  EXPECT_NE(app::LoadTuning(path, &t), "");
  std::remove(path.c_str());
  EXPECT_NE(app::LoadTuning(path, &t), "");
}

constexpr const char* kJob = R"({"id":"job-000412","duty":"train","crew":"t",
  "form":"ensemble","standing":"urgent","legs":16,"cores":8.0,
  "accelerators":1.0,"memory_gb":64.0,"build":"img-07","size_gb":6.2,
  "fleets":["g8"],"yard":null,"together":true,"scatter":false,"loaner":true,
  "reckon_s":240.0,"bookmark_s":30.0,"stow_s":4.0,"due_s":900.0,
  "waits_on":["job-000398","job-000405"]})";

std::string Check(const std::string& text) {
  rapidjson::Document doc;
  doc.Parse(text.c_str());
  JobSpec spec;
  return doc.HasParseError() ? "json" : wire::ReadSpec(doc, &spec);
}

TEST(JobDescriptions, AreCheckedFieldByField) {
  EXPECT_EQ(Check(kJob), "");
  const std::vector<std::pair<std::string, std::string>> bad = {
      {"job-000412", "job-12"},
      {"job-000412", "run-000412"},
      {"\"legs\":16", "\"legs\":0"},
      {"\"legs\":16", "\"legs\":100001"},
      {"\"legs\":16", "\"legs\":1.5"},
      {"\"cores\":8.0", "\"cores\":-1"},
      {"\"cores\":8.0", "\"cores\":\"8\""},
      {"ensemble", "choir"},
      {"urgent", "whenever"},
      {"\"crew\":\"t\",", ""},
      {"\"together\":true", "\"together\":1"},
      {"[\"g8\"]", "\"g8\""},
      {"\"due_s\":900.0", "\"due_s\":-3"},
      {"[\"job-000398\",\"job-000405\"]", "\"job-000398\""},
      {"[\"job-000398\",\"job-000405\"]", "[398]"},
      {"job-000398", "398"},
      {"job-000398", "job-000412"},  // depends on itself
      {"job-000398", "job-000405"},  // names a dependency twice
  };
  for (const auto& [from, to] : bad) {
    EXPECT_NE(Check(Replace(kJob, from, to)), "") << to;
  }
}

TEST(JobDescriptions, SurviveTheirRecord) {
  rapidjson::Document doc;
  doc.Parse(kJob);
  JobSpec spec;
  ASSERT_EQ(wire::ReadSpec(doc, &spec), "");
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  wire::WriteSpec(w, spec);
  rapidjson::Document again;
  again.Parse(buffer.GetString());
  JobSpec copy;
  ASSERT_EQ(wire::ReadSpec(again, &copy), "");
  EXPECT_EQ(copy.tasks, 16U);
  EXPECT_EQ(copy.types, spec.types);
  EXPECT_FALSE(copy.zone);
  EXPECT_EQ(copy.deadline_seconds, 900);
  EXPECT_EQ(copy.dependencies, spec.dependencies);
  EXPECT_EQ(copy.dependencies.size(), 2U);
}

TEST(JobDescriptions, WhatCanNeverRunIsSaid) {
  std::map<std::string, MachineType> types;
  types["g8"] = {"g8", {96, 8, 768}, 200, 1, 12, 4, 45, {"a", "b"}};
  const std::vector<TeamQuota> teams = {{"t", 0, 100, 0, 0}};
  JobSpec spec;
  spec.team = "t";
  spec.tasks = 4;
  spec.need = {30, 0, 10};
  spec.kind = JobKind::kArray;
  EXPECT_EQ(wire::WhyImpossible(spec, types, teams), "");
  // A gang needs room for all its tasks at once.
  spec.kind = JobKind::kGang;
  EXPECT_NE(wire::WhyImpossible(spec, types, teams), "");
  spec.kind = JobKind::kArray;
  spec.need.cpus = 97;
  EXPECT_NE(wire::WhyImpossible(spec, types, teams), "");
  spec.need.cpus = 1;
  spec.zone = "c";
  EXPECT_NE(wire::WhyImpossible(spec, types, teams), "");
  spec.zone.reset();
  spec.team = "u";
  EXPECT_NE(wire::WhyImpossible(spec, types, teams), "");
}

TEST(Reports, AreReadWholeOrNotAtAll) {
  const std::string good =
      R"({"host":"n-1","endpoint":"1.2.3.4:5","fleet":"g8","yard":"a",
      "loaner":true,"tenure":1,"tally":88,"fence":41,"warning_s":null,
      "legs":[{"leg":"job-000412/3","try_no":2,"status":"running"},
              {"leg":"job-000398/0","try_no":1,"status":"exited",
               "exit_reason":"done"}]})";
  Heartbeat heartbeat;
  ASSERT_TRUE(wire::ParseReport(good, &heartbeat));
  EXPECT_EQ(heartbeat.tasks.size(), 2U);
  EXPECT_EQ(heartbeat.tasks[0].task, 3U);
  EXPECT_EQ(heartbeat.tasks[1].reason, ExitReason::kDone);
  EXPECT_FALSE(heartbeat.notice_seconds);
  // If a report with an unreadable task were accepted, the task would be taken
  // for one that the worker no longer runs.
  Heartbeat bad;
  EXPECT_FALSE(wire::ParseReport(Replace(good, "job-000412/3", "job"), &bad));
  EXPECT_FALSE(wire::ParseReport("[]", &bad));
}

}  // namespace
}  // namespace oxbow
