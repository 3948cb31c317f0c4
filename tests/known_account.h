// What users have been told about their jobs, and what they may be told from
// then on. An account of the tests' own: it knows nothing of how a controller
// comes to its answers.
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
  // `forgotten_s`: how long nothing may be said about a job.
  explicit KnownAccount(double forgotten_seconds)
      : forgotten_seconds_(forgotten_seconds) {}

  void Accepted(const std::string& id, double now) {
    Entry& entry = jobs_[id];
    if (entry.accepted) return;
    entry.accepted = true;
    entry.accepted_at = entry.heard = now;
  }
  // Its user asks for it to be cancelled, answered or not.
  void CancelAsked(const std::string& id) { jobs_[id].cancel_asked = true; }
  // It was told as done or aborted.
  void Ended(const std::string& id, const std::string& word, double now) {
    Entry& entry = jobs_[id];
    if (!entry.end.empty()) return;
    entry.end = word;
    entry.ended_at = now;
  }
  // Nobody submits it.
  void NeverSubmitted(const std::string& id) { jobs_[id]; }
  // Something goes wrong at this moment: silence counts from here.
  void Trouble(double now) { trouble_ = std::max(trouble_, now); }

  // The answer to a question asked at `asked`. Returns what is wrong about it,
  // or nothing. What was told to somebody else meanwhile binds the next one.
  std::string Heard(const std::string& id, int status, const std::string& body,
                    double asked, double now) {
    Entry& entry = jobs_[id];
    const bool accepted = entry.accepted && entry.accepted_at <= asked;
    if (status == 404) {
      return accepted ? id + " was accepted and is denied" : std::string();
    }
    if (status != 200) return {};  // to be asked again
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

  // Jobs about which nothing was said for too long.
  std::vector<std::string> Forgotten(double now) const {
    std::vector<std::string> out;
    for (const auto& [id, entry] : jobs_) {
      if (entry.accepted && Silence(entry, now) > forgotten_seconds_) {
        out.push_back(id);
      }
    }
    return out;
  }
  // The longest that nothing was said about any job, without trouble.
  double LongestSilence(double now) const {
    double longest = 0;
    for (const auto& [id, entry] : jobs_) {
      if (entry.accepted) longest = std::max(longest, Silence(entry, now));
    }
    return longest;
  }
  // Accepted, and neither cancelled nor over: has to run or to be known.
  bool Lives(const std::string& id) const {
    const auto it = jobs_.find(id);
    return it != jobs_.end() && it->second.accepted &&
           !it->second.cancel_asked && it->second.end.empty();
  }
  // Accepted jobs of which nothing was said since.
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
    std::string end;  // as it was told
    double ended_at = 0;
    double heard = 0;  // the last answer
  };
  double Silence(const Entry& entry, double now) const {
    return now - std::max(entry.heard, trouble_);
  }

  const double forgotten_seconds_;
  std::map<std::string, Entry> jobs_;
  double trouble_ = 0;
};

}  // namespace oxbow::test
