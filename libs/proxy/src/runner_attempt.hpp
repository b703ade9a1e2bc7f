/// @file
/// One attempt at one runner: connection, request, response.
#pragma once
#include "exchange.hpp"
#include "upstream_response.hpp"
namespace zinccleat::proxy {

/// Sends the request to the runner that `exchange.runner` names and forwards its response, unless that is an error,
/// which is kept in `exchange.failure`.
class RunnerAttempt {
 public:
  explicit RunnerAttempt(Exchange& exchange);
  /// Runs the attempt; to be called once.
  /// @return any outcome but `notSent` means that bytes of the request may have reached the runner.
  AttemptOutcome run();

 private:
  /// Takes a pooled connection or opens a new one.
  /// @return false if the runner cannot be reached; it has been sent nothing.
  bool connect();
  /// Writes the request.
  /// @return the outcome if the attempt has ended with that.
  std::optional<AttemptOutcome> sendRequest();
  AttemptOutcome handleNothingSent();
  /// The outcome of a request that was sent and has no complete response; records it against the runner or the
  /// connection.
  AttemptOutcome handleLostResponse();
  AttemptOutcome relayResponse();
  AttemptOutcome relayEvents();
  /// Forwards a response that is complete before the first byte of it is sent on.
  AttemptOutcome relayComplete(bool notExecuted);
  AttemptOutcome storeFailure(unsigned status, std::string header, std::string body);
  AttemptOutcome sendToClient(std::string header, const std::string& body);
  void recordResult(unsigned status, bool notExecuted);
  /// Returns the connection to the pool, unless something of this request could reach another one on it.
  void releaseConnection();
  void recordFailure() { exchange_.context.runners.recordFailure(runner_, Exchange::now()); }
  bool clientDisconnected() const { return exchange_.clientWatch->disconnected(); }

  Exchange& exchange_;
  const int runner_;  ///< index in the runner pool
  const std::string runnerId_;
  const std::string address_;
  std::unique_ptr<runtime::Connection> connection_;
  bool reused_ = false;         ///< the connection is from the pool
  bool partiallySent_ = false;  ///< only a part of the request was written
  Buffer buffer_;
  std::optional<ResponseParser> response_;
  runtime::SocketError ec_;
};
}  // namespace zinccleat::proxy
