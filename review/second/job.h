// A job as its user describes it, and what users and workers have seen of it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace oxbow::review {

struct Job {
  std::string id;
  std::string job_class;
  std::string team;
  std::string form;      // batch, ensemble or service
  std::string standing;  // the priority
  uint32_t tasks = 1;
  double cores = 1;
  double accelerators = 0;
  double memory_gb = 1;
  std::string image;
  double image_gb = 1;
  std::string zone;  // the only allowed one; empty: any
  bool in_one_zone = false;
  bool spread = false;     // over zones: at most half of the tasks in one
  double run_seconds = 0;  // 0 for a service
  double checkpoint_seconds = 0;
  double save_seconds = 0;

  bool IsGang() const { return form == "ensemble" && tasks > 1; }
  bool IsService() const { return form == "service"; }
  // The body of the submission.
  std::string Body() const;
};

// What has become of a job: the account that the checks rely on.
struct JobAccount {
  Job job;
  bool accepted = false;
  double accepted_at = 0;
  std::string last_status;  // as told to its user
  int starts = 0;           // of tasks whose image was there
  std::set<uint32_t> done;  // tasks that workers have completed
};

using JobAccounts = std::map<std::string, JobAccount>;

}  // namespace oxbow::review
