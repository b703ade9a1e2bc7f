#include "fiber_run.hpp"

#include "runtime/event_loop.hpp"

namespace zinccleat::operations {
int runOnEventLoop(const std::function<int()>& function) {
  runtime::EventLoop loop;
  int result = 0;
  loop.spawn([&] {
    result = function();
    loop.stop();
  });
  loop.run();
  return result;
}
}  // namespace zinccleat::operations
