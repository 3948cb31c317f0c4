#include "tests/fuzz/targets.h"

#include <rapidjson/document.h>

#include <cstdio>
#include <cstdlib>

#include "clients/peer.h"
#include "core/leader_health/reachability_survey.h"
#include "net/http.h"
#include "wire/job_json.h"
#include "wire/records.h"
#include "wire/worker_json.h"

namespace oxbow::fuzz {
namespace {

void Must(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "fuzz: %s\n", what);
  std::abort();
}

// A byte stream must give the same messages however it is divided into pieces,
// and encoding and decoding these messages again must not change them.
void PeerFrames(std::string_view bytes) {
  using clients::FrameReader;
  const auto read = [&](size_t piece) {
    FrameReader reader;
    std::vector<std::string> out;
    for (size_t at = 0; at < bytes.size(); at += piece) {
      reader.Append(bytes.substr(at, piece));
      for (;;) {
        clients::PeerMessage message;
        const auto result = reader.Next(&message);
        if (result == FrameReader::Result::kBroken) return out;
        if (result == FrameReader::Result::kNeedMore) break;
        out.push_back(clients::EncodeFrame(message));
      }
    }
    return out;
  };
  const std::vector<std::string> whole = read(bytes.size() + 1);
  Must(whole == read(7), "frames depend on how the stream was cut");
  for (const std::string& frame : whole) {
    FrameReader reader;
    reader.Append(frame);
    clients::PeerMessage message;
    Must(reader.Next(&message) == FrameReader::Result::kMessage,
         "an encoded frame is not read");
    Must(clients::EncodeFrame(message) == frame, "a frame changes on its way");
  }
}

void Reports(std::string_view bytes) {
  Heartbeat heartbeat;
  if (!wire::ParseReport(bytes, &heartbeat)) return;
  Must(!heartbeat.host.empty() && heartbeat.incarnation > 0,
       "half a report was taken");
}

void Http(std::string_view bytes) {
  for (const auto kind :
       {net::HttpParser::Kind::kRequest, net::HttpParser::Kind::kResponse}) {
    net::HttpParser parser(kind, {.header_bytes = 1024, .body_bytes = 4096});
    size_t used = 0;
    while (used < bytes.size() && !parser.done() && !parser.failed()) {
      const size_t n = parser.Feed(bytes.substr(used, 11));
      Must(n <= 11, "more was used than there was");
      if (n == 0) break;
      used += n;
    }
    if (parser.done()) {
      Must(parser.body().size() <= 4096, "a body above its limit was taken");
    }
  }
}

// A job description that is accepted must not change when it is written to a
// record and read back.
void Jobs(std::string_view bytes) {
  rapidjson::Document doc;
  if (!json::Parse(bytes, &doc) || !doc.IsObject()) return;
  JobSpec spec;
  if (!wire::ReadSpec(doc, &spec).empty()) return;
  const auto text = [](const JobSpec& spec) {
    return wire::EncodeRecord(
        JobRecord{std::make_shared<JobSpec>(spec), 1, TerminalState::kNone, 0});
  };
  const std::string key = keys::Of(keys::kJob, spec.id);
  const std::string once = text(spec);
  rapidjson::Document again;
  again.Parse(once.data(), once.size());
  Record record;
  Must(!again.HasParseError() && wire::DecodeRecord(key, again, &record),
       "a job that was accepted can't be read back");
  Must(text(*std::get<JobRecord>(record).spec) == once,
       "a job changes in its record");
}

void Records(std::string_view bytes) {
  rapidjson::Document doc;
  if (!json::Parse(bytes, &doc)) return;
  for (const std::string_view key :
       {keys::kLeader, keys::kJob, keys::kWaiting, keys::kMachine,
        keys::kScaleOut, keys::kTerminal, keys::kRollout,
        keys::kEndedRollout}) {
    Record record;
    wire::DecodeRecord(keys::Of(key, "x"), doc, &record);
  }
}

// The first line of the input is another controller's reachability text, with
// one character per machine; the rest is this controller's own text.
void ReachTexts(std::string_view bytes) {
  const size_t line = bytes.find('\n');
  const std::string other(bytes.substr(0, line));
  const std::string self(line == std::string_view::npos
                             ? std::string_view()
                             : bytes.substr(line + 1));
  if (!IsReachabilityText(other, other.size())) return;
  const int more =
      ReachabilityAdvantage({"a", true, false, self}, {"b", true, true, other});
  const auto asked = static_cast<int>(other.size());
  Must(more <= asked && more >= -asked, "more machines than were asked about");
  IsSignificantAdvantage(more, asked);
}

std::string SomeFrames() {
  clients::PeerMessage message;
  message.kind = clients::PeerKind::kReach;
  message.node = "a";
  message.text = "n-000001\nn-000002\n";
  return clients::EncodeFrame(message) + clients::EncodeFrame(message);
}

}  // namespace

const std::vector<Target>& Targets() {
  static const std::vector<Target> kTargets = {
      {"frames", PeerFrames, {SomeFrames()}},
      {"reports",
       Reports,
       {R"({"host":"n-1","endpoint":"10.0.0.1:9","fleet":"g8","yard":"a",)"
        R"("loaner":true,"tenure":1,"tally":8,"fence":4,"warning_s":null,)"
        R"("legs":[{"leg":"job-000412/3","try_no":2,"status":"running"},)"
        R"({"leg":"job-000398/0","try_no":1,"status":"exited",)"
        R"("exit_reason":"done"}]})"}},
      {"http",
       Http,
       {"POST /v2/runs HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0"
        "\r\n\r\n",
        "HTTP/1.1 503 No\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"}},
      {"jobs",
       Jobs,
       {R"({"id":"job-000412","duty":"train","crew":"v","form":"ensemble",)"
        R"("standing":"urgent","legs":16,"cores":8.0,"accelerators":1.0,)"
        R"("memory_gb":64.0,"build":"img-07","size_gb":6.2,"fleets":["g8"],)"
        R"("yard":null,"together":true,"scatter":false,"loaner":true,)"
        R"("reckon_s":240.0,"bookmark_s":30.0,"stow_s":4.0,"due_s":900.0})"}},
      {"records",
       Records,
       {R"({"node":"a","incarnation":"1"})",
        R"({"type":"t","zone":"z","spot":true,"endpoint":"1.2.3.4:5","t":1.5})",
        R"({"type":"t","zone":"z","spot":true,"count":3})",
        R"({"final":"done","tasks":3})"}},
      {"reach", ReachTexts, {"1101?0\n000111", "111111111111\n000000000000"}},
  };
  return kTargets;
}

}  // namespace oxbow::fuzz
