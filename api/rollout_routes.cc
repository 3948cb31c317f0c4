#include "api/rollout_routes.h"

#include <rapidjson/document.h>

#include <utility>

#include "api/answers.h"
#include "wire/json.h"
#include "wire/names.h"
#include "wire/rollout_json.h"

namespace oxbow::api {
namespace {

net::HttpResponse ResponseOf(const RolloutAnswer& answer) {
  using Result = RolloutAnswer::Result;
  switch (answer.result) {
    case Result::kOk:
    case Result::kDeclared: {
      net::HttpResponse response;
      response.status = answer.result == Result::kDeclared ? 201 : 200;
      const auto& counts = answer.state.counts;
      response.body =
          wire::RolloutBody(answer.state.record, counts ? &*counts : nullptr);
      return response;
    }
    case Result::kConflict:
      return Error(409, answer.why);
    case Result::kImpossible:
      return Error(422, answer.why);
    case Result::kNotFound:
      return Error(404, "no such roll-out");
    case Result::kTooMany:
      return TryLater(answer.why, 429);
    case Result::kTryLater:
      break;
  }
  return TryLater(answer.why.empty() ? "state unknown" : answer.why);
}

}  // namespace

bool RolloutRoutes::Matches(std::string_view path) const {
  return service_.Enabled() && path.starts_with(kPath) &&
         (path.size() == kPath.size() || path[kPath.size()] == '/');
}

net::Task<net::HttpResponse> RolloutRoutes::Declare(std::string body) {
  rapidjson::Document doc;
  if (!json::Parse(body, &doc)) co_return Error(400, "not JSON");
  auto spec = std::make_shared<RolloutSpec>();
  const std::string malformed = wire::ReadRolloutSpec(doc, spec.get());
  if (!malformed.empty()) co_return Error(400, malformed);
  co_return ResponseOf(co_await service_.Declare(std::move(spec)));
}

net::HttpResponse RolloutRoutes::List() {
  const auto states = service_.List();
  if (!states) return TryLater("state unknown");
  // One entry per line, since clients limit the length of a line.
  net::HttpResponse response;
  response.body = "{\"rollouts\":[";
  for (size_t i = 0; i < states->size(); ++i) {
    const RolloutState& state = (*states)[i];
    response.body += i == 0 ? "\n" : ",\n";
    response.body += wire::RolloutBody(state.record,
                                       state.counts ? &*state.counts : nullptr);
  }
  response.body += "]}\n";
  return response;
}

net::Task<net::HttpResponse> RolloutRoutes::Handle(net::HttpRequest request) {
  const std::string path(request.path());
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (path.size() == kPath.size()) {
    if (post) co_return co_await Declare(std::move(request.body));
    if (!get) co_return WrongMethod("GET, POST");
    co_return List();
  }
  std::string id = path.substr(kPath.size() + 1);
  const size_t slash = id.find('/');
  if (slash == std::string::npos) {
    if (!get) co_return WrongMethod("GET");
    if (!wire::ValidRolloutId(id)) co_return Error(404, "no such roll-out");
    co_return ResponseOf(co_await service_.Get(std::move(id)));
  }
  const std::string verb = id.substr(slash + 1);
  id.resize(slash);
  RolloutRequest requested = RolloutRequest::kNone;
  if (!wire::TermOf(wire::kRolloutRequests, verb, &requested) ||
      requested == RolloutRequest::kNone || !wire::ValidRolloutId(id)) {
    co_return Error(404, "no such route");
  }
  if (!post) co_return WrongMethod("POST");
  co_return ResponseOf(co_await service_.Request(std::move(id), requested));
}

}  // namespace oxbow::api
