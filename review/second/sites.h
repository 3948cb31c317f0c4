// The two deployments, from their site files, with fewer machines.
#pragma once

#include "review/second/deployment.h"

namespace oxbow::review {

// Three controllers in kingston, mobay and mandeville; no machine at the start.
Site CitraKingston();
// Three controllers in windhoek and walvis; machines are up at the start.
Site DunefleetWindhoek();

}  // namespace oxbow::review
