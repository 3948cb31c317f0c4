// Guards the compatibility of records and messages with earlier versions, byte
// by byte. The files in tests/data were written by earlier versions; this
// version must read them and write the same bytes again. The keys are spelled
// out here on purpose, since they are part of the stored data.
//
// OXBOW_WRITE_TEST_DATA=1 writes missing files, for a new kind of record or
// message. It never changes an existing file.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clients/peer.h"
#include "wire/json.h"
#include "wire/records.h"
#include "wire/worker_json.h"

namespace oxbow::test {
namespace {

namespace fs = std::filesystem;

fs::path DataPath(const std::string& name) {
  return fs::path(OXBOW_TEST_DATA) / name;
}

// Returns the stored bytes. Writes `written` first if the file is missing and
// OXBOW_WRITE_TEST_DATA is set.
std::string StoredBytes(const std::string& name, const std::string& written) {
  const fs::path path = DataPath(name);
  if (std::getenv("OXBOW_WRITE_TEST_DATA") != nullptr && !fs::exists(path)) {
    fs::create_directories(path.parent_path());
    std::ofstream(path, std::ios::binary) << written;
  }
  std::ifstream file(path, std::ios::binary);
  EXPECT_TRUE(file) << path << " is missing";
  return {std::istreambuf_iterator<char>(file), {}};
}

JobSpec FullJob(JobKind kind, Priority priority) {
  JobSpec spec;
  spec.id = "job-000007";
  spec.job_class = "training \"x\" \xc3\xa9";
  spec.team = "research";
  spec.kind = kind;
  spec.priority = priority;
  spec.tasks = 12;
  spec.need = {1.5, 2, 0.1};
  spec.image = "registry/img:1";
  spec.image_gb = 3.25;
  spec.types = {{"large", "small"}};
  spec.zone = "north";
  spec.one_zone = true;
  spec.spread = true;
  spec.spot = true;
  spec.estimate_seconds = 3600;
  spec.checkpoint_seconds = 60;
  spec.save_seconds = 2.5;
  spec.deadline_seconds = 86400.5;
  spec.dependencies = {"job-000001", "job-000002"};
  return spec;
}

JobSpec PlainJob() {
  JobSpec spec;
  spec.id = "job-123456789";
  spec.job_class = "c";
  spec.team = "t";
  spec.image = "img";
  return spec;
}

RolloutRecord FullRollout(RolloutStep step, RolloutRequest request) {
  RolloutSpec spec;
  spec.id = "ro-web.1";
  spec.from = "job-000001";
  spec.to = "job-000002";
  spec.floor = 3;
  spec.surge = 2;
  spec.start_seconds = 30;
  spec.bake_seconds = 90.5;
  spec.watch_seconds = 120;
  spec.check.port = 8080;
  spec.check.port_per_task = true;
  spec.check.path = "/health";
  spec.check.interval_seconds = 0.5;
  spec.check.timeout_seconds = 0.25;
  spec.check.good_in_row = 2;
  spec.check.bad_in_row = 4;
  spec.check.expression = "status == 200";
  spec.check.slow_ratio = 1.5;
  RolloutRecord record;
  record.spec = std::make_shared<RolloutSpec>(spec);
  record.step = step;
  record.paused_in = RolloutStep::kBaking;
  record.request = request;
  record.reason = "a reason";
  record.declared_wall = 1.7e9;
  return record;
}

struct StoredRecord {
  std::string file;  // without its extension
  std::string key;
  Record record;
};

std::vector<StoredRecord> JobRecords() {
  std::vector<StoredRecord> all;
  const auto job = [](const JobSpec& spec) {
    return std::make_shared<JobSpec>(spec);
  };
  const std::vector<std::pair<std::string, JobKind>> kinds = {
      {"array", JobKind::kArray},
      {"gang", JobKind::kGang},
      {"service", JobKind::kService}};
  for (const auto& [name, kind] : kinds) {
    all.push_back({"job-" + name, "ob/live/j/job-000007",
                   JobRecord{job(FullJob(kind, Priority::kNormal)), 1.7e9,
                             TerminalState::kNone, 0, 0}});
  }
  const std::vector<std::pair<std::string, Priority>> priorities = {
      {"production", Priority::kProduction},
      {"high", Priority::kHigh},
      {"low", Priority::kLow}};
  for (const auto& [name, priority] : priorities) {
    all.push_back({"job-" + name, "ob/live/j/job-000007",
                   JobRecord{job(FullJob(JobKind::kArray, priority)), 1.7e9,
                             TerminalState::kNone, 0, 1.75e9}});
  }
  all.push_back({"job-plain", "ob/live/j/job-123456789",
                 JobRecord{job(PlainJob()), 1.5, TerminalState::kNone, 0, 0}});
  all.push_back({"job-done", "ob/live/j/job-123456789",
                 JobRecord{job(PlainJob()), 1.5, TerminalState::kDone, 0, 0}});
  all.push_back(
      {"job-aborted", "ob/live/j/job-123456789",
       JobRecord{job(PlainJob()), 1.5, TerminalState::kAborted, 0, 0}});
  all.push_back(
      {"waiting", "ob/live/w/job-000007",
       WaitingRecord{job(FullJob(JobKind::kGang, Priority::kHigh)), 1.7e9, 0}});
  all.push_back({"final-done", "ob/final/job-000007",
                 TerminalRecord{TerminalState::kDone, 12, 0}});
  all.push_back({"final-aborted", "ob/final/job-000007",
                 TerminalRecord{TerminalState::kAborted, 0, 0}});
  return all;
}

std::vector<StoredRecord> RolloutRecords() {
  std::vector<StoredRecord> all;
  const std::vector<std::pair<std::string, RolloutStep>> steps = {
      {"declared", RolloutStep::kDeclared},
      {"advancing", RolloutStep::kAdvancing},
      {"baking", RolloutStep::kBaking},
      {"watching", RolloutStep::kWatching},
      {"paused", RolloutStep::kPaused},
      {"rolling-back", RolloutStep::kRollingBack}};
  for (const auto& [name, step] : steps) {
    all.push_back({"rollout-" + name, "ob/live/o/ro-web.1",
                   FullRollout(step, RolloutRequest::kNone)});
  }
  const std::vector<std::pair<std::string, RolloutStep>> ends = {
      {"done", RolloutStep::kDone},
      {"rolled-back", RolloutStep::kRolledBack},
      {"failed", RolloutStep::kFailed}};
  for (const auto& [name, step] : ends) {
    all.push_back({"rollout-" + name, "ob/ended/o/ro-web.1",
                   FullRollout(step, RolloutRequest::kNone)});
  }
  const std::vector<std::pair<std::string, RolloutRequest>> wishes = {
      {"pause", RolloutRequest::kPause},
      {"resume", RolloutRequest::kResume},
      {"abort", RolloutRequest::kAbort}};
  for (const auto& [name, request] : wishes) {
    all.push_back({"rollout-wish-" + name, "ob/live/o/ro-web.1",
                   FullRollout(RolloutStep::kAdvancing, request)});
  }
  return all;
}

std::vector<StoredRecord> OtherRecords() {
  StoreEpoch epoch;
  epoch.number = 3;
  epoch.id = "3f2a";
  epoch.base = uint64_t{3} << 30;
  epoch.whole = false;
  epoch.rebuilt = false;
  epoch.opened_wall = 1.7e9;
  OperatorRecord tiers{
      "tiers", R"({"tiers":["a \" b"]})", 4, "someone", "why", 1.7e9, false, 0};
  OperatorRecord withdrawn = tiers;
  withdrawn.withdrawn = true;
  return {
      {"leader", "ob/live/leader", LeaderRecord{"a", "17-4", 0, false}},
      {"leader-renews-only", "ob/live/leader",
       LeaderRecord{"a", "17-4", 0, true}},
      {"machine", "ob/live/m/n-1001",
       MachineRecord{"large", "north", true, "10.0.0.1:9000", 1.7e9, 0}},
      {"rental", "ob/live/r/r-17",
       ScaleOutRecord{"small", "south", false, 4, 0}},
      {"epoch", "ob/live/epoch", epoch},
      {"epoch-mark", "ob/live/e/3f2a", EpochMark{3, 0}},
      {"operator", "ob/live/p/tiers", tiers},
      {"operator-withdrawn", "ob/live/p/tiers", withdrawn},
      {"operator-past", "ob/ended/p/tiers/4", tiers},
      {"version", "ob/live/v/a", VersionRecord{5, 0}},
  };
}

