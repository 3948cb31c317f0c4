// Reads and writes rollouts as JSON: the declarations that users submit and the
// responses that they receive.
#pragma once

#include <rapidjson/document.h>

#include <string>

#include "core/rollout/rollout.h"
#include "wire/json.h"

namespace oxbow::wire {

// Whether the id is "ro-" followed by up to 60 letters, digits, dots, dashes or
// underscores.
bool ValidRolloutId(std::string_view id);

// Parses a declaration. Returns a description of the first malformed field, or
// an empty string.
std::string ReadRolloutSpec(const rapidjson::Value& value, RolloutSpec* out);
// Writes the fields into the object that the caller has started.
void WriteRolloutSpec(json::Writer& writer, const RolloutSpec& spec);

// Returns the reason why the rollout is impossible for a job of `from_tasks`
// replicas, or an empty string.
std::string WhyNoRollout(const RolloutSpec& spec, uint32_t from_tasks);

// Returns the response body of a GET request for one rollout.
std::string RolloutBody(const RolloutRecord& record,
                        const RolloutCounts* counts);

}  // namespace oxbow::wire
