/// @file
/// One attempt at one runner: connects, sends the request and forwards the response.
#pragma once
#include "exchange.hpp"
#include "upstream_response.hpp"
namespace zinccleat::proxy {

/// Sends the request to the runner `exchange.runner` and forwards the response to the client. An error response is
/// stored in `exchange.failure` instead.
class RunnerAttempt {
 public:
  explicit RunnerAttempt(Exchange& exchange);
  /// Runs the attempt. Must be called only once.
  /// @return the outcome; any outcome except `notSent` means that bytes of the request may have reached the runner.
  AttemptOutcome run();

 private:
  /// Takes a pooled connection or opens a new one.
  /// @return false if the runner cannot be reached. Nothing was sent in that case.
  bool connect();
  void makeRoomForConnection();
  /// Writes the request.
  /// @return the outcome if writing the request ended the attempt; none otherwise.
  std::optional<AttemptOutcome> sendRequest();
  /// Records that an open connection failed before any byte of the request was written.
  AttemptOutcome handleNothingSent();
  /// Determines the outcome of a request that was sent without a complete response. Records the failure for the runner,
  /// or for the connection if the runner had dropped the connection while it was idle.
  AttemptOutcome handleLostResponse();
  AttemptOutcome relayResponse();
  AttemptOutcome relayEvents();
  /// Reads the complete response before forwarding its first byte.
  bool readBody();
  AttemptOutcome relayWithoutMemory(bool notExecuted);
  AttemptOutcome relayComplete(bool notExecuted);
  AttemptOutcome storeFailure(unsigned status, std::string header, std::string body);
  AttemptOutcome sendToClient(std::string header, const std::string& body);
  void recordResult(unsigned status, bool notExecuted);
  /// Returns the connection to the pool, unless leftover bytes of this request or its response could affect the next
  /// request on the connection.
  void releaseConnection();
  void recordFailure() { exchange_.context.runners.recordFailure(runner_, Exchange::now()); }
  bool clientDisconnected() const { return exchange_.clientWatch->disconnected(); }

  Exchange& exchange_;
  const int runner_;  ///< index in the runner pool
  const std::string runnerId_;
  const std::string address_;
  std::unique_ptr<runtime::Connection> connection_;
  bool reused_ = false;         ///< whether the connection is from the pool
  bool partiallySent_ = false;  ///< whether only a part of the request was written
  Buffer buffer_;
  std::optional<ResponseParser> response_;
  runtime::SocketError ec_;
};
}  // namespace zinccleat::proxy
