#include "app/election/leader_key_writer.h"

#include <utility>
#include <variant>

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

}  // namespace

net::Task<Expected<uint64_t, LeaderKeyNotTaken>> LeaderKeyWriter::Write(
    std::vector<Precondition> preconditions, std::vector<Mutation> mutations,
    uint64_t lease_id, uint64_t replaced_revision) {
  const StoreResult written = co_await context_.store.Write(
      std::move(preconditions), std::move(mutations), Urgency::kLease,
      lease_id);
  if (written.ok()) co_return written.revision;
  if (written.status != StoreStatus::kUnknown) {
    co_return Unexpected(LeaderKeyNotTaken{written.failed});
  }
  co_return co_await ReadOutcome(replaced_revision);
}

net::Task<Expected<uint64_t, LeaderKeyNotTaken>> LeaderKeyWriter::ReadOutcome(
    uint64_t replaced_revision) {
  const StoreResult read =
      co_await context_.store.Get(std::string(keys::kLeader), Urgency::kLease);
  const auto* leader = read.items.empty()
                           ? nullptr
                           : std::get_if<LeaderRecord>(&read.items[0].record);
  const bool is_written = read.ok() && leader != nullptr &&
                          leader->node == context_.settings.node &&
                          leader->incarnation == context_.incarnation &&
                          read.items[0].mod_revision != replaced_revision;
  if (!is_written) co_return Unexpected(LeaderKeyNotTaken{});
  co_return read.items[0].mod_revision;
}

}  // namespace oxbow::app
