#include "app/options.h"

#include <confuse.h>

#include <array>
#include <cstdarg>
#include <cstdio>
#include <memory>
#include <string>

namespace oxbow::app {
namespace {

// One option of the tuning file and the range of its valid values.
struct Entry {
  const char* block;
  const char* name;
  double Tuning::*field;
  double min;
  double max;
};

constexpr std::array kEntries = {
    Entry{"placement", "fetch_weight", &Tuning::fetch_weight, 0, 100},
    Entry{"placement", "spread_weight", &Tuning::spread_weight, 0, 100},
    Entry{"placement", "pack_weight", &Tuning::pack_weight, 0, 100},
    Entry{"placement", "accelerator_weight", &Tuning::accelerator_weight, 0,
          100},
    Entry{"placement", "price_weight", &Tuning::price_weight, 0, 100},
    Entry{"queue", "begin_within_s", &Tuning::begin_within_seconds, 0, 1e6},
    Entry{"queue", "floor_share", &Tuning::minimum_share, 0, 1},
    Entry{"placement", "piece_weight", &Tuning::fragmentation_weight, 0, 100},
    Entry{"leadership", "lease_ratio", &Tuning::leader_lease_ratio, 0.05, 0.8},
    Entry{"machines", "suspect_ratio", &Tuning::suspect_ratio, 0.1, 1},
    Entry{"machines", "give_up_ratio", &Tuning::give_up_ratio, 0.2, 1},
    Entry{"machines", "idle_return_leases", &Tuning::idle_return_leases, 1,
          1e6},
    Entry{"machines", "boot_patience", &Tuning::boot_timeout_ratio, 1, 100},
    Entry{"leadership", "keeper_ratio", &Tuning::delegation_ratio, 0, 0.3},
    Entry{"leadership", "keep_zones", &Tuning::delegate_to_zones, 0, 1},
    Entry{"leadership", "doubt_share", &Tuning::troubled_share, 0.01, 1},
    Entry{"leadership", "deaf_share", &Tuning::deaf_share, 0, 0.9},
    Entry{"leadership", "most_hand_overs", &Tuning::max_leadership_transfers, 0,
          100},
    Entry{"limits", "window_leases", &Tuning::limit_window_leases, 0.1, 100},
    Entry{"limits", "silent_share", &Tuning::silent_share, 0, 1},
    Entry{"limits", "unlisted_share", &Tuning::unlisted_share, 0, 1},
    Entry{"limits", "never_up_share", &Tuning::never_up_share, 0, 1},
    Entry{"limits", "idle_share", &Tuning::idle_share, 0, 1},
    Entry{"limits", "moved_share", &Tuning::moved_share, 0, 1},
    Entry{"limits", "distrusted_share", &Tuning::distrusted_share, 0, 1},
    Entry{"limits", "zone_share", &Tuning::zone_share, 0, 1},
    Entry{"limits", "service_share", &Tuning::service_share, 0, 1},
    Entry{"recovery", "checks_per_lease", &Tuning::recovery_checks, 0, 100},
    Entry{"recovery", "pages_per_lease", &Tuning::recovery_pages, 0, 100},
    Entry{"calendar", "enabled", &Tuning::calendar_on, 0, 1},
    Entry{"rollouts", "at_once", &Tuning::rollouts_at_once, 0, 64},
    Entry{"rollouts", "check_share", &Tuning::rollout_check_share, 0.001, 0.5},
    Entry{"moves", "at_once", &Tuning::moves_at_once, 0, 100},
    Entry{"moves", "budget", &Tuning::moves_budget, 1, 1000},
    Entry{"moves", "cool_leases", &Tuning::moves_cool_leases, 1, 100},
    Entry{"moves", "zone_share", &Tuning::moves_zone_share, 0, 1},
    Entry{"moves", "team_share", &Tuning::moves_team_share, 0, 1},
    Entry{"moves", "service_share", &Tuning::moves_service_share, 0, 0.5},
    Entry{"rollouts", "cpu_share", &Tuning::rollout_cpu_share, 0.01, 0.5},
    Entry{"tiers", "follow", &Tuning::tiers, 0, 1},
};

// Receives the first error while a file is parsed, else null. A global, because
// libConfuse passes no context to its error callback.
std::string* g_error = nullptr;

void OnError(cfg_t* cfg, const char* format, va_list args) {
  if (g_error == nullptr || !g_error->empty()) return;
  std::array<char, 256> text;
  vsnprintf(text.data(), text.size(), format, args);
  *g_error = std::string(cfg != nullptr && cfg->filename ? cfg->filename : "") +
             ": " + text.data();
}

}  // namespace

std::string LoadTuning(const std::string& path, Tuning* out) {
  constexpr std::array kBlocks = {
      "placement", "queue",    "leadership", "machines", "limits",
      "rollouts",  "recovery", "tiers",      "calendar", "moves"};
  constexpr size_t kMaxOptionsPerBlock = 16;
  std::array<std::array<cfg_opt_t, kMaxOptionsPerBlock>, kBlocks.size()> blocks;
  for (size_t b = 0; b < kBlocks.size(); ++b) {
    size_t n = 0;
    for (const Entry& e : kEntries) {
      if (std::string(e.block) != kBlocks[b]) continue;
      const cfg_opt_t option = CFG_FLOAT(e.name, out->*e.field, CFGF_NONE);
      blocks[b][n++] = option;
    }
    const cfg_opt_t end = CFG_END();
    blocks[b][n] = end;
  }
  std::array<cfg_opt_t, kBlocks.size() + 1> options;
  for (size_t b = 0; b < kBlocks.size(); ++b) {
    const cfg_opt_t section = CFG_SEC(kBlocks[b], blocks[b].data(), CFGF_NONE);
    options[b] = section;
  }
  const cfg_opt_t none = CFG_END();
  options.back() = none;
  const std::unique_ptr<cfg_t, decltype(&cfg_free)> cfg(
      cfg_init(options.data(), CFGF_NONE), &cfg_free);
  std::string error;
  g_error = &error;
  cfg_set_error_function(cfg.get(), OnError);
  const int result = cfg_parse(cfg.get(), path.c_str());
  g_error = nullptr;
  if (result == CFG_FILE_ERROR) return "cannot read " + path;
  if (result != CFG_SUCCESS) {
    return error.empty() ? path + ": invalid syntax" : error;
  }
  for (const Entry& e : kEntries) {
    const double value = cfg_getfloat(cfg_getsec(cfg.get(), e.block), e.name);
    if (!(value >= e.min && value <= e.max)) {
      return path + ": " + e.block + "." + e.name + " is out of range";
    }
    out->*e.field = value;
  }
  return {};
}

}  // namespace oxbow::app
