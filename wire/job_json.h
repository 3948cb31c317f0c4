// Reads, validates and writes the JSON job descriptions that users submit.
#pragma once

#include <rapidjson/document.h>

#include <map>
#include <string>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/settings.h"
#include "wire/json.h"

namespace oxbow::wire {

// Whether the id is "job-" followed by 6 to 18 digits.
bool ValidJobId(std::string_view id);

// Parses a job description. Returns a description of the first error, or an
// empty string.
std::string ReadSpec(const rapidjson::Value& value, JobSpec* out);
void WriteSpec(json::Writer& writer, const JobSpec& spec);

// Returns the reason why the job can never run with these machine types and
// team quotas, or an empty string.
std::string WhyImpossible(const JobSpec& spec,
                          const std::map<std::string, MachineType>& types,
                          const std::vector<TeamQuota>& teams);

}  // namespace oxbow::wire
