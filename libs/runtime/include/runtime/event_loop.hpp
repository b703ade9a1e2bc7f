/// The event loop of a process: a single thread that runs the handlers of asynchronous operations and the fibers that
/// wait for them. Other threads may use the loop only by posting to `io()`.
#pragma once
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>

#include "runtime/connection.hpp"
#include "runtime/waiter.hpp"

namespace zinccleat::runtime {
/// Runs fibers and handlers alternately on the thread that calls `run`. At most one loop exists in a process at a time.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  /// The most recently constructed loop.
  static EventLoop& get();
  /// The underlying Boost.Asio context. Posting to it is safe from any thread.
  asio::io_context& io();
  /// Runs handlers and fibers until `stop`.
  void run();
  /// Makes `run` return after the current handler or fiber.
  void stop();
  /// Starts a fiber, which first runs after the caller has yielded the thread.
  void spawn(std::function<void()> body);
  /// Suspends the calling fiber for a time.
  void sleepFor(Duration duration);
  /// Suspends the calling fiber until the handlers and the input that are pending now have been handled. A fiber that
  /// finds all that it needs in memory calls this between two units of work, so that others get their turn.
  void yield();
  /// Suspends the calling fiber until the waiter is woken or the timeout expires.
  /// @return false if the timeout expired first.
  bool waitFor(Waiter& waiter, Duration timeout);
  /// Calls a function periodically until the loop stops. The interval is measured from the end of each call.
  /// `callEvery` may be called before the first `run` or while the loop runs; a stopped loop schedules no calls.
  void callEvery(Duration interval, std::function<void()> function);
  /// Adds a connection to those whose deadlines are checked; its pending operations are cancelled when the deadline
  /// has passed.
  void watch(Connection& connection);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
}  // namespace zinccleat::runtime
