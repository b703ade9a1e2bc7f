/// @file
/// One attempt at a node of the partner site, as a client of it, with the client's own key.
#pragma once
#include "exchange.hpp"
#include "upstream_response.hpp"
namespace zinccleat::proxy {

/// Forwards the request to the node and its response to the client. The node has a fifth of the route's latency target
/// to begin; anything but a complete success is dropped, and this site answers instead.
class PartnerAttempt {
 public:
  explicit PartnerAttempt(Exchange& exchange) : exchange_(exchange) {}
  ~PartnerAttempt() { exchange_.pendingPartnerConnection = nullptr; }
  PartnerAttempt(const PartnerAttempt&) = delete;
  PartnerAttempt& operator=(const PartnerAttempt&) = delete;

  /// Runs the attempt; to be called once.
  /// @param address  IP:port
  /// @return an outcome as for a runner, without `failed` and `migrated`.
  AttemptOutcome run(const std::string& address);

 private:
  bool connect(const std::string& address);
  void sendRequest();
  /// Checks the response's header.
  /// @return the outcome if the response is not to be forwarded.
  std::optional<AttemptOutcome> checkHeader();
  /// Waits for the first bytes of the body.
  bool awaitBody();
  AttemptOutcome interruptedOutcome() const;

  Exchange& exchange_;
  runtime::Connection connection_;
  Buffer buffer_;
  ResponseParser response_;
  runtime::SocketError ec_;
};
}  // namespace zinccleat::proxy
