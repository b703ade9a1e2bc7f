#include "runner_attempt.hpp"

#include "heads.hpp"
#include "stream_relay.hpp"

namespace zinccleat::proxy {
namespace {
constexpr auto kConnectTimeout = 300ms;
constexpr auto kIdleRunner = 20s;       // a pooled connection's life where the runner names no time itself
constexpr auto kIdleMargin = 700ms;     // the far end must not close what we just began to use
constexpr auto kDeadlineMargin = 50ms;  // for a runner's own answer that the time is up
constexpr int kMostSurplus = 2;         // answers to others' requests read past before ours
constexpr int kMostInterim = 16;        // interim answers (1xx) read past before the final one
constexpr std::uint64_t kMostAnswerBytes = 64U << 20;

class RunnerAttempt {
 public:
  explicit RunnerAttempt(Exchange& exchange)
      : x_(exchange),
        index_(exchange.runner),
        id_(exchange.context.runners.at(index_).id),
        address_(exchange.context.runners.at(index_).address) {}
  AttemptOutcome run();

 private:
  bool connect();
  std::optional<AttemptOutcome> send();
  void readHead();
  AttemptOutcome lost();
  AttemptOutcome relay();
  AttemptOutcome relayWhole(bool notExecuted);
  void keepConnection();
  void fault() { x_.context.runners.recordFailure(index_, Exchange::now()); }

