// What a controller does for users' rollouts: declarations and wishes go into
// the key-value store by its own conditional writes; the leader sees them
// there.
#pragma once

#include <functional>
#include <string>

#include "api/rollout_routes.h"
#include "clients/key_value_store.h"
#include "core/leader/leader.h"

namespace oxbow::app {

class RolloutCoordinator : public api::RolloutService {
 public:
  struct Callbacks {
    // Takes a record that was read or written into the picture.
    std::function<void(const std::string& key, const Record&,
                       uint64_t mod_revision)>
        apply;
    std::function<bool()> synced;
    // Makes a write one of the epoch that is known.
    std::function<void(std::vector<Precondition>*)> add_guard;
    // The leader's brain, where this controller leads; null elsewhere.
    std::function<const Leader*()> leader;
    std::function<double()> now;
  };

  RolloutCoordinator(const Settings& settings, const Tuning& tuning,
                     const Catalog& catalog,
                     clients::KeyValueStoreClient& state, Callbacks callbacks);

  bool Enabled() const override { return tuning_.rollouts_at_once >= 1; }
  net::Task<api::RolloutAnswer> Declare(
      std::shared_ptr<const RolloutSpec> spec) override;
  net::Task<api::RolloutAnswer> Get(std::string id) override;
  net::Task<api::RolloutAnswer> Request(std::string id,
                                        RolloutRequest request) override;
  std::optional<std::vector<api::RolloutState>> List() override;

 private:
  // Reads live, then ended; says not found only after both.
  net::Task<api::RolloutAnswer> FreshRead(std::string id);
  api::RolloutState StateOf(const RolloutRecord& record) const;

  const Settings& settings_;
  const Tuning& tuning_;
  const Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  Callbacks callbacks_;
};

}  // namespace oxbow::app
