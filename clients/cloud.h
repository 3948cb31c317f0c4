// Client of the cloud that rents machines.
#pragma once

#include <string>
#include <vector>

#include "clients/budget.h"
#include "core/leader_context/actions.h"
#include "net/http_client.h"

namespace oxbow::clients {

// Lists machine types and machines, requests and deletes machines, within the
// rate that the cloud allows. Nothing is retried here: requests carry a name,
// so the caller may repeat them. Must outlive its pending calls.
class CloudClient {
 public:
  CloudClient(net::Loop& loop, const net::Address& address,
              const Settings& settings);

  struct Types {
    bool ok = false;
    std::vector<MachineType> types;
  };
  struct Rented {
    ScaleOutOutcome outcome = ScaleOutOutcome::kTryLater;
    std::vector<std::string> hosts;
  };
  struct Listing {
    bool ok = false;
    std::vector<ListedMachine> machines;
  };

  net::Task<Types> GetTypes();
  net::Task<Rented> Rent(std::string name, ScaleOutRecord scale_out);
  net::Task<bool> Delete(std::vector<std::string> hosts);
  // All pages.
  net::Task<Listing> List();

 private:
  net::Loop& loop_;
  net::HttpClient http_;
  Budget budget_;
  double timeout_seconds_;
};

}  // namespace oxbow::clients