  Exchange& x_;
  const int index_;
  const std::string id_, address_;
  std::unique_ptr<runtime::Connection> connection_;
  bool reused_ = false;
  bool sentInPart_ = false;
  Buffer buffer_;
  std::optional<AnswerParser> answer_;
  runtime::SocketError ec_;
};

AttemptOutcome RunnerAttempt::run() {
  x_.staleConnection = false;
  if (!connect())
    return AttemptOutcome::notSent;
  if (x_.watch->gone())
    return AttemptOutcome::clientGone;
  // Why asked again: the lease may have ended while the connection came up.
  if (!x_.context.hasLease(Exchange::now())) {
    x_.staleConnection = true;
    return AttemptOutcome::notSent;
  }
  const AttachedConnection attached(*x_.watch, *connection_);
  connection_->setDeadline(x_.deadline + kDeadlineMargin);
  if (const auto ended = send())
    return *ended;
  readHead();
  if (ec_ || field(answer_->get(), "X-Attempt-Id") != x_.attemptId)
    return lost();
  return relay();
}
// A pooled connection, or a new one. False: the runner can't be reached, and has been sent nothing.
bool RunnerAttempt::connect() {
  connection_ = x_.context.connections.take(id_, Exchange::now(), x_.query.idempotent);
  reused_ = connection_ != nullptr;
  if (reused_)
    return true;
  const auto endpoint = runtime::parseEndpoint(address_);
  if (!endpoint)
    return false;
  connection_ = std::make_unique<runtime::Connection>();
  connection_->setDeadline(std::min(x_.deadline, Exchange::now() + kConnectTimeout));
  connection_->connect(*endpoint, ec_);
  if (ec_) {
    fault();
    x_.context.connections.drop(id_);
    return false;
  }
  connection_->clearDeadline();
  return true;
}
// Writes the whole request. A value: the attempt has ended with that.
std::optional<AttemptOutcome> RunnerAttempt::send() {
  Outbound o;
  o.expectedInstance = id_;
  o.subscriber = x_.tenant;
  o.left = toDuration(x_.deadline - Exchange::now());
  o.precedence = x_.precedence;
  o.hideKey = !x_.configuration->subscribers.empty();
  if (x_.answerStarted)
    o.lastEventId = x_.events.lastId();
  auto out = outboundHead(x_.request, o, x_.request.body().size());
  out += x_.request.body();
  const auto written = connection_->write(asio::buffer(out), ec_);
  if (!ec_)
    return std::nullopt;
  if (x_.watch->gone())
    return AttemptOutcome::clientGone;
  if (connection_->deadlineExceeded()) {
    fault();
    return AttemptOutcome::deadlineExceeded;
  }
  if (written == 0) {
    // The one case in which a connection that was open has certainly carried nothing.
    x_.staleConnection = reused_;
    if (reused_)
      x_.context.connections.forgotten();
    else
      fault();
    return AttemptOutcome::notSent;
  }
  // A part has left: only an answer that is here already can say what became of it.
  sentInPart_ = true;
  return std::nullopt;
}
// The head of the final answer to this very request, or an error in ec_, or another's answer.
void RunnerAttempt::readHead() {
  int surplus = 0;
  int interim = 0;
  for (;;) {
    answer_.emplace();
    answer_->eager(true);
    answer_->body_limit(kMostAnswerBytes);
    if (x_.request.method() == http::verb::head)
      answer_->skip(true);
    pump(*connection_, buffer_, *answer_, true, ec_);
    if (ec_)
      return;
    if (answer_->get().result_int() / 100 == 1) {
      if (++interim <= kMostInterim)
        continue;
      ec_ = http::error::bad_status;
      return;
    }
    if (field(answer_->get(), "X-Attempt-Id") == x_.attemptId || surplus++ >= kMostSurplus)
      return;
    // A surplus answer to somebody else's request stands in the place of ours: it is read and belongs to nobody.
    pump(*connection_, buffer_, *answer_, false, ec_);
    if (ec_)
      return;
  }
}
// Sent, and no whole answer: what that says of the runner and of its connection.
AttemptOutcome RunnerAttempt::lost() {
  if (x_.watch->gone())
    return AttemptOutcome::clientGone;
  if (connection_->deadlineExceeded() || Exchange::now() >= x_.deadline)
    return AttemptOutcome::deadlineExceeded;
  // Why not its fault: a runner may forget a connection that sat idle, and resets what comes on it.
  x_.staleConnection = reused_ && ec_ == asio::error::connection_reset && !answer_->got_some();
  if (x_.staleConnection)
    x_.context.connections.forgotten();
  else
    fault();
  return AttemptOutcome::interrupted;
}
AttemptOutcome RunnerAttempt::relay() {
  const auto& head = answer_->get();
  x_.context.runners.loadReported(index_, field(head, "X-Instance-Load"), Exchange::now());
  const int status = static_cast<int>(head.result_int());
  const bool success = status / 100 == 2;
  const bool notExecuted = head.count("X-Not-Executed") > 0 || status == 421;
  // A success that says not executed contradicts itself: it is no answer, and no promise either.
  if (success && (notExecuted || field(head, "X-Server-Seal").empty() || head.count(http::field::content_encoding) > 0))
    return lost();
  const bool hasBody = status != 204 && x_.request.method() != http::verb::head;
  if (!success || !hasBody || x_.route->type != config::RouteType::stream)
    return relayWhole(notExecuted);

  const auto outcome = relayStream(x_, *connection_, buffer_, *answer_);
  if (outcome == AttemptOutcome::interrupted)
    return lost();
  if (outcome == AttemptOutcome::movedAway)
    ++x_.context.migratedStreams;
  if (outcome != AttemptOutcome::completed)
    return outcome;
  x_.context.runners.recordSuccess(index_);
  x_.promptRead(true);
  keepConnection();
  return AttemptOutcome::completed;
}
// An answer that is passed on, or judged, only once all of it is here.
AttemptOutcome RunnerAttempt::relayWhole(bool notExecuted) {
  pump(*connection_, buffer_, *answer_, false, ec_);
  if (ec_ && x_.watch->gone())
    return AttemptOutcome::clientGone;
  // What a whole head says of not executed holds, whatever becomes of the rest.
  if (ec_ && !notExecuted)
    return lost();
  const int status = static_cast<int>(answer_->get().result_int());
  if (status / 100 == 5 && !notExecuted)
    fault();
  else
    x_.context.runners.recordSuccess(index_);
  if (status / 100 != 5 && !notExecuted)
    x_.promptRead(true);
  auto head = inboundHead(answer_->get());
  auto body = std::move(answer_->get().body());
  keepConnection();

  if (notExecuted) {
    if (status == 421)
      fault();
    return AttemptOutcome::notExecuted;
  }
  if (status / 100 != 2) {
    // Why changed: those four promise what this runner does not say.
    if (status == 408 || status == 421 || status == 429 || status == 503)
      return AttemptOutcome::interrupted;
    x_.failure = {std::move(head), std::move(body)};
    return AttemptOutcome::failed;
  }
  if (x_.answerStarted)
    return AttemptOutcome::interrupted;
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  head += x_.connectionHead();
  head += "\r\n";
  if (x_.request.method() != http::verb::head)
    head += body;
  x_.watch->attach(nullptr);
  return x_.writeToClient(head) ? AttemptOutcome::completed : AttemptOutcome::clientGone;
}
// Back to the pool, if nothing of this request can reach another on it.
void RunnerAttempt::keepConnection() {
  if (ec_ || sentInPart_ || !answer_->keep_alive() || buffer_.size() > 0)
    return;
  constexpr std::string_view parameter = "timeout=";
  auto until = Exchange::now() + kIdleRunner;
  const auto keepAlive = field(answer_->get(), "Keep-Alive");
  if (const auto at = keepAlive.find(parameter); at != keepAlive.npos) {
    auto seconds = keepAlive.substr(at + parameter.size());
    seconds = seconds.substr(0, seconds.find_first_not_of("0123456789"));
    until = Exchange::now() + Duration(wholeNumber(seconds, 1) * 1000) - kIdleMargin;
  }
  connection_->clearDeadline();
  // Why detached: the client may still leave while its answer is written, and then this connection is another's.
  x_.watch->attach(nullptr);
  x_.context.connections.give(id_, std::move(connection_), until, Exchange::now());
}
}  // namespace

AttemptOutcome attemptOnRunner(Exchange& exchange) {
  return RunnerAttempt(exchange).run();
}
}  // namespace zinccleat::proxy
