/// Suspends one fiber until a handler of the event loop wakes it.
#pragma once
#include <boost/fiber/context.hpp>
namespace zinccleat::runtime {
/// A one-shot event between one handler and one fiber, both on the event loop's thread. Usable again after `wait`
/// has returned.
class Waiter {
 public:
  /// Suspends the calling fiber until `wake` is called; returns at once if it was called already.
  void wait();
  /// Makes the waiting fiber runnable. Further calls before `wait` returns have no effect.
  void wake();
  /// Whether `wake` was called and `wait` has not returned since.
  bool woken() const { return woken_; }

 private:
  boost::fibers::context* waiting_ = nullptr;
  bool woken_ = false;
};
}  // namespace zinccleat::runtime
