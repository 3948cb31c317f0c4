// Logs the use of a controller's connections whenever connections have been
// refused or could not be opened, so that an operator on call sees the cause.
#pragma once

#include <cstdint>

#include "app/leader_runtime.h"
#include "core/model/settings.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Only reads the objects that it is constructed with. They and this object must
// live as long as the event loop.
class ConnectionLog {
 public:
  ConnectionLog(net::Loop& loop, const Settings& settings,
                const net::HttpServer& server,
                const LeaderRuntime& leader_runtime);
  void Start();

 private:
  net::Task<void> Run();
  void LogChange();

  net::Loop& loop_;
  const net::HttpServer& server_;
  const LeaderRuntime& leader_runtime_;
  const double interval_seconds_;
  uint64_t last_failures_ = 0;
};

}  // namespace oxbow::app
