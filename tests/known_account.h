// A record of what users have been told about their jobs, which determines what
// they may be told from then on. It is independent of the controllers' code.
#pragma once

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"

namespace oxbow::test {

class KnownAccount {
 public:
  // `forgotten_seconds` is the longest time in seconds that a job may go
  // without an answer.
  explicit KnownAccount(double forgotten_seconds)
      : forgotten_seconds_(forgotten_seconds) {}

  void Accepted(const std::string& id, double now) {
    Entry& entry = jobs_[id];
    if (entry.accepted) return;
    entry.accepted = true;
    entry.accepted_at = entry.heard = now;
  }
  // Records that a user has sent a cancellation, whether answered or not.
  void CancelAsked(const std::string& id) { jobs_[id].cancel_asked = true; }
  // Records that a user was told that the job is done or aborted.
  void Ended(const std::string& id, const std::string& word, double now) {
    Entry& entry = jobs_[id];
    if (!entry.end.empty()) return;
    entry.end = word;
    entry.ended_at = now;
  }
  // Records an id that no user ever submits.
  void NeverSubmitted(const std::string& id) { jobs_[id]; }
  // Records a fault at `now`. The time without an answer counts from then on.
  void Trouble(double now) { trouble_ = std::max(trouble_, now); }

  // Checks the answer to a request that was sent at `asked`. Returns what is
  // wrong about it, or an empty string. Only what users were told before
  // `asked` counts against it.
  std::string Heard(const std::string& id, int status, const std::string& body,
                    double asked, double now) {
    Entry& entry = jobs_[id];
    const bool accepted = entry.accepted && entry.accepted_at <= asked;
    if (status == 404) {
      return accepted ? id + " was accepted and is denied" : std::string();
    }
    if (status != 200) return {};  // the user repeats the request
    if (!entry.accepted) return id + " was never submitted, now " + body;
    entry.heard = now;
    rapidjson::Document doc;
    json::Parse(body, &doc);
    const std::string word = json::GetString(doc, "status");
    if (!entry.end.empty() && entry.ended_at <= asked && word != entry.end) {
      return id + " was told as " + entry.end + ", now as " + word;
    }
    if (word == "done" || word == "aborted") Ended(id, word, now);
    if (word == "aborted" && !entry.cancel_asked) {
      return id + " is told as aborted, and nobody has cancelled it";
    }
    return {};
  }

  // Returns the jobs that have gone without an answer for too long.
  std::vector<std::string> Forgotten(double now) const {
    std::vector<std::string> out;
    for (const auto& [id, entry] : jobs_) {
      if (entry.accepted && Silence(entry, now) > forgotten_seconds_) {
        out.push_back(id);
      }
    }
    return out;
  }
  // Returns the longest present time without an answer about any job, in
  // seconds since the last fault.
  double LongestSilence(double now) const {
    double longest = 0;
    for (const auto& [id, entry] : jobs_) {
      if (entry.accepted) longest = std::max(longest, Silence(entry, now));
    }
    return longest;
  }
  // Returns whether the job was accepted and has neither been cancelled nor
  // ended, so that it must run or be known.
  bool Lives(const std::string& id) const {
    const auto it = jobs_.find(id);
    return it != jobs_.end() && it->second.accepted &&
           !it->second.cancel_asked && it->second.end.empty();
  }
  // Returns the accepted jobs that have had no answer since then.
  std::vector<std::string> Unheard(double since) const {
    std::vector<std::string> ids;
    for (const auto& [id, entry] : jobs_) {
      if (entry.accepted && entry.heard <= since) ids.push_back(id);
    }
    return ids;
  }

 private:
  struct Entry {
    bool accepted = false;
    double accepted_at = 0;
    bool cancel_asked = false;
    std::string end;  // the status that a user was told
    double ended_at = 0;
    double heard = 0;  // time of the last answer, s
  };
  double Silence(const Entry& entry, double now) const {
    return now - std::max(entry.heard, trouble_);
  }

  const double forgotten_seconds_;
  std::map<std::string, Entry> jobs_;
  double trouble_ = 0;
};

}  // namespace oxbow::test
