#include "cli/rollout_command.h"

#include <rapidjson/document.h>

#include <cstdio>
#include <fstream>
#include <iterator>

#include "api/rollout_routes.h"
#include "cli/controller_client.h"
#include "net/http_client.h"
#include "wire/json.h"

namespace oxbow::cli {
namespace {

constexpr size_t kMaxAnswerBytes = 1024 * 1024;
constexpr net::Time kWatchIntervalSeconds = 1;

unsigned Count(const rapidjson::Value& value, const char* key) {
  return static_cast<unsigned>(json::GetUint(value, key));
}

void PrintLine(const rapidjson::Value& value) {
  std::printf("%s: %s, %s to %s, floor %u",
              json::GetString(value, "id").c_str(),
              json::GetString(value, "step").c_str(),
              json::GetString(value, "from").c_str(),
              json::GetString(value, "to").c_str(), Count(value, "floor"));
  if (json::Find(value, "old") != nullptr) {
    std::printf("; old %u (%u healthy), new %u (%u healthy, %u baked)",
                Count(value, "old"), Count(value, "old_healthy"),
                Count(value, "new"), Count(value, "new_healthy"),
                Count(value, "new_baked"));
  }
  const std::string reason = json::GetString(value, "reason");
  if (!reason.empty()) std::printf("; %s", reason.c_str());
  std::printf("\n");
}

void Print(const std::string& body, bool as_json) {
  rapidjson::Document doc;
  if (as_json || !json::Parse(body, &doc) || !doc.IsObject()) {
    std::printf("%s\n", body.c_str());
    return;
  }
  const auto* many = json::Find(doc, "rollouts");
  if (many == nullptr || !many->IsArray()) {
    PrintLine(doc);
    return;
  }
  for (const auto& one : many->GetArray()) PrintLine(one);
  if (many->Empty()) std::printf("no roll-out is under way\n");
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Executes one invocation of the command.
class RolloutRun {
 public:
  RolloutRun(const RolloutCommand& command, ControllerClient& client)
      : command_(command), client_(client) {}

  // Returns the exit code.
  net::Task<int> Execute();

 private:
  net::Task<int> Start();
  // Sends one request and prints its answer.
  net::Task<int> Ask(std::string method, std::string path, std::string body);
  // Prints the rollout whenever it changes, until it has ended.
  net::Task<int> Watch();
  int ReportNoAnswer() const;

  const RolloutCommand& command_;
  ControllerClient& client_;
};

net::Task<int> RolloutRun::Execute() {
  const std::string base(api::RolloutRoutes::kPath);
  if (command_.verb == "start") co_return co_await Start();
  if (command_.verb == "watch") co_return co_await Watch();
  if (command_.verb == "status") {
    const std::string path =
        command_.subject.empty() ? base : base + "/" + command_.subject;
    co_return co_await Ask("GET", path, "");
  }
  co_return co_await Ask(
      "POST", base + "/" + command_.subject + "/" + command_.verb, "");
}

net::Task<int> RolloutRun::Start() {
  const std::string body = ReadFile(command_.subject);
  if (body.empty()) {
    std::fprintf(stderr, "cannot read %s\n", command_.subject.c_str());
    co_return kRolloutBadUse;
  }
  co_return co_await Ask("POST", std::string(api::RolloutRoutes::kPath), body);
}

int RolloutRun::ReportNoAnswer() const {
  std::fprintf(stderr, "%s: no answer\n", command_.address.c_str());
  return kRolloutRefused;
}

net::Task<int> RolloutRun::Ask(std::string method, std::string path,
                               std::string body) {
  const net::ClientResult answer = co_await client_.Ask(method, path, body);
  if (answer.outcome != net::Outcome::kAnswered) co_return ReportNoAnswer();
  if (answer.status != 200 && answer.status != 201) {
    rapidjson::Document doc;
    std::string reason;
    if (json::Parse(answer.body, &doc)) reason = json::GetString(doc, "error");
    std::fprintf(stderr, "refused (%d): %s\n", answer.status, reason.c_str());
    co_return kRolloutRefused;
  }
  Print(answer.body, command_.json);
  co_return kRolloutOk;
}

net::Task<int> RolloutRun::Watch() {
  const std::string path =
      std::string(api::RolloutRoutes::kPath) + "/" + command_.subject;
  std::string last;
  for (;;) {
    const net::ClientResult answer = co_await client_.Ask("GET", path, "");
    if (!answer.ok()) co_return ReportNoAnswer();
    if (answer.body != last) Print(answer.body, command_.json);
    last = answer.body;
    std::fflush(stdout);
    rapidjson::Document doc;
    json::Parse(answer.body, &doc);
    const std::string step = json::GetString(doc, "step");
    if (step == "done") co_return kRolloutOk;
    if (step == "rolled_back" || step == "failed") co_return kRolloutNotDone;
    co_await client_.Sleep(kWatchIntervalSeconds);
  }
}

}  // namespace

int RunRollout(const RolloutCommand& command) {
  int exit_code = kRolloutRefused;
  const auto run = [&](ControllerClient& client) -> net::Task<void> {
    RolloutRun rollout(command, client);
    exit_code = co_await rollout.Execute();
  };
  if (!RunWithController(command.address, kMaxAnswerBytes, run)) {
    std::fprintf(stderr, "--address: %s is not IPv4 and a port\n",
                 command.address.c_str());
    return kRolloutBadUse;
  }
  return exit_code;
}

}  // namespace oxbow::cli
