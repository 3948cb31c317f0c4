// Writes the leader key, and finds out whether the write was applied even if it
// was not answered.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "app/election/election_context.h"
#include "core/leader_context/actions.h"
#include "core/model/expected.h"
#include "net/task.h"

namespace oxbow::app {

// The error of a write after which the leader key is not this controller's.
struct LeaderKeyNotTaken {
  // The keys whose preconditions failed; empty if they are not known.
  std::vector<std::string> failed_keys;
};

// A leader key that this controller has written.
struct WonKey {
  uint64_t revision = 0;
  uint64_t lease_id = 0;
  // When the request was sent that created the lease; the lease counts from
  // then.
  net::Time sent_at = 0;
};

// Stateless; several writes may be in flight.
class LeaderKeyWriter {
 public:
  // `context` must outlive this object.
  explicit LeaderKeyWriter(const ElectionContext& context)
      : context_(context) {}

  // Sends the transaction that writes the leader key under the lease
  // `lease_id`. Returns the new revision of the key if the transaction was
  // applied. `replaced_revision`: the revision of the key before; 0 if it did
  // not exist.
  net::Task<Expected<uint64_t, LeaderKeyNotTaken>> Write(
      std::vector<Precondition> preconditions, std::vector<Mutation> mutations,
      uint64_t lease_id, uint64_t replaced_revision);

 private:
  // Reads the key after a write that was not answered, and returns its revision
  // if the write was applied.
  net::Task<Expected<uint64_t, LeaderKeyNotTaken>> ReadOutcome(
      uint64_t replaced_revision);

  const ElectionContext& context_;
};

}  // namespace oxbow::app
