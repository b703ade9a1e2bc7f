// The one thread: an io loop with fibers moored to it.
#pragma once
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/intrusive/list.hpp>

#include "runtime/common.hpp"

namespace zc {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Ec = boost::system::error_code;

// One fiber waits, one handler wakes it.
class Waiter {
 public:
  void wait();
  void wake();
  bool woken() const { return done_; }

 private:
  boost::fibers::context* ctx_ = nullptr;
  bool done_ = false;
};

class Connection;
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  static EventLoop& get();
  asio::io_context& io();
  void run();
  void stop();
  void launch(std::function<void()> f);
  void pause(Span d);
  bool waitFor(Waiter& w, Span d);  // false: the time was up first
  // Calls f every d until the loop stops.
  void every(Span d, std::function<void()> f);
  void watch(Connection& w);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A TCP connection whose operations park the calling fiber; a deadline passed cancels them.
class Connection : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  Connection();
  explicit Connection(tcp::socket s);
  ~Connection();
  Connection(const Connection&) = delete;
  std::size_t read(asio::mutable_buffer b, Ec& ec);
  // Writes all of b and returns how many bytes the kernel took. Only 0 together with an error says with certainty that
  // nothing of b can reach the far end.
  std::size_t write(asio::const_buffer b, Ec& ec);
  void connect(const tcp::endpoint& ep, Ec& ec);
  // Parks until bytes can be read, without reading them.
  void awaitReadable(Ec& ec);
  void due(Instant t);
  void undue() { due(Instant::max()); }
  bool late() const { return late_; }
  void shut();
  void cancel();
  tcp::socket& sock() { return sock_; }
  Instant dueAt() const { return due_; }
  void strike() {
    late_ = true;
    cancel();
  }

 private:
  tcp::socket sock_;
  Instant due_ = Instant::max();
  bool late_ = false, unblocked_ = false;
};
void tune(tcp::socket& s);  // no delay; a silent far end is given up in seconds
Outcome<tcp::endpoint> parseEndpoint(std::string_view s);
}  // namespace zc
