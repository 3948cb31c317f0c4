// Reads and changes the operators' records of a deployment through one of its
// controllers. Blocks the thread, so controllers must not use it.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <vector>

#include "core/model/operator_record.h"

namespace oxbow::cli {

// Exit codes of commands that change or show records.
inline constexpr int kRecordOk = 0;
inline constexpr int kRecordRefused = 1;  // or no answer in time
inline constexpr int kRecordBadUse = 2;   // bad arguments, or a bad file
inline constexpr int kRecordConflict = 3;

// A record with the name it is stored under.
struct NamedRecord {
  std::string name;
  OperatorRecord record;
};

// Sends requests about records. Each call blocks until its request is answered
// or given up.
class RecordClient {
 public:
  enum class Result { kOk, kNotFound, kConflict, kRefused, kNoAnswer };
  struct Answer {
    Result result = Result::kNoAnswer;
    std::string why;        // the controller's reason for a refusal
    OperatorRecord record;  // the current one, also after a conflict
    std::string body;       // the response body as received
  };

  // `address`: IPv4 address and port of any controller.
  explicit RecordClient(std::string address) : address_(std::move(address)) {}

  // Requests are repeated as described at ControllerClient::Ask.
  Answer Get(const std::string& name);
  // Replaces this version of the record (0: the record does not exist yet).
  // `text` is JSON.
  Answer Put(const std::string& name, uint64_t version, const std::string& text,
             const std::string& author, const std::string& note);
  Answer Withdraw(const std::string& name, uint64_t version,
                  const std::string& author, const std::string& note);
  // Returns false if there is no answer.
  bool List(const std::string& prefix, std::vector<NamedRecord>* out);
  bool ListVersions(const std::string& name, std::vector<NamedRecord>* out);

  // Returns the exit code for an answer; for a failure, also writes one line to
  // standard error.
  static int Explain(const Answer& answer);

 private:
  // Returns the HTTP status of the answer, or 0 if there is none.
  int Ask(const std::string& method, const std::string& path,
          const std::string& body, std::string* answer);
  Answer Change(const std::string& name, const std::string& body);
  bool ReadMany(const std::string& path, std::vector<NamedRecord>* out);

  std::string address_;
};

}  // namespace oxbow::cli
