#include "transport/dialer.hpp"

#include "runtime/log_ring.hpp"

namespace zinccleat::transport {
namespace {
constexpr auto kUnansweredTimeout = 900ms;
constexpr auto kUnansweredCheckInterval = 100ms;
// Short, because a SYN sent to a machine that is not up yet is lost, and TCP retransmits it only after one second.
constexpr auto kConnectTimeout = 300ms;
constexpr auto kFastRetryDelay = 30ms;
constexpr auto kSlowRetryDelay = 150ms;
constexpr int kMaxFastRetries = 8;  // consecutive failures before the longer delay
constexpr int kFailuresPerLogLine = 200;
}  // namespace

struct Dialer::Impl : std::enable_shared_from_this<Dialer::Impl> {
  tcp::endpoint endpoint;
  PeerLink::OnMessage onMessage;
  OnConnected onConnected;
  PeerLinkPtr link;
  bool released = false;
  int failures = 0;  // since the last established connection

  void start() {
    runtime::EventLoop::get().spawn([self = shared_from_this()] { self->keepConnected(); });
  }
  void keepConnected() {
    while (!released) {
      if (auto connected = connect()) {
        link = std::move(connected);
        monitorUntilClosed();
        link.reset();
      }
      if (!released)
        runtime::EventLoop::get().sleepFor(failures < kMaxFastRetries ? kFastRetryDelay : kSlowRetryDelay);
    }
  }
  /// Makes one connection attempt. Returns null if the attempt failed or the dialer was released in the meantime.
  PeerLinkPtr connect() {
    runtime::Connection connection;
    connection.setDeadline(Clock::now() + kConnectTimeout);
    runtime::SocketError ec;
    connection.connect(endpoint, ec);
    connection.clearDeadline();
    if (ec) {
      if (failures++ % kFailuresPerLogLine == 0)
        log::debug("peer_unreachable", {{"peer", endpoint.address().to_string()},
                                        {"reason", connection.deadlineExceeded() ? "no answer" : ec.message()},
                                        {"failures", failures}});
      return nullptr;
    }
    if (released)
      return nullptr;
    failures = 0;
    return std::make_shared<PeerLink>(std::move(connection.socket()), onMessage, [](const PeerLinkPtr&) {});
  }
  void monitorUntilClosed() const {
    const auto current = link;
    current->start();
    onConnected(current);
    while (!released && current->open()) {
      runtime::EventLoop::get().sleepFor(kUnansweredCheckInterval);
      const auto since = current->unansweredSince();
      if (since != TimePoint::max() && Clock::now() - since > kUnansweredTimeout)
        current->close();
    }
    current->close();
  }
};

Dialer::Dialer(tcp::endpoint endpoint, PeerLink::OnMessage onMessage, OnConnected onConnected)
    : impl_(std::make_shared<Impl>()) {
  impl_->endpoint = std::move(endpoint);
  impl_->onMessage = std::move(onMessage);
  impl_->onConnected = std::move(onConnected);
  impl_->start();
}
Dialer::~Dialer() {
  release();
}
bool Dialer::send(const Envelope& envelope) {
  if (!up())
    return false;
  impl_->link->send(envelope);
  return true;
}
bool Dialer::up() const {
  return impl_->link && impl_->link->open();
}
PeerLinkPtr Dialer::link() const {
  return impl_->link;
}
void Dialer::release() {
  impl_->released = true;
  if (impl_->link)
    impl_->link->close();
}
}  // namespace zinccleat::transport
