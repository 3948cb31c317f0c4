// Job descriptions as users write them, and the checks on them.
#pragma once

#include <rapidjson/document.h>

#include <map>
#include <string>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/settings.h"
#include "wire/json.h"

namespace oxbow::wire {

// "job-" and at least six digits.
bool ValidJobId(std::string_view id);

// Reads a description; returns what is wrong with it, or nothing.
std::string ReadSpec(const rapidjson::Value& value, JobSpec* out);
void WriteSpec(json::Writer& writer, const JobSpec& spec);

// Why the job can never run, or nothing.
std::string WhyImpossible(const JobSpec& spec,
                          const std::map<std::string, MachineType>& types,
                          const std::vector<TeamQuota>& teams);

}  // namespace oxbow::wire
