#include "proxy_daemon/proxy_daemon.hpp"

#include "config/run_daemon.hpp"
#include "proxy_daemon/daemon.hpp"

namespace zinccleat::proxy_daemon {
int runProxy(const config::Settings& settings) {
  runtime::EventLoop loop;
  ProxyDaemon proxy(settings);
  return config::runDaemon(
      loop, "proxy", settings,
      {.start = [&proxy] { return proxy.start(); },
       .shutDown = [&proxy] { proxy.shutDown(); },
       .reloadSettings = [&proxy](const config::Settings& changed) { proxy.reloadSettings(changed); }});
}
}  // namespace zinccleat::proxy_daemon
