// Reads and changes the operators' records of a deployment through one of its
// controllers. Blocks: for commands, not for controllers.
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

// Asks about records; each call is one request and blocks.
class RecordClient {
 public:
  enum class Result { kOk, kNotFound, kConflict, kRefused, kNoAnswer };
  struct Answer {
    Result result = Result::kNoAnswer;
    std::string why;        // refused: the reason that the controller gives
    OperatorRecord record;  // the present one; on a conflict too
    std::string body;       // of the response, as it was received
  };

  // `address`: of any controller, IPv4 and a port.
  explicit RecordClient(std::string address) : address_(std::move(address)) {}

  // Each request is repeated while it is not accepted (ControllerClient::Ask).
  Answer Get(const std::string& name);
  // Replaces the version (0: there is none). `text`: JSON.
  Answer Put(const std::string& name, uint64_t version, const std::string& text,
             const std::string& author, const std::string& note);
  Answer Withdraw(const std::string& name, uint64_t version,
                  const std::string& author, const std::string& note);
  // False when there is no answer.
  bool List(const std::string& prefix, std::vector<NamedRecord>* out);
  bool ListVersions(const std::string& name, std::vector<NamedRecord>* out);

  // The exit code for an answer; writes one line to standard error for a
  // failure.
  static int Explain(const Answer& answer);

 private:
  // The status of the answer; 0: none.
  int Ask(const std::string& method, const std::string& path,
          const std::string& body, std::string* answer);
  Answer Change(const std::string& name, const std::string& body);
  bool ReadMany(const std::string& path, std::vector<NamedRecord>* out);

  std::string address_;
};

}  // namespace oxbow::cli
