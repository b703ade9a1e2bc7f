#include "runtime/event_loop.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/type.hpp>
#include <csignal>
#include <cstddef>

#include "fiber_stacks.hpp"

namespace zinccleat::runtime {
namespace {
constexpr auto kDeadlineCheckInterval = 20ms;
constexpr unsigned kUserTimeoutMs = 4000;  // unacknowledged data gives a connection up
EventLoop* g_loop = nullptr;

// A first-in, first-out scheduler. Why one of our own: the io loop must know whether any fiber but itself and the
// library's dispatcher can run, or it would spin or sleep wrongly.
class FifoScheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit FifoScheduler(int* ready) : ready_(ready) {}
  void awakened(boost::fibers::context* c) noexcept override {
    if (!c->is_context(boost::fibers::type::dispatcher_context))
      ++*ready_;
    c->ready_link(queue_);
  }
  boost::fibers::context* pick_next() noexcept override {
    if (queue_.empty())
      return nullptr;
    auto* c = &queue_.front();
    queue_.pop_front();
    if (!c->is_context(boost::fibers::type::dispatcher_context))
      --*ready_;
    return c;
  }
  bool has_ready_fibers() const noexcept override { return !queue_.empty(); }
  void suspend_until(const std::chrono::steady_clock::time_point&) noexcept override {}
  void notify() noexcept override {}

 private:
  using Queue = boost::fibers::scheduler::ready_queue_type;
  Queue queue_;
  int* ready_;
};
}  // namespace

void Waiter::wait() {
  if (!done_) {
    ctx_ = boost::fibers::context::active();
    ctx_->suspend();
    ctx_ = nullptr;
  }
  done_ = false;
}
void Waiter::wake() {
  if (done_)
    return;
  done_ = true;
  if (ctx_)
    boost::fibers::context::active()->schedule(ctx_);
}

struct EventLoop::Impl {
  asio::io_context io{1};
  int ready = 0;
  bool stopped = false;
  FiberStackAllocator stacks{std::make_shared<FiberStackPool>()};
  boost::intrusive::list<Connection, boost::intrusive::constant_time_size<false>> watched;
  asio::steady_timer sweep{io};
  bool sweeping = false;
  void arm() {
    sweeping = true;
    sweep.expires_after(kDeadlineCheckInterval);
    sweep.async_wait([this](SocketError ec) {
      sweeping = false;
      if (ec || stopped)
        return;
      const auto now = Clock::now();
      for (auto it = watched.begin(); it != watched.end();) {
        auto& w = *it++;
        if (w.deadline() <= now)
          w.onDeadline();
      }
      if (!watched.empty())
        arm();
    });
  }
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {
  g_loop = this;
  std::signal(SIGPIPE, SIG_IGN);
  boost::fibers::use_scheduling_algorithm<FifoScheduler>(&impl_->ready);
}
EventLoop::~EventLoop() = default;
EventLoop& EventLoop::get() {
  return *g_loop;
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
  auto keep = asio::make_work_guard(impl_->io);
  while (!impl_->stopped) {
    while (impl_->ready > 0)
      boost::this_fiber::yield();
    if (!impl_->stopped)
      impl_->io.run_one();
  }
}
void EventLoop::spawn(std::function<void()> f) {
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, impl_->stacks, std::move(f)).detach();
}
void EventLoop::sleepFor(Duration d) {
  asio::steady_timer t(impl_->io, d);
  Waiter w;
  t.async_wait([&](SocketError) { w.wake(); });
  w.wait();
}
bool EventLoop::waitFor(Waiter& w, Duration d) {
  bool timedOut = false;
  bool fired = false;
  asio::steady_timer t(impl_->io, d);
  t.async_wait([&](SocketError ec) {
    fired = true;
    if (!ec)
      timedOut = true;
    w.wake();
  });
  w.wait();
  if (!timedOut) {
    // The handler refers to this frame, so it must have run before the frame goes.
    t.cancel();
    while (!fired) {
      w.wait();
    }
    return true;
  }
  return false;
}
void EventLoop::callEvery(Duration d, std::function<void()> f) {
  auto t = std::make_shared<asio::steady_timer>(impl_->io);
  auto fn = std::make_shared<std::function<void()>>(std::move(f));
  auto step = std::make_shared<std::function<void()>>();
  std::weak_ptr<std::function<void()>> weak = step;
  *step = [this, t, fn, d, step] {
    if (impl_->stopped)
      return;
    t->expires_after(d);
    t->async_wait([fn, step](SocketError ec) {
      if (ec)
        return;
      (*fn)();
      (*step)();
    });
  };
  (*step)();
}
void EventLoop::watch(Connection& w) {
  if (!w.is_linked())
    impl_->watched.push_back(w);
  if (!impl_->sweeping)
    impl_->arm();
}

