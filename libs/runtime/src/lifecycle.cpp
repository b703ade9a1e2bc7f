#include "runtime/lifecycle.hpp"

#include <sys/stat.h>

#include <boost/asio/signal_set.hpp>

#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::runtime {
namespace {
std::int64_t changedAt(const std::string& path) {
  struct stat st {};
  if (::stat(path.c_str(), &st) != 0)
    return 0;
  return st.st_mtim.tv_sec * 1000000000LL + st.st_mtim.tv_nsec + st.st_size;
}
}  // namespace
void watchLifecycle(const std::string& path, Lifecycle l) {
  auto life = std::make_shared<Lifecycle>(std::move(l));
  auto set = std::make_shared<asio::signal_set>(EventLoop::get().io(), SIGTERM, SIGINT);
  set->add(SIGHUP);
  set->add(SIGUSR1);
  auto seen = std::make_shared<std::int64_t>(changedAt(path));
  auto step = std::make_shared<std::function<void()>>();
  *step = [set, life, step] {
    set->async_wait([set, life, step](SocketError ec, int sig) {
      if (ec)
        return;
      if (sig == SIGHUP)
        life->onSettings();
      else if (sig == SIGUSR1)
        log::dump();
      else
        life->onTerm();
      (*step)();
    });
  };
  (*step)();
  EventLoop::get().callEvery(2000ms, [path, seen, life] {
    const auto at = changedAt(path);
    if (at == *seen)
      return;
    *seen = at;
    life->onSettings();
  });
}
}  // namespace zinccleat::runtime
