#include "runtime/waiter.hpp"

namespace zinccleat::runtime {
void Waiter::wait() {
  if (!woken_) {
    waiting_ = boost::fibers::context::active();
    waiting_->suspend();
    waiting_ = nullptr;
  }
  woken_ = false;
}
void Waiter::wake() {
  if (woken_)
    return;
  woken_ = true;
  if (waiting_)
    boost::fibers::context::active()->schedule(waiting_);
}
}  // namespace zinccleat::runtime
