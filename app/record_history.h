// Earlier versions of operators' records, as the key-value store keeps them:
// each under a key of its own, or, where it takes no value of that size any
// more, in pieces under keys below that one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "clients/key_value_store.h"
#include "core/model/operator_record.h"

namespace oxbow::app {

using HistoryEntry = std::pair<std::string, OperatorRecord>;  // key, value

std::string PastKey(const std::string& name, uint64_t version);
// Below which the pieces of that version stand.
std::string PiecesPrefix(const std::string& name, uint64_t version);

// The version in values of at most so many bytes each: one if it fits.
std::vector<HistoryEntry> PiecesOf(const std::string& name,
                                   const OperatorRecord& record,
                                   size_t most_bytes);
// The versions whose values, in the order of their keys, are these.
std::vector<OperatorRecord> JoinPieces(
    const std::vector<clients::KeyValue>& items);

}  // namespace oxbow::app