Connection::Connection() : socket_(EventLoop::get().io()) {}
Connection::Connection(tcp::socket s) : socket_(std::move(s)) {}
Connection::~Connection() {
  close();
}
void Connection::setDeadline(TimePoint t) {
  deadline_ = t;
  deadlineExceeded_ = false;
  if (t == TimePoint::max()) {
    if (is_linked())
      unlink();
  } else {
    EventLoop::get().watch(*this);
  }
}
std::size_t Connection::read(asio::mutable_buffer b, SocketError& ec) {
  std::size_t got = 0;
  Waiter w;
  socket_.async_read_some(b, [&](SocketError e, std::size_t n) {
    ec = e;
    got = n;
    w.wake();
  });
  w.wait();
  return got;
}
std::size_t Connection::write(asio::const_buffer b, SocketError& ec) {
  // Why straight first: most writes fit the socket's window, and a parked fiber costs a wake-up.
  if (!unblocked_) {
    socket_.non_blocking(true, ec);
    unblocked_ = true;
  }
  auto written = socket_.send(asio::buffer(b), MSG_NOSIGNAL, ec);
  if (ec == asio::error::would_block)
    ec = {};
  else if (ec)
    return 0;
  if (written >= b.size())
    return written;
  b += written;
  Waiter w;
  asio::async_write(socket_, asio::buffer(b), [&](SocketError e, std::size_t n) {
    ec = e;
    written += n;
    w.wake();
  });
  w.wait();
  return written;
}
void Connection::connect(const tcp::endpoint& ep, SocketError& ec) {
  Waiter w;
  socket_.open(ep.protocol(), ec);
  if (ec)
    return;
  tune(socket_);
  socket_.async_connect(ep, [&](SocketError e) {
    ec = e;
    w.wake();
  });
  w.wait();
}
void Connection::awaitReadable(SocketError& ec) {
  Waiter w;
  socket_.async_wait(tcp::socket::wait_read, [&](SocketError e) {
    ec = e;
    w.wake();
  });
  w.wait();
}
void Connection::close() {
  SocketError ec;
  if (is_linked())
    unlink();
  if (socket_.is_open())
    socket_.close(ec);
}
void Connection::cancel() {
  SocketError ec;
  if (socket_.is_open())
    socket_.cancel(ec);
}
void tune(tcp::socket& s) {
  SocketError ec;
  s.set_option(tcp::no_delay(true), ec);
  ::setsockopt(s.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
}
Result<tcp::endpoint> parseEndpoint(std::string_view s) {
  const auto c = s.rfind(':');
  if (c == s.npos)
    return makeError(ErrorCode::invalidArgument, "no port in address '" + std::string(s) + "'");
  SocketError ec;
  const auto ip = asio::ip::make_address(std::string(s.substr(0, c)), ec);
  if (ec)
    return makeError(ErrorCode::invalidArgument, "no IP number in address '" + std::string(s) + "'");
  unsigned port = 0;
  for (char ch : s.substr(c + 1)) {
    if (ch < '0' || ch > '9' || port > 65535)
      return makeError(ErrorCode::invalidArgument, "no port in address '" + std::string(s) + "'");
    port = port * 10 + static_cast<unsigned>(ch - '0');
  }
  if (port == 0 || port > 65535)
    return makeError(ErrorCode::invalidArgument, "no port in address '" + std::string(s) + "'");
  return tcp::endpoint(ip, static_cast<unsigned short>(port));
}
}  // namespace zinccleat::runtime
