// Records that were stored when the key-value store accepted larger values than
// it accepts now.

#include <gtest/gtest.h>

#include "app/record_history.h"
#include "wire/records.h"

namespace oxbow {
namespace {

constexpr size_t kMaxValueBytes = 2048;

// An earlier version that exceeds the limit is stored in several values, and
// reading joins them again.
TEST(SmallerLimits, AnEarlierVersionIsKeptInPiecesAndReadWhole) {
  OperatorRecord record;
  record.kind = "tiers";
  record.version = 7;
  record.author = "ops";
  record.note = "grown";
  for (int i = 0; record.text.size() < 7000; ++i) {
    record.text += "\"t\u00e9" + std::to_string(i) + "\\\"\"";
  }
  const auto pieces = app::PiecesOf("tiers", record, kMaxValueBytes);
  EXPECT_GT(pieces.size(), 3U);
  std::vector<clients::KeyValue> stored;
  for (const auto& [key, piece] : pieces) {
    EXPECT_LE(wire::EncodeRecord(piece).size(), kMaxValueBytes);
    EXPECT_TRUE(key.starts_with(app::PiecesPrefix("tiers", 7))) << key;
    EXPECT_TRUE(stored.empty() || stored.back().key < key);
    stored.push_back({key, piece, 1, 0});
  }
  const auto joined = app::JoinPieces(stored);
  ASSERT_EQ(joined.size(), 1U);
  EXPECT_EQ(joined[0].text, record.text);
  record.text = "{}";
  EXPECT_EQ(app::PiecesOf("tiers", record, kMaxValueBytes).size(), 1U);
}

// The record of an ended job has to be written even if the job's own record
// exceeds the limit.
TEST(SmallerLimits, ALargeJobCanStillEnd) {
  auto spec = std::make_shared<JobSpec>();
  spec->id = "job-000001";
  spec->team = "t";
  spec->job_class = std::string(500, 'c');
  for (int i = 0; spec->image.size() < 3000; ++i) spec->image += "\u00e9";
  spec->types = std::vector<std::string>(200, "a-machine-type");
  const JobRecord ended = TerminatedRecord({spec, 0, TerminalState::kNone, 0},
                                           TerminalState::kDone, true);
  EXPECT_LE(wire::EncodeRecord(ended).size(), kMaxValueBytes);
  rapidjson::Document doc;
  doc.Parse(wire::EncodeRecord(ended).c_str());
  Record read;
  ASSERT_TRUE(wire::DecodeRecord(keys::Of(keys::kJob, spec->id), doc, &read));
  EXPECT_EQ(std::get<JobRecord>(read).terminal_state, TerminalState::kDone);
}

}  // namespace
}  // namespace oxbow
