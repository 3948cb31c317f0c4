// Faults of workers and of controllers in a scenario file.
#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "tests/scenario/runner.h"

namespace oxbow::test {

void ScenarioRunner::Disturb(SimWorker& worker, const std::string& word,
                             std::istringstream& words) {
  if (word == "dies") {
    worker.dead = true;
    worker.died_at = sim_.now();
  } else if (word == "answers-cut") {
    // answers-cut [S]: its heartbeats come to the leader so far apart
    worker.answers_cut = true;
    words >> worker.retry_seconds;
    if (!words) worker.retry_seconds = SimWorker().retry_seconds;
  } else if (word == "answers-open") {
    worker.answers_cut = false;
  } else if (word == "copies")
    words >> worker.copy_after;  // copies S: every heartbeat again, S later
  else if (word == "hangs")
    worker.hung = true;
  else if (word == "resumes")
    worker.hung = false;
  else if (word == "cut" || word == "mute")
    worker.heartbeats_cut = true;  // commands still reach it
  else if (word == "healed")
    worker.heartbeats_cut = false;
  else if (word == "orders-cut")
    worker.commands_cut = true;
  else if (word == "orders-open")
    worker.commands_cut = false;
  else if (word == "kept")
    worker.kept = true;
  else if (word == "not-kept")
    worker.kept = false;
  else if (word == "by-way-of")
    words >> worker.by_way;
  else if (word == "sound")
    worker.faulty = false;
  else if (word == "faulty")
    worker.faulty = true;
  else if (word == "refuses-starts" || word == "accepts-starts")
    worker.refuses_starts = word == "refuses-starts";
  else if (word == "notice") {
    double seconds = 0;
    words >> seconds;
    worker.notice = seconds;
  } else
    FAIL() << "unknown fault";
}

void ScenarioRunner::ReadController(SimController& controller,
                                    const std::string& word,
                                    std::istringstream& words) {
  if (word == "deaf") {
    controller.in_cut = controller.out_cut = true;
  } else if (word == "hears") {
    controller.in_cut = controller.out_cut = false;
    controller.unheard.clear();
  } else if (word == "deaf-in") {
    controller.in_cut = true;
  } else if (word == "deaf-out") {
    controller.out_cut = true;
  } else if (word == "gone" || word == "back") {
    controller.gone = word == "gone";
  } else if (word == "refused" || word == "open") {
    controller.refused = word == "refused";
  } else if (word == "no-state" || word == "state") {
    controller.no_state = word == "no-state";
  } else if (word == "dies-on-offer") {
    controller.dies_on_offer = true;
  } else if (word == "zone") {
    words >> controller.zone;
  } else if (word == "unheard") {
    std::string host;
    while (words >> host) controller.unheard.insert(host);
  } else if (word == "wall-off") {
    words >> controller.wall_off;
  } else {
    FAIL() << "unknown state of a controller";
  }
}

}  // namespace oxbow::test
