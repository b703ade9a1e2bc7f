/// @file
/// One request and its response: the state shared by the steps that handle the request, and the output to the client.
#pragma once
#include "balancing/stream_pace.hpp"
#include "client_watch.hpp"
#include "event_scanner.hpp"
#include "proxy/proxy.hpp"
#include "retry.hpp"
namespace zinccleat::proxy {
/// A runner's own error response. It is forwarded unchanged if no other attempt succeeds.
struct RunnerFailure {
  std::string header;
  std::string body;
};

struct Exchange {
  Exchange(ProxyContext& proxyContext, runtime::Connection& clientConnection, RequestParser& parser,
           runtime::MemoryReservation& messageMemory)
      : context(proxyContext), client(clientConnection), request(parser.get()), memory(messageMemory) {}

  ProxyContext& context;
  runtime::Connection& client;
  RequestParser::value_type& request;
  runtime::MemoryReservation& memory;  ///< for the body of the request and of a response that is read completely
  const TimePoint arrivedAt = Clock::now();
  /// The configuration that was active when the request arrived. It applies until the request ends.
  const std::shared_ptr<const config::Configuration> configuration = context.configuration;

  // Set on admission.
  std::string attemptId;
  const config::Route* route = nullptr;
  const config::Subscriber* subscriber = nullptr;  ///< null on a route without keys
  const std::string* service = nullptr;            ///< service label; points into `configuration`
  std::string tenant;                              ///< label of the subscriber
  int precedence = -1;                             ///< -1 if none is set
  TimePoint deadline;
  balancing::RunnerQuery query;

  // The response to the client.
  std::optional<ClientWatch> clientWatch;  ///< set once the request is admitted
  bool keepAlive = request.keep_alive();
  bool responseStarted = false;  ///< whether the header of a stream's response was written to the client
  EventScanner events;
  RunnerFailure failure;

  // The attempt in progress.
  int runner = -1;                  ///< index in the runner pool; -1 if there is none or for a partner node
  std::int64_t prefillTokens = -1;  ///< tokens of the prompt until the runner begins to respond; -1 afterwards
  PendingAttempt pendingAttempt{};
  bool usageRecorded = false;     ///< whether the attempt was counted because the runner has begun the request
  bool observed = false;          ///< whether the attempt is compared with others because the service is rolled out
  bool slowResponse = false;      ///< whether the response began far later than usual
  double runnerLoad = 0;          ///< load of the runner when it began to respond, as a fraction of its slots
  bool slownessRecorded = false;  ///< whether the attempt has been recorded as slow
  balancing::StreamPace pace;     ///< pace of the events, measured if `observed`
  bool staleConnection =
      false;                   ///< whether the failure is not the runner's, for example on a dropped pooled connection
  bool isLastAttempt = false;  ///< whether no other runner may be tried after this attempt
  bool nextAttemptIsPaid = false;  ///< whether the retry budget was already charged for the next attempt
  runtime::Connection* pendingPartnerConnection = nullptr;  ///< to a partner node that has not begun to respond

  static TimePoint now() { return Clock::now(); }
  /// Decides whether the client's connection stays open after the response whose header is about to be written, and
  /// stores the decision in `keepAlive`.
  bool decideKeepAlive() { return keepAlive = keepAlive && !context.shutdown.begun() && !context.zoneDraining; }
  std::string_view connectionHeader() { return decideKeepAlive() ? "" : "Connection: close\r\n"; }

  /// Writes to the client.
  /// @return false if the client has disconnected or has read nothing for too long.
  bool writeToClient(std::string_view bytes) { return writeToClient(bytes, {}); }
  bool writeToClient(std::string_view header, std::string_view body);
  /// Writes one chunk of a chunked response.
  bool writeChunk(std::string_view bytes);
  /// Answers the request without a runner.
  /// @param retryAfter  value of `Retry-After`; 0 omits the header
  /// @param reason      text for the body; empty for the standard phrase of the status
  /// @return whether the connection may carry another request.
  bool respond(int status, Duration retryAfter = Duration(0), std::string_view reason = {});

  /// Starts an attempt at a runner.
  void beginAttempt(int runnerIndex);
  /// Records that the runner has begun to respond or, if `responded` is false, that it will not respond. Only the first
  /// call for an attempt has an effect.
  void endPrefill(bool responded);
  /// Checks the pace of an observed attempt after bytes of the response have arrived. An attempt is recorded as slow as
  /// soon as that is certain, because a slow stream may take long to end.
  void observeSlowness();
  /// Counts the request for the usage report because a runner has begun it. Only the first call for an attempt has an
  /// effect.
  void recordUsage(TimePoint began);
  /// Ends the attempt and records its outcome for the runner.
  void endAttempt(AttemptOutcome outcome);

 private:
  /// Records the outcome of the attempt for the runner's revision.
  void observeRevision(AttemptOutcome outcome);
  /// A record of the attempt with its identifying fields set, marked as answered and as neither failed nor slow.
  rollout::ObservedAttempt observedAttempt() const;
  /// Whether the runner's time to the first byte may be compared with that of other runners. In a load test it may not,
  /// because the runner lacks the prompt prefixes that the other runners have cached.
  bool startIsComparable() const { return runnerIsWarm() && query.revisions.loadTestGroup == 0; }
  /// Whether the runner's warm-up has ended.
  bool runnerIsWarm() const { return now() >= context.runners.at(runner).warmAt; }
};
}  // namespace zinccleat::proxy
