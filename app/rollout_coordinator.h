// Declares users' rollouts and records the users' requests (pause, resume,
// abort). Any controller writes them to the key-value store by
// compare-and-swap; the leader sees them there and executes them.
//
// Coroutines hold `this` and copies of their arguments, so the coordinator must
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
    // Puts a record that was read or written into the catalog.
    std::function<void(const std::string& key, const Record&,
                       uint64_t mod_revision)>
        apply;
    std::function<bool()> synced;
    // Adds the precondition that the store is still in the epoch that the
    // catalog holds.
    std::function<void(std::vector<Precondition>*)> add_guard;
    // Returns the leader's core if this controller leads, else null.
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
  // Reads the live record from the store and, if there is none, the terminal
  // record. Answers kNotFound only if neither exists.
  net::Task<api::RolloutAnswer> ReadFresh(std::string id);
  // Returns why the rollout cannot be declared according to the catalog, or
  // nothing if it can.
  std::optional<api::RolloutAnswer> RejectDeclaration(
      const RolloutSpec& spec) const;
  // Returns why the rollout cannot run at the same time as the other rollouts,
  // or nothing if it can.
  std::optional<api::RolloutAnswer> RejectBesideOthers(
      const RolloutSpec& spec) const;
  // Reads the rollout after its declaration could not be written or the outcome
  // of the write is unknown, and returns the answer to the declaration.
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
