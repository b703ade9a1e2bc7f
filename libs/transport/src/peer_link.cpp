#include "transport/peer_link.hpp"

#include <boost/asio/write.hpp>
#include <cstddef>

#include "runtime/log_ring.hpp"
#include "transport/zone_traffic.hpp"

namespace zinccleat::transport {
namespace {
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::size_t kChargedFrameBytes = 2 * kReadBytes;  // part of the fixed charge of an accepted link
constexpr Duration kMemoryWait{500};
constexpr std::size_t kMaxBacklogBytes = std::size_t{48} << 20;
}  // namespace

struct PeerLink::Impl {
  std::shared_ptr<runtime::ServedConnection> served;  // null for a link that this process dialled
  std::optional<runtime::Connection> dialled;
  runtime::Connection& connection;
  OnMessage onMessage;
  OnClosed onClosed;
  std::string queued;                                   // complete frames to send, concatenated
  std::string writeBuffer;                              // bytes of the write in progress
  std::deque<std::shared_ptr<const std::string>> bulk;  // frames to send in fragments
  std::size_t bulkOffset = 0;                           // number of bytes of the first bulk frame that were sent
  std::size_t bulkBytes = 0;                            // number of unsent bytes of all bulk frames
  bool writing = false;
  bool open = true;
  TimePoint lastReceivedAt = Clock::now();
  TimePoint unansweredSince = TimePoint::max();
  std::string remoteIp;
  TrafficByType* traffic = &trafficTo({});  // counters for the peer's zone

