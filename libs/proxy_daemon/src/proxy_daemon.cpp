#include "proxy_daemon/proxy_daemon.hpp"

#include "config/run_daemon.hpp"
#include "proxy_daemon/daemon.hpp"

namespace zinccleat::proxy_daemon {
void runProxy(const config::Settings& settings, runtime::Startup& startup) {
  runtime::EventLoop loop;
  ProxyDaemon proxy(settings);
  config::runDaemon(loop, "proxy", settings, startup,
                    {.start = [&proxy](runtime::Startup& waits) { return proxy.start(waits); },
                     .shutDown = [&proxy] { proxy.shutDown(); },
                     .reloadSettings = [&proxy](const config::Settings& changed) { proxy.reloadSettings(changed); }});
}
}  // namespace zinccleat::proxy_daemon
