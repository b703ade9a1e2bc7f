// One request on its way: what is known of it, and the client's end of it. Shared by the steps that handle it.
#pragma once
#include "client_watch.hpp"
#include "events.hpp"
#include "proxy/proxy.hpp"
#include "retry.hpp"
namespace zinccleat::proxy {
// A runner's own failure, kept to be passed on unchanged if no other runner does better.
struct KeptFailure {
  std::string head, body;
};

struct Exchange {
  Exchange(ProxyContext& c, runtime::Connection& clientConnection, RequestParser& parser)
      : context(c), client(clientConnection), request(parser.get()) {}

  ProxyContext& context;
  runtime::Connection& client;
  RequestParser::value_type& request;
  const TimePoint arrived = Clock::now();
  // Requests under way keep the configuration that they began with.
  const std::shared_ptr<const config::Configuration> configuration = context.configuration;

  // Set on admission.
  std::string attemptId;
  const config::Route* route = nullptr;
  const std::string* service = nullptr;  // its label
  std::string tenant;
  int precedence = -1;
  TimePoint deadline;
  balancing::RunnerQuery query;

  // The client's side.
  std::optional<ClientWatch> watch;  // from admission on
  bool keepAlive = request.keep_alive();
  bool answerStarted = false;
  EventScan events;
  KeptFailure failure;

  // The attempt under way.
  int runner = -1;                 // its place in the runner pool; -1: none, or a partner site's node
  std::int64_t unreadTokens = -1;  // of the prompt, while the runner has not begun to answer; -1: it has
  UnansweredAttempt unanswered{};
  bool staleConnection = false;  // it ended on a connection that the runner had forgotten: not the runner's fault
  bool lastRunner = false;       // no further runner is allowed after this one
  bool movePaid = false;         // the budget has paid for the next runner already
  runtime::Connection* partnerPending = nullptr;  // to a partner that has not begun to answer: it is given little time

  static TimePoint now() { return Clock::now(); }
  // Whether the client's connection stays open after this answer, as things stand when its head is written.
  bool staysOpen() { return keepAlive = keepAlive && !context.shutdown.begun() && !context.zoneDraining; }
  std::string_view connectionHead() { return staysOpen() ? "" : "Connection: close\r\n"; }

  // Writes to the client. False: it is gone, or has taken nothing for too long.
  bool writeToClient(std::string_view bytes);
  bool writeChunk(std::string_view bytes);
  // An answer of our own. retryAfter: zero for none. True: the connection may carry another request.
  bool answer(int status, Duration retryAfter = Duration(0), std::string_view why = {});

  // An attempt begins at this runner, whose answer is awaited from now on.
  void attemptBegins(int runnerIndex);
  // The runner has begun to answer, or never will (began false): its prompt no longer waits there.
  void promptRead(bool began);
  // The attempt is over: what its end says about the runner is noted.
  void attemptEnds(AttemptOutcome outcome);
};
}  // namespace zinccleat::proxy
