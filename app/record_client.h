// What the command line asks of a deployment about the operators' records.
// Blocks: for commands, not for controllers.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <utility>
#include <vector>

#include "core/model/operator_record.h"

namespace oxbow::app {

// Exit codes of commands that change or show records.
inline constexpr int kRecordOk = 0;
inline constexpr int kRecordRefused = 1;  // or no answer in time
inline constexpr int kRecordBadUse = 2;   // bad words, or a bad file
inline constexpr int kRecordConflict = 3;

class RecordClient {
 public:
  enum class Result { kOk, kNotFound, kConflict, kRefused, kNoAnswer };
  struct Answer {
    Result result = Result::kNoAnswer;
    std::string why;        // refused: as the service says
    OperatorRecord record;  // as it stands; on a conflict too
    std::string body;       // as it came
  };
  using Named = std::vector<std::pair<std::string, OperatorRecord>>;

  // `address`: of any controller, IPv4 and a port.
  explicit RecordClient(std::string address) : address_(std::move(address)) {}

  // Repeats what could not be taken, as a user of the protocol does, for half a
  // minute.
  Answer Get(const std::string& name);
  // Replaces the version (0: there is none). `text`: JSON.
  Answer Put(const std::string& name, uint64_t version, const std::string& text,
             const std::string& author, const std::string& note);
  Answer Withdraw(const std::string& name, uint64_t version,
                  const std::string& author, const std::string& note);
  // False when there is no answer.
  bool List(const std::string& prefix, Named* out);
  bool Past(const std::string& name, Named* out);

  // The exit code for an answer, after one line on standard error for what is
  // no success.
  static int Explain(const Answer& answer);

 private:
  // The status of the answer; 0: none.
  int Ask(const std::string& method, const std::string& path,
          const std::string& body, std::string* answer);
  Answer Change(const std::string& name, const std::string& body);
  bool ReadMany(const std::string& path, Named* out);

  std::string address_;
};

}  // namespace oxbow::app
