// The HTTP routes of rollouts: /v2/rollouts and below.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/rollout/rollout.h"
#include "net/http.h"
#include "net/task.h"

namespace oxbow::api {

// The state of a rollout that is returned to users.
struct RolloutState {
  RolloutRecord record;
  std::optional<RolloutCounts> counts;  // only if the leader answers itself
};

// The result of a request about one rollout; rendered by RolloutRoutes.
struct RolloutAnswer {
  enum class Result {
    kOk,
    kDeclared,
    kConflict,    // 409: its id or one of its jobs is in use
    kImpossible,  // 422
    kNotFound,    // confirmed by a new read of the store
    kTooMany,     // 429
    kTryLater,    // 503
  };
  Result result = Result::kTryLater;
  std::string why;
  RolloutState state;
};

// Provides the contents of the answers. The service must outlive the tasks.
class RolloutService {
 public:
  virtual ~RolloutService() = default;
  // Whether the operators have enabled rollouts in the settings.
  virtual bool Enabled() const = 0;
  virtual net::Task<RolloutAnswer> Declare(
      std::shared_ptr<const RolloutSpec> spec) = 0;
  virtual net::Task<RolloutAnswer> Get(std::string id) = 0;
  virtual net::Task<RolloutAnswer> Request(std::string id,
                                           RolloutRequest request) = 0;
  // Sorted by id; no value until the store has been read.
  virtual std::optional<std::vector<RolloutState>> List() = 0;
};

// Parses requests about rollouts and renders their answers.
class RolloutRoutes {
 public:
  static constexpr std::string_view kPath = "/v2/rollouts";

  explicit RolloutRoutes(RolloutService& service) : service_(service) {}
  // Whether the path is one of these routes.
  bool Matches(std::string_view path) const;
  // Answers one request. The routes must outlive the task.
  net::Task<net::HttpResponse> Handle(net::HttpRequest request);

 private:
  net::HttpResponse List();
  net::Task<net::HttpResponse> Declare(std::string body);

  RolloutService& service_;
};

}  // namespace oxbow::api
