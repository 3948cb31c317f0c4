// Declares users' rollouts and records their requests (pause, resume, abort) by
// this controller's own compare-and-swaps in the key-value store; the leader
// sees them there and carries them out.
//
// Coroutines hold `this` and copies of their arguments: the coordinator must
// outlive the event loop's run.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "api/rollout_routes.h"
#include "clients/key_value_store.h"
#include "core/leader/leader.h"

namespace oxbow::app {

// Declares and changes rollouts for the HTTP interface.
class RolloutCoordinator : public api::RolloutService {
 public:
  struct Callbacks {
    // Takes a record that was read or written into the catalog.
    std::function<void(const std::string& key, const Record&,
                       uint64_t mod_revision)>
        apply;
    std::function<bool()> synced;
    // Ties a write to the store epoch that is known.
    std::function<void(std::vector<Precondition>*)> add_guard;
    // The leader's core, where this controller leads; null elsewhere.
    std::function<const Leader*()> leader;
    std::function<double()> now;  // s, steady clock
  };

  RolloutCoordinator(const Settings& settings, const Tuning& tuning,
                     const Catalog& catalog,
                     clients::KeyValueStoreClient& store, Callbacks callbacks);

  bool Enabled() const override { return tuning_.rollouts_at_once >= 1; }
  net::Task<api::RolloutAnswer> Declare(
      std::shared_ptr<const RolloutSpec> spec) override;
  net::Task<api::RolloutAnswer> Get(std::string id) override;
  net::Task<api::RolloutAnswer> Request(std::string id,
                                        RolloutRequest request) override;
  std::optional<std::vector<api::RolloutState>> List() override;

 private:
  // Reads the live record, then the terminal one; kNotFound only after both.
  net::Task<api::RolloutAnswer> ReadFresh(std::string id);
  // Why the rollout can't be declared, by what is known here.
  std::optional<api::RolloutAnswer> RejectDeclaration(
      const RolloutSpec& spec) const;
  // Why it can't run beside the other rollouts.
  std::optional<api::RolloutAnswer> RejectBesideOthers(
      const RolloutSpec& spec) const;
  // After a conflict or an unknown outcome of the declaration's write.
  net::Task<api::RolloutAnswer> ReadOutcome(
      std::shared_ptr<const RolloutSpec> spec, clients::StoreResult written);
  api::RolloutState StateOf(const RolloutRecord& record) const;

  const Settings& settings_;
  const Tuning& tuning_;
  const Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  Callbacks callbacks_;
};

}  // namespace oxbow::app
