#include "review/second/job.h"

#include <fmt/format.h>

namespace oxbow::review {

std::string Job::Body() const {
  return fmt::format(
      R"({{"id":"{}","duty":"{}","crew":"{}","form":"{}","standing":"{}",)"
      R"("legs":{},"cores":{:.1f},"accelerators":{:.1f},"memory_gb":{:.1f},)"
      R"("build":"{}","size_gb":{:.2f},"fleets":null,"yard":{},)"
      R"("together":{},"scatter":{},"loaner":false,"reckon_s":{:.1f},)"
      R"("bookmark_s":{:.1f},"stow_s":{:.1f},"due_s":null}})",
      id, job_class, team, form, standing, tasks, cores, accelerators,
      memory_gb, image, image_gb, zone.empty() ? "null" : "\"" + zone + "\"",
      in_one_zone, spread, run_seconds, checkpoint_seconds, save_seconds);
}

}  // namespace oxbow::review
