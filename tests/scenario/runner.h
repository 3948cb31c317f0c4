// Runs one scenario file against the simulation. A line is a command; # begins
// a comment.
#pragma once

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "tests/sim.h"

namespace oxbow::test {

class ScenarioRunner {
 public:
  // Fails the test that runs on the first unknown command, on each expectation
  // that does not hold, and on each broken rule of the simulation.
  void Run(const std::string& path);

 private:
  // Words of the form key=value, or key alone, whose value is then "1".
  using Options = std::map<std::string, std::string>;

  static Options ReadOptions(std::istringstream& words);
  static double Number(const Options& options, const std::string& key,
                       double fallback);

  void Execute(const std::string& verb, std::istringstream& words);
  void Flood(std::istringstream& words);
  void Disturb(SimWorker& worker, const std::string& word,
               std::istringstream& words);
  static void ReadController(SimController& controller, const std::string& word,
                             std::istringstream& words);
  MaintenanceWindow ReadMaintenanceWindow(std::istringstream& words) const;
  static RolloutSpec ReadRollout(std::istringstream& words);
  void ReadTier(std::istringstream& words);
  void Submit(std::istringstream& words);
  void Expect(std::istringstream& words);

  Sim sim_;
  std::vector<Tier> tiers_;
  int flooded_ = 900'000;  // the last job of a flood
  int expectations_ = 0;
  bool broken_expected_ = false;
};

}  // namespace oxbow::test
