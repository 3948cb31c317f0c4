// The routes of the operators' records: /v2/records and below, and earlier
// versions under /v2/record-versions.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/model/operator_record.h"
#include "net/http.h"
#include "net/task.h"
#include "wire/operator_json.h"

namespace oxbow::api {

struct RecordAnswer {
  enum class Result {
    kOk,
    kWritten,
    kConflict,    // 409: the version asked for is not the present one
    kImpossible,  // 422: the text means nothing good; `why` names the value
    kNotFound,    // after a fresh read
    kTooMany,     // 429
    kTryLater,    // 503
  };
  Result result = Result::kTryLater;
  std::string why;
  OperatorRecord record;  // as it stands; on a conflict too
};

class RecordService {
 public:
  using Named = std::vector<std::pair<std::string, OperatorRecord>>;

  virtual ~RecordService() = default;
  virtual net::Task<RecordAnswer> Get(std::string name) = 0;
  virtual net::Task<RecordAnswer> Change(std::string name,
                                         wire::OperatorChange change) = 0;
  // In the order of names; nothing while the state has not been read.
  virtual std::optional<Named> List(const std::string& prefix) = 0;
  // Earlier versions, the latest first; nothing if they can't be read now.
  virtual net::Task<std::optional<Named>> Past(std::string name) = 0;
};

class RecordRoutes {
 public:
  static constexpr std::string_view kPath = "/v2/records";
  static constexpr std::string_view kPastPath = "/v2/record-versions/";

  explicit RecordRoutes(RecordService& service) : service_(service) {}
  // Whether the path is one of these routes.
  static bool Matches(std::string_view path);
  net::Task<net::HttpResponse> Handle(net::HttpRequest request);

 private:
  net::Task<net::HttpResponse> Change(std::string name, std::string body);

  RecordService& service_;
};

}  // namespace oxbow::api
