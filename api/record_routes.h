// The HTTP routes of the operators' records: /v2/records and below, and earlier
// versions under /v2/record-versions.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/model/operator_record.h"
#include "net/http.h"
#include "net/task.h"
#include "wire/operator_json.h"

namespace oxbow::api {

// The result of a request about one record; rendered by RecordRoutes.
struct RecordAnswer {
  enum class Result {
    kOk,
    kWritten,
    kConflict,    // 409: the version to replace is not the current one
    kImpossible,  // 422: the text is invalid; `why` names the value
    kNotFound,    // confirmed by a new read of the store
    kTooMany,     // 429
    kTryLater,    // 503
  };
  Result result = Result::kTryLater;
  std::string why;
  OperatorRecord record;  // the current one, also after a conflict
};

// A record with the name it is stored under.
struct NamedRecord {
  std::string name;
  OperatorRecord record;
};

// Provides the contents of the answers. The service must outlive the tasks.
class RecordService {
 public:
  virtual ~RecordService() = default;
  // Reads the record from the store, not from memory.
  virtual net::Task<RecordAnswer> Get(std::string name) = 0;
  // Replaces the version given in the change.
  virtual net::Task<RecordAnswer> Change(std::string name,
                                         wire::OperatorChange change) = 0;
  // Sorted by name; no value until the store has been read.
  virtual std::optional<std::vector<NamedRecord>> List(
      const std::string& prefix) = 0;
  // Earlier versions, latest first; no value if they can't be read now.
  virtual net::Task<std::optional<std::vector<NamedRecord>>> ListVersions(
      std::string name) = 0;
};

// Parses requests about records and renders their answers.
class RecordRoutes {
 public:
  static constexpr std::string_view kPath = "/v2/records";
  static constexpr std::string_view kVersionsPath = "/v2/record-versions/";

  explicit RecordRoutes(RecordService& service) : service_(service) {}
  // Whether the path is one of these routes.
  static bool Matches(std::string_view path);
  // Answers one request. The routes must outlive the task.
  net::Task<net::HttpResponse> Handle(net::HttpRequest request);

 private:
  net::Task<net::HttpResponse> HandleVersions(std::string name);
  net::HttpResponse List(const std::string& prefix);
  net::Task<net::HttpResponse> Change(std::string name, std::string body);

  RecordService& service_;
};

}  // namespace oxbow::api
