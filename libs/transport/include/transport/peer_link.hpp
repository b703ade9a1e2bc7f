// A link carries frames both ways over one connection. A dialer keeps a dialled link up.
#pragma once
#include "runtime/event_loop.hpp"
#include "transport/envelope.hpp"
namespace zinccleat::transport {
// A frame: its length (4 bytes), the format's version, the message's type, the sender's length, the sender, the
// payload.
std::string frameOf(const Envelope& envelope);
// Takes whole frames off the front of buf. A fault means the connection can't be trusted further.
// partial: where the pieces of a large frame are gathered; without it pieces are errorResponse.
Result<std::vector<Envelope>> unframe(std::string& buf, std::string* partial = nullptr);

// What this process has framed and taken apart so far, by type of message; bytes with their frames.
struct Traffic {
  struct Count {
    std::uint64_t messages = 0, bytes = 0;
  };
  Count sent[64], received[64];
  // Each ended its connection.
  std::uint64_t framesDeclined = 0, framesOfOtherFormats = 0;
};
const Traffic& trafficSoFar();

class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  using OnMessage = std::function<void(const std::shared_ptr<PeerLink>&, const Envelope&)>;
  using OnEnd = std::function<void(const std::shared_ptr<PeerLink>&)>;
  PeerLink(tcp::socket s, OnMessage m, OnEnd e);
  ~PeerLink();
  void start();
  void send(const Envelope& envelope);
  void sendFrame(std::string_view frame);  // of `frameOf`: for one message to many
  // In pieces that let everything sent meanwhile overtake: for what is large and not urgent.
  // Shared: one that goes to hundreds is kept once.
  void sendBulk(std::shared_ptr<const std::string> frame);
  void sendBulk(std::string frame) { sendBulk(std::make_shared<const std::string>(std::move(frame))); }
  // Bytes that the far end has not taken yet. Who sends much looks at it first, so that one that does not read costs
  // no more than its share.
  std::size_t backlog() const;
  void end();
  // Ends the link over a message that can't be read; says why and counts it.
  void decline(const std::string& why);
  bool open() const;
  TimePoint heard() const;
  // When the oldest message without any sign of life since was sent; max() if none waits.
  TimePoint unansweredSince() const;
  std::string farIp() const;

 private:
  void kick();
  void load();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
using PeerLinkPtr = std::shared_ptr<PeerLink>;

// Hands the message on if the envelope holds one of that type. One whose fields do not parse ends its link.
template <class T, class Handler>
void receive(const PeerLinkPtr& link, const Envelope& envelope, Handler&& handler) {
  if (envelope.type != T::kType)
    return;
  auto message = unpack<T>(envelope);
  if (!message)
    return link->decline(message.error().message);
  handler(std::move(*message));
}

class Dialer {
 public:
  Dialer(tcp::endpoint ep, PeerLink::OnMessage onMessage, std::function<void(const PeerLinkPtr&)> onUp);
  ~Dialer();
  bool send(const Envelope& envelope);  // false: no link now
  bool up() const;
  PeerLinkPtr link() const;
  void release();  // stop redialling

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
/// An address on which connections are accepted.
class Listener {
 public:
  explicit Listener(std::shared_ptr<tcp::acceptor> acceptor) : acceptor_(std::move(acceptor)) {}
  /// Accepts no more; new connections are refused.
  void close();
  tcp::endpoint endpoint() const { return acceptor_->local_endpoint(); }

 private:
  std::shared_ptr<tcp::acceptor> acceptor_;
};
/// Accepts on an address until the listener is closed.
Result<Listener> openListener(const tcp::endpoint& ep, std::function<void(tcp::socket)> take);
// Accepts on an address for as long as the loop runs.
Result<void> listen(const tcp::endpoint& ep, std::function<void(tcp::socket)> take);
}  // namespace zinccleat::transport
