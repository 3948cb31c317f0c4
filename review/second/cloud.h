// A stand-in for the cloud: machine types, rentals up to a number of machines
// for each type and zone, deletion, and a list that lags.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/http_server.h"
#include "review/second/state_service.h"
#include "review/second/worker.h"

namespace oxbow::review {

struct CloudSettings {
  double requests_per_second = 8;
  double list_lag_seconds = 5;
  // A new machine is up after this share of its type's nominal time.
  double boot_share = 1;
};

class Cloud {
 public:
  Cloud(Fleet& fleet, std::vector<MachineType> types,
        const CloudSettings& settings);
  uint16_t port() const { return server_.port(); }
  // How many machines there are to give for the type in the zone, those that
  // are rented included. None unless it was set.
  void SetCapacity(const std::string& type, const std::string& zone,
                   int machines) {
    capacity_[{type, zone}] = machines;
  }
  // How many machines of the type could be rented in the zone now.
  int Available(const std::string& type, const std::string& zone) const;
  // The rate at which machines that are added from now on fetch images.
  void SetFetchRate(const std::string& type, double gb_per_second);
  // Adds a machine that is up after `boot_seconds`.
  std::shared_ptr<Worker> Add(const std::string& type, const std::string& zone,
                              double boot_seconds);

 private:
  struct Listed {
    std::string host;
    std::string text;
  };
  struct Snapshot {
    double at = 0;
    std::vector<Listed> machines;
  };

  net::Task<net::HttpResponse> Handle(net::HttpRequest request);
  std::string Types() const;
  net::HttpResponse Rent(const std::string& body);
  net::HttpResponse Delete(const std::string& body);
  net::HttpResponse List(const net::HttpRequest& request) const;
  net::Task<void> TakeSnapshots();
  MachineType& TypeOf(const std::string& name);

  Fleet& fleet_;
  std::vector<MachineType> types_;
  const CloudSettings settings_;
  Rate requests_;
  std::map<std::pair<std::string, std::string>, int> capacity_;
  std::map<std::string, std::string> rentals_;  // answers by name
  std::set<std::string> deleted_;
  std::deque<Snapshot> snapshots_;
  int machines_ = 0;
  net::HttpServer server_;
};

}  // namespace oxbow::review
