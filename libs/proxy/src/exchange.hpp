/// @file
/// One request and its response: the state that the steps of handling it share, and the client's side of it.
#pragma once
#include "balancing/stream_pace.hpp"
#include "client_watch.hpp"
#include "event_scanner.hpp"
#include "proxy/proxy.hpp"
#include "retry.hpp"
namespace zinccleat::proxy {
/// A runner's own error response, forwarded unchanged if no other runner does better.
struct RunnerFailure {
  std::string header;
  std::string body;
};

struct Exchange {
  Exchange(ProxyContext& proxyContext, runtime::Connection& clientConnection, RequestParser& parser)
      : context(proxyContext), client(clientConnection), request(parser.get()) {}

  ProxyContext& context;
  runtime::Connection& client;
  RequestParser::value_type& request;
  const TimePoint arrivedAt = Clock::now();
  /// A request keeps the configuration that was in force when it arrived.
  const std::shared_ptr<const config::Configuration> configuration = context.configuration;

  // Set on admission.
  std::string attemptId;
  const config::Route* route = nullptr;
  const config::Subscriber* subscriber = nullptr;  ///< null on a route without keys
  const std::string* service = nullptr;            ///< label
  std::string tenant;                              ///< label of the subscriber
  int precedence = -1;                             ///< -1: none
  TimePoint deadline;
  balancing::RunnerQuery query;

  // The client's side.
  std::optional<ClientWatch> clientWatch;  ///< from admission on
  bool keepAlive = request.keep_alive();
  bool responseStarted = false;  ///< the client has the header of a stream's response
  EventScanner events;
  RunnerFailure failure;

  // The attempt in progress.
  int runner = -1;                  ///< index in the runner pool; -1: none, or a node of the partner site
  std::int64_t prefillTokens = -1;  ///< of the prompt, until the runner begins to respond; then -1
  PendingAttempt pendingAttempt{};
  bool usageRecorded = false;      ///< the runner has begun the request, which is counted
  bool observed = false;           ///< the service is being rolled out: the answer is compared with others
  bool slowResponse = false;       ///< it began far later than usual
  double runnerLoad = 0;           ///< of the runner when it began to respond, as a part of its slots
  bool slownessRecorded = false;   ///< the attempt has been recorded as slow
  balancing::StreamPace pace;      ///< of the events, if observed
  bool staleConnection = false;    ///< it failed on a connection that the runner had dropped: not the runner's fault
  bool isLastAttempt = false;      ///< no other runner is allowed after this one
  bool nextAttemptIsPaid = false;  ///< the retry budget has been charged for the next runner already
  runtime::Connection* pendingPartnerConnection = nullptr;  ///< to a partner node that has not begun to respond

  static TimePoint now() { return Clock::now(); }
  /// Decides whether the client's connection stays open after the response whose header is written now.
  bool decideKeepAlive() { return keepAlive = keepAlive && !context.shutdown.begun() && !context.zoneDraining; }
  std::string_view connectionHeader() { return decideKeepAlive() ? "" : "Connection: close\r\n"; }

  /// Writes to the client.
  /// @return false if it has disconnected, or read nothing for too long.
  bool writeToClient(std::string_view bytes);
  /// Writes one chunk of a chunked response.
  bool writeChunk(std::string_view bytes);
  /// Answers the request without a runner.
  /// @param retryAfter  zero: the response names no time
  /// @param reason      empty: the standard phrase of the status
  /// @return whether the connection may carry another request.
  bool respond(int status, Duration retryAfter = Duration(0), std::string_view reason = {});

  /// An attempt at this runner begins.
  void beginAttempt(int runnerIndex);
  /// The runner has begun to respond, or (`responded` false) never will. Only the first call of an attempt counts.
  void endPrefill(bool responded);
  /// Bytes of an observed attempt's response have arrived. Once it is certain that the attempt is slow, that is
  /// recorded: a slow stream may last for long.
  void observeSlowness();
  /// A runner has begun the request of the attempt in progress. Each attempt counts once.
  void recordUsage(TimePoint began);
  /// The attempt has ended; what that says about the runner is recorded.
  void endAttempt(AttemptOutcome outcome);

 private:
  /// Records what the attempt says about the runner's revision.
  void observeRevision(AttemptOutcome outcome);
  /// The attempt as it has been observed so far, answered and neither failed nor slow.
  rollout::ObservedAttempt observedAttempt() const;
  /// Whether the runner should begin to answer as soon as others. In a load test it lacks the prompt prefixes that
  /// those have cached.
  bool startIsComparable() const { return runnerIsWarm() && query.revisions.loadTestGroup == 0; }
  /// Whether the runner has passed its slow start.
  bool runnerIsWarm() const { return now() >= context.runners.at(runner).warmAt; }
};
}  // namespace zinccleat::proxy
