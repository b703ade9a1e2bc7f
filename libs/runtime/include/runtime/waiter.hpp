/// Lets a handler of the event loop wake a suspended fiber.
#pragma once
#include <boost/fiber/context.hpp>
namespace zinccleat::runtime {
/// A one-shot event between one handler and one fiber, both on the event loop's thread. The waiter can be reused after
/// `wait` has returned.
class Waiter {
 public:
  /// Suspends the calling fiber until `wake` is called. Returns immediately if `wake` was called before.
  void wait();
  /// Makes the waiting fiber runnable. Further calls before `wait` returns have no effect.
  void wake();
  /// Whether `wake` was called and `wait` has not returned since that call.
  bool woken() const { return woken_; }

 private:
  boost::fibers::context* waiting_ = nullptr;
  bool woken_ = false;
};
}  // namespace zinccleat::runtime