// Expects that the record is encoded to its stored bytes and that these are
// decoded to the same record.
void ExpectSameBytes(const StoredRecord& stored) {
  SCOPED_TRACE(stored.file);
  const std::string bytes = StoredBytes("records/" + stored.file + ".json",
                                        wire::EncodeRecord(stored.record));
  EXPECT_EQ(wire::EncodeRecord(stored.record), bytes);
  rapidjson::Document document;
  ASSERT_TRUE(json::Parse(bytes, &document));
  Record read;
  ASSERT_TRUE(wire::DecodeRecord(stored.key, document, &read));
  EXPECT_EQ(read.index(), stored.record.index());
  EXPECT_EQ(wire::EncodeRecord(read), bytes);
}

TEST(StoredData, RecordsAreReadAndWrittenAsBefore) {
  size_t count = 0;
  for (const auto& records : {JobRecords(), RolloutRecords(), OtherRecords()}) {
    for (const StoredRecord& record : records) ExpectSameBytes(record);
    count += records.size();
  }
  // A data file that no test reads would not guard anything.
  const fs::directory_iterator files(DataPath("records"));
  EXPECT_EQ(static_cast<size_t>(std::distance(begin(files), end(files))),
            count);
}

TEST(StoredData, AFenceIsWrittenAsBeforeAndNeverRead) {
  EXPECT_EQ(wire::EncodeRecord(WriteFence{9}), R"({"number":9})");
}

