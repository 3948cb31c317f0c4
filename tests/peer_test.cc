#include "clients/peer.h"

#include <gtest/gtest.h>

#include <random>

namespace oxbow::clients {
namespace {

PeerMessage Sample() {
  PeerMessage message;
  message.kind = PeerKind::kPoll;
  message.request = 7;
  message.node = "a";
  message.job_id = "job-000001";
  message.done = 3;
  return message;
}

TEST(PeerFrames, ArriveInPiecesOfAnySize) {
  const std::string frame = EncodeFrame(Sample());
  const std::string two = frame + frame;
  for (size_t split = 0; split <= two.size(); ++split) {
    FrameReader reader;
    PeerMessage message;
    int seen = 0;
    for (const auto& part : {two.substr(0, split), two.substr(split)}) {
      reader.Append(part);
      while (reader.Next(&message) == FrameReader::Result::kMessage) {
        ++seen;
        EXPECT_EQ(message.job_id, "job-000001");
        EXPECT_EQ(message.done, 3U);
      }
    }
    EXPECT_EQ(seen, 2);
  }
}

TEST(PeerFrames, OfAnotherVersionOrLengthAreRefused) {
  PeerMessage message;
  std::string frame = EncodeFrame(Sample());
  frame[4] = static_cast<char>(kPeerVersion + 1);
  FrameReader version;
  version.Append(frame);
  EXPECT_EQ(version.Next(&message), FrameReader::Result::kBroken);
  frame = EncodeFrame(Sample());
  frame[3] = 0x7f;
  FrameReader length;
  length.Append(frame);
  EXPECT_EQ(length.Next(&message), FrameReader::Result::kBroken);
}

TEST(PeerFrames, GarbageInsideDoesNoHarm) {
  std::mt19937 random(3);
  for (int round = 0; round < 2000; ++round) {
    std::string frame = EncodeFrame(Sample());
    for (int i = 0; i < 3; ++i) {
      frame[5 + random() % (frame.size() - 5)] = static_cast<char>(random());
    }
    FrameReader reader;
    reader.Append(frame);
    PeerMessage message;
    EXPECT_NE(reader.Next(&message), FrameReader::Result::kNeedMore);
  }
}

}  // namespace
}  // namespace oxbow::clients