  void count(std::string_view frame) const {
    const auto type = static_cast<std::size_t>(typeOf(frame));
    auto& counted = (*traffic)[type < traffic->size() ? type : 0];
    ++counted.messages;
    counted.bytes += frame.size();
  }
  Impl(tcp::socket socket, OnMessage messageHandler, OnClosed closedHandler)
      : dialled(std::in_place, std::move(socket)),
        connection(*dialled),
        onMessage(std::move(messageHandler)),
        onClosed(std::move(closedHandler)) {
    prepareConnection();
  }
  Impl(std::shared_ptr<runtime::ServedConnection> accepted, OnMessage messageHandler, OnClosed closedHandler)
      : served(std::move(accepted)),
        connection(served->connection()),
        onMessage(std::move(messageHandler)),
        onClosed(std::move(closedHandler)) {
    prepareConnection();
  }
  void prepareConnection() {
    runtime::SocketError ec;
    const auto remote = connection.socket().remote_endpoint(ec);
    if (!ec)
      remoteIp = remote.address().to_string();
    runtime::setConnectionOptions(connection.socket());
  }
};

PeerLink::PeerLink(tcp::socket socket, OnMessage onMessage, OnClosed onClosed)
    : impl_(std::make_unique<Impl>(std::move(socket), std::move(onMessage), std::move(onClosed))) {}
PeerLink::PeerLink(std::shared_ptr<runtime::ServedConnection> served, OnMessage onMessage, OnClosed onClosed)
    : impl_(std::make_unique<Impl>(std::move(served), std::move(onMessage), std::move(onClosed))) {}
PeerLink::~PeerLink() = default;
bool PeerLink::open() const {
  return impl_->open;
}
TimePoint PeerLink::lastReceivedAt() const {
  return impl_->lastReceivedAt;
}
TimePoint PeerLink::unansweredSince() const {
  return impl_->unansweredSince;
}
std::string PeerLink::remoteIp() const {
  return impl_->remoteIp;
}
std::size_t PeerLink::backlog() const {
  return impl_->queued.size() + impl_->writeBuffer.size() + impl_->bulkBytes;
}
void PeerLink::close() {
  if (!impl_->open)
    return;
  impl_->open = false;
  impl_->connection.close();
}
void PeerLink::decline(const std::string& reason) {
  countDeclinedFrame();
  log::error("peer_message_declined", {{"peer", impl_->remoteIp}, {"reason", reason}});
  close();
}

void PeerLink::setPeerZone(const std::string& zone) {
  impl_->traffic = &trafficTo(zone);
}

// --- receiving ---

void PeerLink::start() {
  runtime::EventLoop::get().spawn([self = shared_from_this()] {
    self->receiveMessages();
    self->close();
    auto& link = *self->impl_;
    if (link.served)
      link.served->memory().shrinkTo(0);  // others may keep the closed link for longer
    link.onClosed(self);
    // The callbacks may own this link. Resetting them breaks the reference cycle.
    link.onMessage = nullptr;
    link.onClosed = nullptr;
  });
}
void PeerLink::receiveMessages() {
  auto& link = *impl_;
  const auto self = shared_from_this();
  std::string received;
  std::string fragments;
  std::vector<char> chunk(kReadBytes);  // on the heap, because fiber stacks are small
  while (link.open) {
    runtime::SocketError ec;
    const auto bytes = link.connection.read(asio::buffer(chunk), ec);
    if (ec || bytes == 0)
      return;
    if (!reserve(received.size() + bytes, fragments.size()))
      return refuseFrame(received.size());
    link.lastReceivedAt = Clock::now();
    link.unansweredSince = TimePoint::max();
    received.append(chunk.data(), bytes);
    const auto envelopes = decodeFrames(received, &fragments);
    if (!envelopes)
      return decline(envelopes.error().message);
    for (const auto& envelope : *envelopes) {
      if (!link.open)
        return;
      link.onMessage(self, envelope);
    }
    endReceipt(received, fragments);
  }
}
bool PeerLink::reserve(std::size_t receivedBytes, std::size_t fragmentBytes) {
  auto& served = impl_->served;
  if (!served)
    return true;
  // Twice the size, because a string that grows may double its capacity.
  const auto needed = 2 * (receivedBytes + fragmentBytes);
  return needed <= kChargedFrameBytes || served->reserve(needed - kChargedFrameBytes, kMemoryWait);
}
void PeerLink::endReceipt(std::string& received, std::string& fragments) {
  auto& served = impl_->served;
  if (!served || !received.empty() || !fragments.empty())
    return;
  if (received.capacity() > kChargedFrameBytes)
    received.shrink_to_fit();
  if (fragments.capacity() > kChargedFrameBytes)
    fragments.shrink_to_fit();
  served->memory().shrinkTo(0);
  served->enter(runtime::ConnectionPhase::idle);
}
void PeerLink::refuseFrame(std::size_t bytes) {
  log::debug("peer_frame_refused", {{"peer", impl_->remoteIp}, {"bytes", bytes}, {"reason", "no memory"}});
  close();
}

// --- sending ---

void PeerLink::send(const Envelope& envelope) {
  if (impl_->open)
    sendFrame(encodeFrame(envelope));
}
void PeerLink::sendFrame(std::string_view frame) {
  if (!impl_->open)
    return;
  impl_->count(frame);
  impl_->queued += frame;
  scheduleWrite();
}
void PeerLink::sendBulk(std::shared_ptr<const std::string> frame) {
  auto& link = *impl_;
  if (!link.open)
    return;
  // If other bulk frames are queued, a small frame is queued after them: later bulk frames depend on earlier ones.
  if (frame->size() <= kFragmentBytes && link.bulk.empty())
    return sendFrame(*frame);
  link.count(*frame);
  link.bulkBytes += frame->size();
  link.bulk.push_back(std::move(frame));
  scheduleWrite();
}
void PeerLink::scheduleWrite() {
  auto& link = *impl_;
  if (backlog() > kMaxBacklogBytes) {
    log::error("peer_backlog_exceeded", {{"peer", link.remoteIp}, {"bytes", backlog()}});
    return close();
  }
  if (link.unansweredSince == TimePoint::max())
    link.unansweredSince = Clock::now();
  if (link.writing)
    return;
  link.writing = true;
  // Posted, so that all messages sent in one iteration of the event loop are combined into one write.
  asio::post(runtime::EventLoop::get().io(), [self = shared_from_this()] { self->writeNext(); });
}
void PeerLink::writeNext() {
  auto& link = *impl_;
  if (link.open)
    fillWriteBuffer();
  if (!link.open || link.writeBuffer.empty()) {
    link.writing = false;
    return;
  }
  asio::async_write(link.connection.socket(), asio::buffer(link.writeBuffer),
                    [self = shared_from_this()](runtime::SocketError ec, std::size_t) {
                      if (!ec)
                        return self->writeNext();
                      self->impl_->writing = false;
                      self->close();
                    });
}
// Fills the write buffer with all queued complete frames or, if there are none, one fragment of the first bulk frame.
void PeerLink::fillWriteBuffer() {
  auto& link = *impl_;
  link.writeBuffer.clear();
  if (!link.queued.empty()) {
    std::swap(link.writeBuffer, link.queued);
    return;
  }
  if (link.bulk.empty())
    return;
  const auto& frame = *link.bulk.front();
  const auto next = appendFragment(link.writeBuffer, frame, link.bulkOffset);
  link.bulkBytes -= next - link.bulkOffset;
  link.bulkOffset = next;
  if (next == frame.size()) {
    link.bulk.pop_front();
    link.bulkOffset = 0;
  }
}
}  // namespace zinccleat::transport
