// Rollouts as users declare and read them.
#pragma once

#include <rapidjson/document.h>

#include <string>

#include "core/rollout/rollout.h"
#include "wire/json.h"

namespace oxbow::wire {

// "ro-" and up to 60 letters, digits, dots, dashes or underscores.
bool ValidRolloutId(std::string_view id);

// Reads a declaration; returns what is malformed, or nothing.
std::string ReadRolloutSpec(const rapidjson::Value& value, RolloutSpec* out);
// Fields of an object that the caller has begun.
void WriteRolloutSpec(json::Writer& writer, const RolloutSpec& spec);

// Why it can't be done for a job of so many replicas, in words, or nothing.
std::string WhyNoRollout(const RolloutSpec& spec, uint32_t from_tasks);

// The whole answer to a GET.
std::string RolloutBody(const RolloutRecord& record,
                        const RolloutCounts* counts);

}  // namespace oxbow::wire
