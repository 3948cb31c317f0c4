// Client of the cloud API that rents out machines.
#pragma once

#include <string>
#include <vector>

#include "clients/budget.h"
#include "core/leader_context/actions.h"
#include "net/http_client.h"

namespace oxbow::clients {

// Lists machine types and machines, requests and deletes machines, within the
// request rate that the cloud allows. The client never retries: requests carry
// a name, so the caller can safely repeat them. Must outlive its pending calls.
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

  // Lists the machine types.
  net::Task<Types> GetTypes();
  // Requests the machines of `scale_out` under that name.
  net::Task<Rented> Rent(std::string name, ScaleOutRecord scale_out);
  // Whether the cloud has confirmed the deletion.
  net::Task<bool> Delete(std::vector<std::string> hosts);
  // Reads all pages of the listing.
  net::Task<Listing> List();

 private:
  net::Loop& loop_;
  net::HttpClient http_;
  Budget budget_;
  double timeout_seconds_;
};

}  // namespace oxbow::clients
