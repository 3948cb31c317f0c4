// The format in which the key-value store keeps earlier versions of operators'
// records: each version under a key of its own or, if the store no longer
// accepts a value of that size, in pieces under keys that begin with that key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "clients/key_value_store.h"
#include "core/model/operator_record.h"

namespace oxbow::app {

// A key of the store and the record, or the piece of a record, under that key.
struct HistoryEntry {
  std::string key;
  OperatorRecord record;
};

// Returns the key of an earlier version.
std::string PastKey(const std::string& name, uint64_t version);
// Returns the common prefix of the keys of that version's pieces.
std::string PiecesPrefix(const std::string& name, uint64_t version);

// Divides a version into values of at most `max_bytes` each, under the keys
// where they are stored. Returns a single entry if the whole version fits.
std::vector<HistoryEntry> PiecesOf(const std::string& name,
                                   const OperatorRecord& record,
                                   size_t max_bytes);
// Joins the pieces of each version. `items` must be sorted by key.
std::vector<OperatorRecord> JoinPieces(
    const std::vector<clients::KeyValue>& items);

}  // namespace oxbow::app
