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

namespace zinccleat {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
}  // namespace zinccleat
namespace zinccleat::runtime {
using SocketError = boost::system::error_code;

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
  void spawn(std::function<void()> f);
  // Parks the calling fiber for a time.
  void sleepFor(Duration d);
  // Waits for w, at most for d. False: the time was up first.
  bool waitFor(Waiter& w, Duration d);
  // Calls f every d until the loop stops.
  void callEvery(Duration d, std::function<void()> f);
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
  std::size_t read(asio::mutable_buffer b, SocketError& ec);
  // Writes all of b and returns how many bytes the kernel took. Only 0 together with an error says with certainty that
  // nothing of b can reach the far end.
  std::size_t write(asio::const_buffer b, SocketError& ec);
  void connect(const tcp::endpoint& ep, SocketError& ec);
  // Parks until bytes can be read, without reading them.
  void awaitReadable(SocketError& ec);
  // Sets the deadline: from t on operations are cancelled and deadlineExceeded() is true.
  void setDeadline(TimePoint t);
  void clearDeadline() { setDeadline(TimePoint::max()); }
  bool deadlineExceeded() const { return deadlineExceeded_; }
  // Closes the socket; operations under way end with an error.
  void close();
  // Cancels operations under way.
  void cancel();
  tcp::socket& socket() { return socket_; }
  TimePoint deadline() const { return deadline_; }
  // The deadline has passed: called by the loop.
  void onDeadline() {
    deadlineExceeded_ = true;
    cancel();
  }

 private:
  tcp::socket socket_;
  TimePoint deadline_ = TimePoint::max();
  bool deadlineExceeded_ = false, unblocked_ = false;
};
// No delay of small writes; a silent far end is given up within seconds.
void tune(tcp::socket& s);
// Reads "IP:PORT".
Result<tcp::endpoint> parseEndpoint(std::string_view s);
}  // namespace zinccleat::runtime
