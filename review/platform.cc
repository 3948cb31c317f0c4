// Ports, the record, the cloud and the processes of the controllers.
#include "review/platform.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <exception>

#include "wire/json.h"

namespace review {

uint16_t FreePort() {
  constexpr int kLeast = 10'000;
  constexpr int kMost = 32'000;
  constexpr int kEach = 20;
  static int next = kLeast + getpid() * kEach % (kMost - kLeast);
  for (;;) {
    const auto port = static_cast<uint16_t>(next);
    next = next + 1 < kMost ? next + 1 : kLeast;
    try {
      Loop loop;
      return oxbow::net::Listener(loop, Local(port)).port();
    } catch (const std::exception&) {
      continue;  // in use
    }
  }
}

Record::Record(Loop& loop, const std::string& path)
    : loop_(loop),
      started_(loop.Refresh()),
      file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) std::fclose(file_);
}

void Record::Line(const std::string& text) {
  if (file_ == nullptr) return;
  std::fprintf(file_, "%8.3f %s\n", loop_.Refresh() - started_, text.c_str());
  std::fflush(file_);
}

Cloud::Cloud(Loop& loop, std::string flavors)
    : flavors_(std::move(flavors)),
      server_(loop, Local(0), {}, [this](HttpRequest request) {
        return Handle(std::move(request));
      }) {
  oxbow::net::Spawn(server_.Run());
}

Task<HttpResponse> Cloud::Handle(HttpRequest request) {
  HttpResponse response;
  const std::string path(request.path());
  if (path == "/flavors") {
    response.body = flavors_;
  } else if (path == "/machines" && request.method == "GET") {
    const std::string after(request.query("after"));
    std::string hosts;
    for (const auto& worker : machines) {
      const Worker::Machine& machine = worker->machine();
      if (machine.host <= after) continue;
      if (!hosts.empty()) hosts += ",";
      hosts += fmt::format(
          R"({{"id":"{}","endpoint":"{}","fleet":"{}","yard":"{}",)"
          R"("loaner":false,"status":"running","age_s":300.0}})",
          machine.host, worker->endpoint(), machine.fleet, machine.yard);
    }
    response.body = "{\"hosts\":[" + hosts + "],\"has_next\":false}";
  } else if (path == "/machines/delete") {
    rapidjson::Document doc;
    if (oxbow::json::Parse(request.body, &doc) && doc.HasMember("hosts")) {
      for (const auto& host : doc["hosts"].GetArray()) {
        const auto it = std::find_if(
            machines.begin(), machines.end(), [&](const auto& worker) {
              return worker->machine().host == host.GetString();
            });
        if (it == machines.end()) continue;
        (*it)->Remove();
        removed_.push_back(*it);
        machines.erase(it);
      }
    }
    response.body = "{}";
  } else {
    response.status = 503;
    response.body = R"({"error":"no capacity"})";
  }
  co_return response;
}

void Launch(Controller& controller) {
  const std::string log = controller.settings + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(fd, STDERR_FILENO);
    execl("target/oxbowbank", "target/oxbowbank", "serve", "--tuning",
          "deploy/service.conf", "--config", controller.settings.c_str(),
          nullptr);
    _exit(127);
  }
  controller.pid = pid;
}

void Kill(Controller& controller) {
  if (controller.pid <= 0) return;
  kill(controller.pid, SIGKILL);
  waitpid(controller.pid, nullptr, 0);
  controller.pid = -1;
}

bool HasEnded(Controller& controller) {
  if (controller.pid <= 0 ||
      waitpid(controller.pid, nullptr, WNOHANG) != controller.pid) {
    return false;
  }
  controller.pid = -1;
  return true;
}

}  // namespace review
