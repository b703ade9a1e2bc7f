// The event loop of a process's one thread: asynchronous input and output, with fibers that wait for it.
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

// Lets one fiber wait until one handler wakes it.
class Waiter {
 public:
  // Parks the calling fiber until wake(); returns at once if that was called already.
  void wait();
  void wake();
  bool woken() const { return done_; }

 private:
  boost::fibers::context* ctx_ = nullptr;
  bool done_ = false;
};

class Connection;
// Runs fibers and handlers in turn on the thread that calls run(). One loop at a time in a process.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  // The loop made last.
  static EventLoop& get();
  asio::io_context& io();
  // Runs until stop().
  void run();
  void stop();
  // Starts a fiber.
  void launch(std::function<void()> f);
  // Parks the calling fiber for a time.
  void pause(Span d);
  // Waits for w, at most for d. False: the time was up first.
  bool waitFor(Waiter& w, Span d);
  // Calls f every d until the loop stops.
  void every(Span d, std::function<void()> f);
  // Looks after the deadline of a connection, as long as it is linked.
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
  Connection& operator=(const Connection&) = delete;
  // Reads what is there, waiting for at least a byte.
  std::size_t read(asio::mutable_buffer b, Ec& ec);
  // Writes all of b and returns how many bytes the kernel took. Only 0 together with an error says with certainty that
  // nothing of b can reach the far end.
  std::size_t write(asio::const_buffer b, Ec& ec);
  void connect(const tcp::endpoint& ep, Ec& ec);
  // Parks until bytes can be read, without reading them.
  void awaitReadable(Ec& ec);
  // Sets the deadline: from t on operations are cancelled and late() is true.
  void due(Instant t);
  void undue() { due(Instant::max()); }
  bool late() const { return late_; }
  // Closes the socket; operations under way end with an error.
  void shut();
  // Cancels operations under way.
  void cancel();
  tcp::socket& sock() { return sock_; }
  Instant dueAt() const { return due_; }
  // The deadline has passed: called by the loop.
  void strike() {
    late_ = true;
    cancel();
  }

 private:
  tcp::socket sock_;
  Instant due_ = Instant::max();
  bool late_ = false, unblocked_ = false;
};
// No delay of small writes; a silent far end is given up within seconds.
void tune(tcp::socket& s);
// Reads "IP:PORT".
Outcome<tcp::endpoint> parseEndpoint(std::string_view s);
}  // namespace zc
