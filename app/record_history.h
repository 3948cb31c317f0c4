// Earlier versions of operators' records, as the key-value store keeps them:
// each under a key of its own, or, if the store takes no value of that size any
// more, in pieces under keys below that one. Functions without state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "clients/key_value_store.h"
#include "core/model/operator_record.h"

namespace oxbow::app {

// One key of the store and the record, or piece of it, at that key.
struct HistoryEntry {
  std::string key;
  OperatorRecord record;
};

// The key of an earlier version.
std::string PastKey(const std::string& name, uint64_t version);
// The prefix of the keys of that version's pieces.
std::string PiecesPrefix(const std::string& name, uint64_t version);

// The version in values of at most `max_bytes` each: one if it fits.
std::vector<HistoryEntry> PiecesOf(const std::string& name,
                                   const OperatorRecord& record,
                                   size_t max_bytes);
// The versions whose values are these, sorted by key.
std::vector<OperatorRecord> JoinPieces(
    const std::vector<clients::KeyValue>& items);

}  // namespace oxbow::app
