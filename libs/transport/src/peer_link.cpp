#include "transport/peer_link.hpp"

#include <boost/asio/write.hpp>
#include <cstddef>

#include "runtime/log_ring.hpp"

namespace zinccleat::transport {
namespace {
constexpr char kFormat = 4;       // frames of another format version are refused
constexpr char kPieceFormat = 3;  // a part of a large frame; the first byte of its body tells whether it is the last
constexpr std::size_t kPiece = std::size_t{16} * 1024;
constexpr std::size_t kLongestSender = 255;
constexpr std::size_t kMaxFrame = 32U << 20;
constexpr std::size_t kMaxOut = 48U << 20;
constexpr auto kSilence = 900ms;
// Why short: an opening packet to a machine that is not up yet is lost, and the next one is seconds away.
constexpr auto kDial = 300ms;
constexpr auto kRedial = 150ms, kRedialSoon = 30ms;
constexpr int kSoon = 8;  // failures in a row that are followed by another try soon
}  // namespace

namespace {
Traffic g_traffic;
void count(Traffic::Count (&by)[64], MessageType type, std::size_t bytes) {
  const auto index = static_cast<std::size_t>(type);
  auto& c = by[index < 64 ? index : 0];
  ++c.messages;
  c.bytes += bytes;
}
void putHead(std::string& out, std::size_t bodySize, char format) {
  const auto n = static_cast<std::uint32_t>(bodySize + 1);
  for (int i = 0; i < 4; ++i)
    out += static_cast<char>(n >> (24 - 8 * i));
  out += format;
}
}  // namespace
std::string frameOf(const Envelope& envelope) {
  checkInvariant(envelope.sender.size() <= kLongestSender, "a sender's identity is short");
  const auto bodySize = 2 + envelope.sender.size() + envelope.payload.size();
  std::string out;
  out.reserve(bodySize + 5);
  putHead(out, bodySize, kFormat);
  out += static_cast<char>(envelope.type);
  out += static_cast<char>(envelope.sender.size());
  out += envelope.sender;
  out += envelope.payload;
  count(g_traffic.sent, envelope.type, out.size());
  return out;
}
namespace {
Result<Envelope> envelopeOf(std::string_view body) {
  if (body.size() < 2)
    return makeError(ErrorCode::corruption, "a frame without its head");
  const std::size_t sender = static_cast<unsigned char>(body[1]);
  if (body.size() < 2 + sender)
    return makeError(ErrorCode::corruption, "a frame shorter than its sender");
  Envelope envelope;
  envelope.type = static_cast<MessageType>(body[0]);
  if (envelope.type < MessageType::consensus || envelope.type > kLastMessageType)
    return makeError(ErrorCode::corruption,
                     "a message of the unknown type " + std::to_string(static_cast<int>(envelope.type)));
  envelope.sender = body.substr(2, sender);
  envelope.payload = body.substr(2 + sender);
  return envelope;
}
}  // namespace
Result<std::vector<Envelope>> unframe(std::string& buf, std::string* partial) {
  std::vector<Envelope> out;
  std::size_t at = 0;
  while (buf.size() - at >= 5) {
    std::uint32_t n = 0;
    for (int i = 0; i < 4; ++i)
      n = n << 8 | static_cast<unsigned char>(buf[at + i]);
    if (n < 1 || n > kMaxFrame)
      return makeError(ErrorCode::corruption, "frame of an impossible length");
    if (buf[at + 4] == kPieceFormat && partial) {
      if (n < 2)
        return makeError(ErrorCode::corruption, "an empty piece");
      if (buf.size() - at < 4U + n)
        break;
      partial->append(buf, at + 6, n - 2);
      if (partial->size() > kMaxFrame)
        return makeError(ErrorCode::corruption, "pieces of an impossible length");
      const bool last = buf[at + 5] != 0;
      at += 4U + n;
      if (!last)
        continue;
      auto frame = std::exchange(*partial, {});
      auto inner = unframe(frame);
      if (!inner)
        return inner;
      if (!frame.empty())
        return makeError(ErrorCode::corruption, "pieces that make no frame");
      for (auto& m : *inner)
        out.push_back(std::move(m));
      continue;
    }
    if (buf[at + 4] != kFormat && ++g_traffic.framesOfOtherFormats)
      return makeError(ErrorCode::corruption, "frame of another format version: " + std::to_string(buf[at + 4]));
    if (buf.size() - at < 4U + n)
      break;
    auto envelope = envelopeOf(std::string_view(buf).substr(at + 5, n - 1));
    if (!envelope)
      return tl::unexpected(envelope.error());
    count(g_traffic.received, envelope->type, n + 4);
    out.push_back(std::move(*envelope));
    at += 4U + n;
  }
  buf.erase(0, at);
  return out;
}

const Traffic& trafficSoFar() {
  return g_traffic;
}

struct PeerLink::Impl {
  runtime::Connection connection;
  OnMessage onMessage;
  OnEnd onEnd;
  std::string out, flying;
  std::deque<std::shared_ptr<const std::string>> bulk;  // frames that go in pieces
  std::size_t bulkAt = 0, bulkBytes = 0;
  bool writing = false, open = true;
  TimePoint heard = Clock::now(), unanswered = TimePoint::max();
  std::string farIp;
  Impl(tcp::socket s, OnMessage m, OnEnd e) : connection(std::move(s)), onMessage(std::move(m)), onEnd(std::move(e)) {
    runtime::SocketError ec;
    const auto ep = connection.socket().remote_endpoint(ec);
    if (!ec)
      farIp = ep.address().to_string();
    runtime::tune(connection.socket());
  }
};
PeerLink::PeerLink(tcp::socket s, OnMessage m, OnEnd e)
    : impl_(std::make_unique<Impl>(std::move(s), std::move(m), std::move(e))) {}
PeerLink::~PeerLink() = default;
bool PeerLink::open() const {
  return impl_->open;
}
TimePoint PeerLink::heard() const {
  return impl_->heard;
}
TimePoint PeerLink::unansweredSince() const {
  return impl_->unanswered;
}
std::string PeerLink::farIp() const {
  return impl_->farIp;
}
void PeerLink::end() {
  if (!impl_->open)
    return;
  impl_->open = false;
  impl_->connection.close();
}
void PeerLink::start() {
  runtime::EventLoop::get().spawn([self = shared_from_this()] {
    auto& d = *self->impl_;
    std::string buf;
    std::string partial;
    // Why from the heap: fiber stacks are small.
    std::vector<char> chunk(std::size_t{16} * 1024);
    while (d.open) {
      runtime::SocketError ec;
      const auto n = d.connection.read(asio::buffer(chunk), ec);
      if (ec || n == 0)
        break;
      d.heard = Clock::now();
      d.unanswered = TimePoint::max();
      buf.append(chunk.data(), n);
      const auto envelopes = unframe(buf, &partial);
      if (!envelopes) {
        self->decline(envelopes.error().message);
        break;
      }
      for (auto& envelope : *envelopes) {
        if (!d.open)
          break;
        d.onMessage(self, envelope);
      }
    }
    self->end();
    d.onEnd(self);
    // Why cleared: the callbacks may hold the owner of this link.
    d.onMessage = nullptr;
    d.onEnd = nullptr;
  });
}
std::size_t PeerLink::backlog() const {
  return impl_->out.size() + impl_->flying.size() + impl_->bulkBytes;
}
void PeerLink::decline(const std::string& why) {
  ++g_traffic.framesDeclined;
  log::error("link to " + impl_->farIp + " ended: " + why);
  end();
}
void PeerLink::send(const Envelope& envelope) {
  if (impl_->open)
    sendFrame(frameOf(envelope));
}
void PeerLink::sendFrame(std::string_view frame) {
  if (!impl_->open)
    return;
  impl_->out += frame;
  kick();
}
void PeerLink::sendBulk(std::shared_ptr<const std::string> frame) {
  auto& d = *impl_;
  if (!d.open)
    return;
  if (frame->size() <= kPiece)
    return sendFrame(*frame);
  d.bulkBytes += frame->size();
  d.bulk.push_back(std::move(frame));
  kick();
}
// What goes next: all that is urgent, or else one piece.
void PeerLink::load() {
  auto& d = *impl_;
  d.flying.clear();
  if (!d.out.empty()) {
    std::swap(d.flying, d.out);
    return;
  }
  if (d.bulk.empty())
    return;
  const auto& f = *d.bulk.front();
  const auto n = std::min(kPiece, f.size() - d.bulkAt);
  const bool last = d.bulkAt + n == f.size();
  putHead(d.flying, n + 1, kPieceFormat);
  d.flying += last ? '\1' : '\0';
  d.flying.append(f, d.bulkAt, n);
  d.bulkAt += n;
  d.bulkBytes -= n;
  if (last)
    d.bulk.pop_front(), d.bulkAt = 0;
}
void PeerLink::kick() {
  auto& d = *impl_;
  if (backlog() > kMaxOut) {
    log::error("link to " + d.farIp + " ended: it does not read");
    return end();
  }
  if (d.unanswered == TimePoint::max())
    d.unanswered = Clock::now();
  if (d.writing)
    return;
  d.writing = true;
  // Why posted: what one turn of the loop has to say leaves in one write.
  asio::post(runtime::EventLoop::get().io(), [self = shared_from_this()] {
    auto step = [](auto&& again, const PeerLinkPtr& l) -> void {
      auto& d = *l->impl_;
      if (d.open)
        l->load();
      if (!d.open || d.flying.empty()) {
        d.writing = false;
        return;
      }
      asio::async_write(d.connection.socket(), asio::buffer(d.flying),
                        [again, l](runtime::SocketError ec, std::size_t) {
                          if (ec) {
                            l->impl_->writing = false;
                            return l->end();
                          }
                          again(again, l);
                        });
    };
    step(step, self);
  });
}

struct Dialer::Impl : std::enable_shared_from_this<Dialer::Impl> {
  tcp::endpoint ep;
  PeerLink::OnMessage onMessage;
  std::function<void(const PeerLinkPtr&)> onUp;
  PeerLinkPtr link;
  bool released = false;
  int failed = 0;
  void run() {
    runtime::EventLoop::get().spawn([self = shared_from_this()] { self->loop(); });
  }
  void loop() {
    auto& q = runtime::EventLoop::get();
    while (!released) {
      {
        runtime::Connection w;
        w.setDeadline(Clock::now() + kDial);
        runtime::SocketError ec;
        w.connect(ep, ec);
        w.clearDeadline();
        if (ec && failed++ % 200 == 0)
          log::debug("cannot reach " + ep.address().to_string() + ": " +
                     (w.deadlineExceeded() ? "no answer" : ec.message()) + "; tried again");
        if (!ec && !released) {
          failed = 0;
          auto up = std::make_shared<PeerLink>(std::move(w.socket()), onMessage, [](const PeerLinkPtr&) {});
          link = up;
          up->start();
          onUp(up);
          while (!released && up->open()) {
            q.sleepFor(100ms);
            const auto since = up->unansweredSince();
            // Why end it: a connection through a cut stays silent long after the cut has healed.
            if (since != TimePoint::max() && Clock::now() - since > kSilence)
              up->end();
          }
          up->end();
          link.reset();
        }
      }
      if (!released)
        q.sleepFor(failed < kSoon ? kRedialSoon : kRedial);
    }
  }
};
Dialer::Dialer(tcp::endpoint ep, PeerLink::OnMessage onMessage, std::function<void(const PeerLinkPtr&)> onUp)
    : impl_(std::make_shared<Impl>()) {
  impl_->ep = std::move(ep);
  impl_->onMessage = std::move(onMessage);
  impl_->onUp = std::move(onUp);
  impl_->run();
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
    impl_->link->end();
}

void Listener::close() {
  runtime::SocketError ec;
  acceptor_->close(ec);
}
Result<void> listen(const tcp::endpoint& ep, std::function<void(tcp::socket)> take) {
  auto listener = openListener(ep, std::move(take));
  if (!listener)
    return tl::unexpected(listener.error());
  return {};
}
Result<Listener> openListener(const tcp::endpoint& ep, std::function<void(tcp::socket)> take) {
  auto acc = std::make_shared<tcp::acceptor>(runtime::EventLoop::get().io());
  runtime::SocketError ec;
  acc->open(ep.protocol(), ec);
  acc->set_option(tcp::acceptor::reuse_address(true), ec);
  acc->bind(ep, ec);
  if (ec)
    return makeError(ErrorCode::corruption,
                     "cannot bind " + ep.address().to_string() + ":" + std::to_string(ep.port()) + ": " + ec.message());
  acc->listen(512, ec);
  if (ec)
    return makeError(ErrorCode::corruption, "cannot listen: " + ec.message());
  auto go = std::make_shared<std::function<void()>>();
  *go = [acc, take = std::move(take), go] {
    if (!acc->is_open())
      return;
    acc->async_accept([take, go, acc](runtime::SocketError e, tcp::socket s) {
      if (e == asio::error::operation_aborted)
        return;
      if (!e) {
        take(std::move(s));
        return (*go)();
      }
      // Why a pause: out of descriptors, the same error would come back at once for ever.
      auto t = std::make_shared<asio::steady_timer>(runtime::EventLoop::get().io(), 20ms);
      t->async_wait([t, go](runtime::SocketError) { (*go)(); });
    });
  };
  (*go)();
  return Listener(std::move(acc));
}
}  // namespace zinccleat::transport
