/// The event loop of a process: one thread that runs handlers of asynchronous operations and the fibers that wait for
/// them. Nothing here may be called from another thread, except through `io()`.
#pragma once
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>

#include "runtime/connection.hpp"
#include "runtime/waiter.hpp"

namespace zinccleat::runtime {
/// Runs fibers and handlers in turn on the thread that calls `run`. One loop at a time in a process.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  /// The loop constructed last.
  static EventLoop& get();
  /// The Boost.Asio context underneath. Posting to it is safe from any thread.
  asio::io_context& io();
  /// Runs handlers and fibers until `stop`.
  void run();
  /// Makes `run` return after the handler or fiber that is running.
  void stop();
  /// Starts a fiber; it first runs after the caller has given up the thread.
  void spawn(std::function<void()> body);
  /// Suspends the calling fiber for a time.
  void sleepFor(Duration duration);
  /// Suspends the calling fiber until the waiter is woken, at most for a time.
  /// @return false if the time passed first.
  bool waitFor(Waiter& waiter, Duration timeout);
  /// Calls a function at an interval, measured from the end of each call, until the loop stops.
  /// Call it before the first `run` or while the loop runs; a loop that was stopped schedules nothing.
  void callEvery(Duration interval, std::function<void()> function);
  /// Cancels a connection's operations once its deadline has passed, for as long as it has one.
  void watch(Connection& connection);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
}  // namespace zinccleat::runtime
