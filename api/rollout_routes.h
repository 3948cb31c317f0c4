// The routes of rollouts: /v2/rollouts and below.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/rollout/rollout.h"
#include "net/http.h"
#include "net/task.h"

namespace oxbow::api {

struct RolloutState {
  RolloutRecord record;
  std::optional<RolloutCounts> counts;  // where the leader answers itself
};

struct RolloutAnswer {
  enum class Result {
    kOk,
    kDeclared,
    kConflict,    // 409: known otherwise, or its job is
    kImpossible,  // 422
    kNotFound,    // after a fresh read
    kTooMany,     // 429
    kTryLater,    // 503
  };
  Result result = Result::kTryLater;
  std::string why;
  RolloutState state;
};

class RolloutService {
 public:
  virtual ~RolloutService() = default;
  // False when the operators have not turned rollouts on.
  virtual bool Enabled() const = 0;
  virtual net::Task<RolloutAnswer> Declare(
      std::shared_ptr<const RolloutSpec> spec) = 0;
  virtual net::Task<RolloutAnswer> Get(std::string id) = 0;
  virtual net::Task<RolloutAnswer> Request(std::string id,
                                           RolloutRequest request) = 0;
  // Nothing while the state has not been read.
  virtual std::optional<std::vector<RolloutState>> List() = 0;
};

class RolloutRoutes {
 public:
  static constexpr std::string_view kPath = "/v2/rollouts";

  explicit RolloutRoutes(RolloutService& service) : service_(service) {}
  // Whether the path is one of these routes.
  bool Matches(std::string_view path) const;
  net::Task<net::HttpResponse> Handle(net::HttpRequest request);

 private:
  net::Task<net::HttpResponse> Declare(std::string body);

  RolloutService& service_;
};

}  // namespace oxbow::api