TEST(StoredData, RepliesToWorkersAreWrittenAsBefore) {
  HeartbeatResponse reply;
  reply.token = 77;
  reply.commands = {{CommandKind::kStart, "job-000001", 3, 9, 0},
                    {CommandKind::kStop, "job-000002", 0, 8, 2.5},
                    {CommandKind::kForget, "job-000003", 1, 7, 0}};
  const std::string written = wire::EncodeReply(reply);
  EXPECT_EQ(written, StoredBytes("reply.json", written));
}

std::string HexOf(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    text += fmt::format("{:02x}", static_cast<uint8_t>(byte));
  }
  return text;
}

std::string BytesOf(const std::string& hex) {
  std::string bytes;
  for (size_t at = 0; at + 1 < hex.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(at, 2), nullptr, 16));
  }
  return bytes;
}

// Uses numbers instead of enum names, since the numbers are what is sent.
clients::PeerMessage MessageOfKind(int kind) {
  constexpr int kAnswers = 4;
  constexpr int kRoles = 4;
  clients::PeerMessage message;
  message.kind = static_cast<clients::PeerKind>(kind);
  message.answer = static_cast<clients::PeerAnswer>(kind % kAnswers);
  message.role = static_cast<LeaderRole>(kind % kRoles);
  message.request = uint64_t{1} << 40;
  message.mod_revision = 12345678901;
  message.node = "node-a";
  message.job_id = "job-000007";
  message.text = std::string("text\0with any byte\xff", 19);
  message.done = 3;
  message.running = 70'000;
  message.term = 42;
  return message;
}

TEST(StoredData, MessagesBetweenControllersAreReadAndWrittenAsBefore) {
  constexpr int kKinds = 23;
  ASSERT_EQ(static_cast<int>(clients::PeerKind::kRelayChain), kKinds - 1);
  for (int kind = 0; kind < kKinds; ++kind) {
    SCOPED_TRACE(kind);
    const std::string written = clients::EncodeFrame(MessageOfKind(kind));
    const std::string hex =
        StoredBytes(fmt::format("frames/{:02}.hex", kind), HexOf(written));
    EXPECT_EQ(HexOf(written), hex);
    clients::FrameReader reader;
    reader.Append(BytesOf(hex));
    clients::PeerMessage read;
    ASSERT_EQ(reader.Next(&read), clients::FrameReader::Result::kMessage);
    EXPECT_EQ(HexOf(clients::EncodeFrame(read)), hex);
  }
}

}  // namespace
}  // namespace oxbow::test
