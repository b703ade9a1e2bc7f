/// @file
/// One attempt at a node of the partner site. The proxy acts as a client of that node and sends the client's own key.
#pragma once
#include "exchange.hpp"
#include "upstream_response.hpp"
namespace zinccleat::proxy {

/// Forwards the request to the node and the node's response to the client. The node must begin its response within a
/// fifth of the route's latency target. If the node fails or does not begin in time, this site handles the request.
class PartnerAttempt {
 public:
  explicit PartnerAttempt(Exchange& exchange) : exchange_(exchange) {}
  ~PartnerAttempt() { exchange_.pendingPartnerConnection = nullptr; }
  PartnerAttempt(const PartnerAttempt&) = delete;
  PartnerAttempt& operator=(const PartnerAttempt&) = delete;

  /// Runs the attempt. Must be called only once.
  /// @param address  IP:port of the node
  /// @return any outcome except `failed` and `migrated`.
  AttemptOutcome run(const std::string& address);

 private:
  bool connect(const std::string& address);
  void sendRequest();
  /// Checks the header of the response.
  /// @return the outcome of the attempt if the response must not be forwarded; none otherwise.
  std::optional<AttemptOutcome> checkHeader();
  /// Waits for the first bytes of the body.
  /// @return false if the connection or the client fails first.
  bool awaitBody();
  /// The outcome of an attempt that ended without a complete response, depending on whether the client is connected.
  AttemptOutcome interruptedOutcome() const;

  Exchange& exchange_;
  runtime::Connection connection_;
  Buffer buffer_;
  ResponseParser response_;
  runtime::SocketError ec_;
};
}  // namespace zinccleat::proxy
