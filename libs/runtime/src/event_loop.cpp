#include "runtime/event_loop.hpp"

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/type.hpp>
#include <csignal>
#include <cstddef>

#include "fiber_stacks.hpp"

namespace zinccleat::runtime {
namespace {
constexpr auto kDeadlineCheckInterval = 20ms;
EventLoop* currentLoop = nullptr;

/// A first-in, first-out scheduler that counts the runnable fibers, without Boost.Fiber's dispatcher fiber. The event
/// loop needs the count to decide whether to run fibers or to wait for input and output; Boost.Fiber's own scheduler
/// does not expose it.
class FifoScheduler final : public boost::fibers::algo::algorithm {
 public:
  /// @param runnable the counter of runnable fibers, which the scheduler updates.
  explicit FifoScheduler(int* runnable) : runnable_(runnable) {}
  void awakened(boost::fibers::context* fiber) noexcept override {
    if (!isDispatcher(*fiber))
      ++*runnable_;
    fiber->ready_link(queue_);
  }
  boost::fibers::context* pick_next() noexcept override {
    if (queue_.empty())
      return nullptr;
    auto* fiber = &queue_.front();
    queue_.pop_front();
    if (!isDispatcher(*fiber))
      --*runnable_;
    return fiber;
  }
  bool has_ready_fibers() const noexcept override { return !queue_.empty(); }
  void suspend_until(const std::chrono::steady_clock::time_point&) noexcept override {}
  void notify() noexcept override {}

 private:
  static bool isDispatcher(const boost::fibers::context& fiber) {
    return fiber.is_context(boost::fibers::type::dispatcher_context);
  }
  boost::fibers::scheduler::ready_queue_type queue_;
  int* runnable_;
};
}  // namespace

struct EventLoop::Impl {
  asio::io_context io{1};
  int runnable = 0;  // number of runnable fibers
  bool stopped = false;
  FiberStackAllocator stacks{std::make_shared<FiberStackPool>()};
  boost::intrusive::list<Connection, boost::intrusive::constant_time_size<false>> withDeadline;
  asio::steady_timer deadlineCheck{io};
  bool deadlineCheckPending = false;

  void scheduleDeadlineCheck() {
    deadlineCheckPending = true;
    deadlineCheck.expires_after(kDeadlineCheckInterval);
    deadlineCheck.async_wait([this](SocketError ec) {
      deadlineCheckPending = false;
      if (ec || stopped)
        return;
      checkDeadlines();
      if (!withDeadline.empty())
        scheduleDeadlineCheck();
    });
  }
  void checkDeadlines() {
    const auto now = Clock::now();
    for (auto it = withDeadline.begin(); it != withDeadline.end();) {
      auto& connection = *it++;  // advanced before use, because the connection may unlink itself from the list
      if (connection.deadline() <= now)
        connection.onDeadline();
    }
  }
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {
  currentLoop = this;
  std::signal(SIGPIPE, SIG_IGN);
  boost::fibers::use_scheduling_algorithm<FifoScheduler>(&impl_->runnable);
}
EventLoop::~EventLoop() = default;
EventLoop& EventLoop::get() {
  return *currentLoop;
}
asio::io_context& EventLoop::io() {
  return impl_->io;
}
void EventLoop::stop() {
  impl_->stopped = true;
  impl_->io.stop();
}
void EventLoop::run() {
  impl_->stopped = false;
  impl_->io.restart();
  const auto keepRunning = asio::make_work_guard(impl_->io);
  while (!impl_->stopped) {
    while (impl_->runnable > 0)
      boost::this_fiber::yield();
    if (!impl_->stopped)
      impl_->io.run_one();
  }
}
void EventLoop::spawn(std::function<void()> body) {
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, impl_->stacks, std::move(body)).detach();
}
void EventLoop::sleepFor(Duration duration) {
  asio::steady_timer timer(impl_->io, duration);
  Waiter waiter;
  timer.async_wait([&](SocketError) { waiter.wake(); });
  waiter.wait();
}
void EventLoop::yield() {
  Waiter waiter;
  asio::post(impl_->io, [&] { waiter.wake(); });
  waiter.wait();
}
bool EventLoop::waitFor(Waiter& waiter, Duration timeout) {
  bool timedOut = false;
  bool handlerRan = false;
  asio::steady_timer timer(impl_->io, timeout);
  timer.async_wait([&](SocketError ec) {
    handlerRan = true;
    timedOut = !ec;
    waiter.wake();
  });
  waiter.wait();
  if (timedOut)
    return false;
  // The timer's handler refers to local variables of this function, so it must run before the function returns.
  timer.cancel();
  while (!handlerRan)
    waiter.wait();
  return true;
}
void EventLoop::watch(Connection& connection) {
  if (!connection.is_linked())
    impl_->withDeadline.push_back(connection);
  if (!impl_->deadlineCheckPending)
    impl_->scheduleDeadlineCheck();
}

namespace {
/// A function that is called periodically. The handler of the pending timer owns this object.
class RepeatedCall : public std::enable_shared_from_this<RepeatedCall> {
 public:
  /// @param stopped set when the event loop was stopped; no further calls are scheduled then.
  RepeatedCall(asio::io_context& io, const bool& stopped, Duration interval, std::function<void()> function)
      : timer_(io), stopped_(stopped), interval_(interval), function_(std::move(function)) {}
  void schedule() {
    if (stopped_)
      return;
    timer_.expires_after(interval_);
    timer_.async_wait([self = shared_from_this()](SocketError ec) {
      if (ec)
        return;
      self->function_();
      self->schedule();
    });
  }

 private:
  asio::steady_timer timer_;
  const bool& stopped_;
  Duration interval_;
  std::function<void()> function_;
};
}  // namespace
void EventLoop::callEvery(Duration interval, std::function<void()> function) {
  std::make_shared<RepeatedCall>(impl_->io, impl_->stopped, interval, std::move(function))->schedule();
}
}  // namespace zinccleat::runtime
