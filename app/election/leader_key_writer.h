// Writes the leader key and finds out whether the write was carried out, also
// when it was not answered.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "app/election/election_context.h"
#include "core/leader_context/actions.h"
#include "core/model/expected.h"
#include "net/task.h"

namespace oxbow::app {

// The key is not this controller's.
struct LeaderKeyNotTaken {
  // The keys whose preconditions failed; empty where that is not known.
  std::vector<std::string> failed_keys;
};

// A leader key that this controller has written.
struct WonKey {
  uint64_t revision = 0;
  uint64_t lease_id = 0;
  net::Time sent_at = 0;  // the request that the lease counts from
};

// Stateless; several writes may be in flight.
class LeaderKeyWriter {
 public:
  // `context` must outlive this object.
  explicit LeaderKeyWriter(const ElectionContext& context)
      : context_(context) {}

  // Sends the transaction that writes the leader key under that lease; the
  // revision of the key if it was carried out. `replaced_revision`: of the key
  // before. The arguments belong to the coroutine.
  net::Task<Expected<uint64_t, LeaderKeyNotTaken>> Write(
      std::vector<Precondition> preconditions, std::vector<Mutation> mutations,
      uint64_t lease_id, uint64_t replaced_revision);

 private:
  // After a write that was not answered.
  net::Task<Expected<uint64_t, LeaderKeyNotTaken>> ReadOutcome(
      uint64_t replaced_revision);

  const ElectionContext& context_;
};

}  // namespace oxbow::app
