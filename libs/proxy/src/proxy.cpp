#include "proxy/proxy.hpp"

#include <sys/socket.h>

#include <cstdio>

#include "events.hpp"
#include "heads.hpp"
#include "runtime/log_ring.hpp"

namespace zc {
namespace {
using AnswerParser = http::response_parser<http::string_body>;
constexpr auto kConnect = 300ms;
constexpr auto kIdleRunner = 20s;  // where the runner names no time itself
constexpr int kConnectTries = 3;   // a runner that can't be reached has been sent nothing
constexpr auto kWriteStall = 10s;
constexpr int kMostInterim = 16;  // interim answers (1xx) read past before the final one

// Notices that the client goes away while nobody reads from it.
struct Watch {
  bool gone = false, over = false;
  Connection* runner = nullptr;
};
void startWatch(const std::shared_ptr<Watch>& wt, Connection& client) {
  client.sock().async_wait(tcp::socket::wait_read, [wt, &client](Ec ec) {
    if (ec || wt->over)
      return;
    char c;
    const auto n = ::recv(client.sock().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
      return;
    wt->gone = true;
    // Why shut and not only cancelled: whoever is about to read from it again must not park there.
    if (wt->runner)
      wt->runner->shut();
  });
}
struct WatchGuard {
  std::shared_ptr<Watch> wt = std::make_shared<Watch>();
  Connection& client;
  explicit WatchGuard(Connection& c) : client(c) { startWatch(wt, c); }
  ~WatchGuard() {
    wt->over = true;
    wt->runner = nullptr;
    client.cancel();
  }
};

std::string retryAfter(Span d) {
  char b[48];
  std::snprintf(b, sizeof b, "Retry-After: %.3f\r\n", static_cast<double>(d.count()) / 1000.0);
  return b;
}
std::string_view keyOf(const http::fields& f) {
  auto v = field(f, "Authorization");
  constexpr std::string_view scheme = "bearer ";
  if (v.size() <= scheme.size() || !sameText(v.substr(0, scheme.size()), scheme))
    return {};
  v.remove_prefix(scheme.size());
  while (!v.empty() && v.front() == ' ')
    v.remove_prefix(1);
  while (!v.empty() && v.back() == ' ')
    v.remove_suffix(1);
  return v;
}
std::int64_t number(std::string_view s, std::int64_t otherwise) {
  if (s.empty() || s.size() > 12)
    return otherwise;
  std::int64_t n = 0;
  for (char c : s) {
    if (c < '0' || c > '9')
      return otherwise;
    n = n * 10 + (c - '0');
  }
  return n;
}

// How one go at a runner ended.
enum class AttemptEnd {
  done,    // the whole answer is with the client
  unsent,  // no byte left for the runner
  notRun,  // the runner says that it did not run it
  broken,  // sent, and no whole answer: it may have run
  moved,   // its runner's place is closing; the stream goes on elsewhere
  failed,  // the runner ran it and answered with a failure of its own
  clientGone,
  timeUp,
};

class Passage {
 public:
  Passage(ProxyContext& wa, Connection& client, RequestParser& p) : wa_(wa), client_(client), req_(p.get()) {}
  bool carry();

 private:
  bool allowed(const std::string& label);
  bool answer(int status, Span retry = Span(0), std::string_view why = {});
  AttemptEnd attempt(int dock);
  AttemptEnd partnerAttempt(const std::string& address);
  AttemptEnd relayStream(Connection& w, Buffer& buf, AnswerParser& ap, bool fresh);
  bool toClient(std::string_view bytes);
  // Whether the client's connection stays open after this answer, as things stand when its head is written.
  bool keep() { return keep_ = keep_ && !wa_.leaving && !wa_.doorsShut; }
  bool canMove();
  bool chunkToClient(std::string_view bytes);
  Instant now() const { return Clock::now(); }
  // Whether the end of an attempt speaks against its runner.
  bool illness(AttemptEnd e) const {
    if (e == AttemptEnd::unsent || e == AttemptEnd::broken)
      return !stale_;
    return e == AttemptEnd::failed || e == AttemptEnd::timeUp;
  }
  // The runner has begun to answer, or never will: its prompt no longer waits there.
  // began: it answered, so that the time until then says how it does.
  void promptRead(bool began) {
    if (unread_ < 0)
      return;
    wa_.runnerPool.read(dock_, unread_);
    wa_.silent.erase(&attempt_);
    if (began)
      (void)wa_.observer.began(wa_.runnerPool.at(dock_).id, *service_, unread_, toSpan(now() - attempt_.since),
                               attempt_.blamed);
    unread_ = -1;
    if (route_->aim > Span(0))
      wa_.allowance.first(*service_, now() - arrived_ > route_->aim, now());
  }

  ProxyContext& wa_;
  Connection& client_;
  RequestParser::value_type& req_;
  std::shared_ptr<const Configuration> cfg_;
  const Route* route_ = nullptr;
  std::string subscriber_, attemptId_;
  int precedence_ = -1;
  Instant arrived_, deadline_;
  std::int64_t unread_ = -1;
  int dock_ = -1;
  ProxyContext::Attempt attempt_{};
  bool stale_ = false;  // the attempt ended on a connection that the runner had forgotten
  bool prepaid_ = false, lastRunner_ = false;
  Connection* eager_ = nullptr;  // to a partner that has not begun to answer: it is given little time
  const std::string* service_ = nullptr;
  bool keep_ = true, headSent_ = false, sentWhole_ = false;
  std::shared_ptr<Watch> watch_;
  EventScan scan_;
  RunnerQuery wish_;
  std::string keptHead_, keptBody_;  // a runner's own failure, to be passed on unchanged
  std::string saidRetry_;
};

bool Passage::toClient(std::string_view bytes) {
  Ec ec;
  client_.due(now() + kWriteStall);
  client_.write(asio::buffer(bytes), ec);
  client_.undue();
  return !ec;
}
bool Passage::chunkToClient(std::string_view bytes) {
  char head[24];
  const int n = std::snprintf(head, sizeof head, "%zx\r\n", bytes.size());
  std::string s;
  s.reserve(bytes.size() + 32);
  s.append(head, static_cast<std::size_t>(n));
  s += bytes;
  s += "\r\n";
  return toClient(s);
}
bool Passage::answer(int status, Span retry, std::string_view why) {
  std::string heads;
  if (!attemptId_.empty())
    heads += "X-Attempt-Id: " + attemptId_ + "\r\n";
  if (retry > Span(0))
    heads += retryAfter(retry);
  ++wa_.errorResponse;
  return toClient(
             plainAnswer(status, heads, "application/json", jsonError(why.empty() ? reasonOf(status) : why), keep())) &&
         keep_;
}

// A token of the quota: from the stash, or drawn in one short round trip. A request that finds the purse empty is
// refused as soon as that is known, unless a token will be there in time.
bool Passage::allowed(const std::string& label) {
  auto& quota = wa_.quota;
  if (quota.take(label, now())) {
    if (quota.low(label, now()))
      wa_.draw();
    return true;
  }
  // Why not long: a refusal must come well inside the aim, so that the client's next try still can. While draws are
  // answered one that is merely late is awaited longer: the answer leaves time for the work, another try would not.
  const auto end = arrived_ + (quota.answering(arrived_) ? std::clamp(route_->aim * 9 / 20, Span(15), Span(250))
                                                         : std::clamp(route_->aim / 5, Span(15), Span(150)));
  Waiter w;
  wa_.tokenWaiters.push_back({&label, &w});
  bool has = false;
  while (!has && now() < end) {
    quota.wait(label);
    wa_.ask();
    const bool told =
        EventLoop::get().waitFor(w, std::max(Span(1), std::min(Span(100), toSpan(end - now()) + Span(1))));
    has = quota.retake(label, now());
    if (has || !told)
      continue;
    const auto again = quota.until(label);
    if (now() + again >= end)
      break;
    (void)EventLoop::get().waitFor(w, again);
    has = quota.retake(label, now());
  }
  if (!has)
    quota.unwait(label);
  std::erase_if(wa_.tokenWaiters, [&](auto& t) { return t.waiter == &w; });
  return has;
}

// One function a request, read top to bottom. True: the connection may carry another.
bool Passage::carry() {
  arrived_ = now();
  cfg_ = wa_.cfg;
  keep_ = req_.keep_alive();
  attemptId_ = std::string(field(req_, "X-Attempt-Id"));

  // Why first of all: without a fresh lease this copy may be older than a key that was taken away.
  if (!wa_.leased(arrived_))
    return answer(503, wa_.untilLease(arrived_), "no fresh lease");

  const std::string_view target(req_.target().data(), req_.target().size());
  const int mi = cfg_->find(field(req_, "Host"), target);
  if (mi < 0)
    return answer(404, Span(0), "no route");
  route_ = &cfg_->routes[static_cast<std::size_t>(mi)];
  precedence_ = route_->precedence;

  const Subscriber* sub = nullptr;
  if (!cfg_->subscribers.empty() && !route_->keyless) {
    const int si = cfg_->subscriberOf(keyOf(req_));
    if (si < 0)
      return answer(401, Span(0), "key not known");
    sub = &cfg_->subscribers[static_cast<std::size_t>(si)];
    subscriber_ = sub->label;
    if (sub->precedence >= 0)
      precedence_ = sub->precedence;
  }
  std::uint64_t draw = route_->shareSum > 1 ? wa_.rng() % route_->shareSum : 0;
  std::size_t ti = 0;
  while (ti + 1 < route_->targets.size() && draw >= route_->targets[ti].share)
    draw -= route_->targets[ti++].share;
  const auto& service = cfg_->services[static_cast<std::size_t>(route_->targets[ti].service)];
  // Why before the quota: what is errorResponse here must not cost a token.
  if (!wa_.allowance.allows(service.label, precedence_, static_cast<double>(wa_.rng() % 1000) / 1000, arrived_))
    return answer(503, Span(400 + static_cast<std::int64_t>(wa_.rng() % 900)), "overloaded");
  if (sub && sub->ratePerS > 0 && !allowed(sub->label))
    return answer(429, wa_.quota.hint(sub->label, now()), "over quota");

  const auto asked = number(field(req_, "X-Deadline-Ms"), route_->expiry.count());
  deadline_ = arrived_ + std::min(Span(asked), route_->expiry);
  wa_.budget.earn(service.label, arrived_);

  WatchGuard guard(client_);
  watch_ = guard.wt;
  auto& wish = wish_;
  wish.service = service.label;
  wish.zone = wa_.zone;
  wish.engine = service.engine;
  wish.repeatable = route_->repeatable();
  if (service.engine) {
    const auto parts = promptOf(field(req_, "X-Prompt-Prefix"));
    if (route_->affinity)
      wish.affinity = parts.affinity, wish.sharedTokens = parts.shared;
    wish.promptTokens =
        std::max(parts.all, number(field(req_, "X-Token-Count").substr(0, field(req_, "X-Token-Count").find(',')), 0));
  }
  int runners = 0;
  // A partner site keeps more attempts for itself; a try that came from there has one runner here.
  int mostRunners = field(req_, kFromPartner).empty() ? route_->maxAttempts : 1;
  bool mayHaveRun = false;
  AttemptEnd end = AttemptEnd::unsent;
  // A long opening that a partner site holds and this one does not. Only what may be repeated, so that a stale hint or
  // a partner that fails costs a moment and never an answer: the request then goes on here as if it had not been there.
  // A runner there counts among those of the try, so at least one must be left for this site.
  if (wa_.heldElsewhere && mostRunners > 1 && wish.repeatable && route_->type == RouteType::stream &&
      wish.sharedTokens >= PartnerTrust::longTokens) {
    service_ = &service.label;
    if (const auto there = wa_.heldElsewhere(wish.affinity, subscriber_); !there.empty() && wa_.partner.allows(now())) {
      ++wa_.toPartner;
      end = partnerAttempt(there);
      if (end == AttemptEnd::done) {
        wa_.partner.answered();
        ++wa_.fromPartner;
        ++wa_.served;
        return keep_;
      }
      if (end == AttemptEnd::clientGone)
        return false;
      wa_.partner.disappointed(now());
      if (end == AttemptEnd::broken)
        mayHaveRun = true, --mostRunners;
    }
  }
  for (int tries = 0; tries < mostRunners + kConnectTries; ++tries) {
    if (watch_->gone)
      return false;
    if (now() >= deadline_) {
      end = AttemptEnd::timeUp;
      break;
    }
    // Why asked again before every go: the lease may have ended while an earlier one failed.
    if (!wa_.leased(now()))
      break;
    const int dock = wa_.runnerPool.choose(wish, now());
    if (dock < 0)
      break;
    if (runners > 0 && !std::exchange(prepaid_, false) && !wa_.budget.spend(service.label, now()))
      break;
    lastRunner_ = runners + 1 >= mostRunners;
    service_ = &service.label;
    wish.not_.push_back(dock);
    ++wa_.attempts;
    wa_.runnerPool.went(dock, wish.promptTokens);
    unread_ = wish.promptTokens;
    dock_ = dock;
    attempt_ = {dock, service_, unread_, now(), false};
    wa_.silent.insert(&attempt_);
    end = attempt(dock);
    promptRead(false);
    if (illness(end))
      wa_.observer.failed(wa_.runnerPool.at(dock).id);
    wa_.runnerPool.came(dock);
    if (end != AttemptEnd::unsent)
      ++runners;
    if (end == AttemptEnd::done) {
      ++wa_.served;
      return keep_;
    }
    if (end == AttemptEnd::clientGone)
      return false;
    if (end == AttemptEnd::broken || end == AttemptEnd::failed || end == AttemptEnd::timeUp)
      mayHaveRun = true;
    if (end == AttemptEnd::timeUp)
      break;
    if (runners >= mostRunners)
      break;
    if (headSent_ && !scan_.resumable())
      break;
    // At most once: what may have run goes to nobody else unless the route says that it may.
    if (mayHaveRun && !route_->repeatable())
      break;
  }
  if (headSent_) {
    ++wa_.cut;
    return false;  // an answer begun and not ended must not look whole
  }
  if (end == AttemptEnd::failed && !keptHead_.empty()) {
    std::string s = keptHead_ + "Content-Length: " + std::to_string(keptBody_.size()) + "\r\n" +
                    (keep() ? "" : "Connection: close\r\n") + "\r\n" + keptBody_;
    return toClient(s) && keep_;
  }
  if (mayHaveRun && !route_->repeatable())
    return answer(end == AttemptEnd::timeUp ? 504 : 502, Span(0), "the runner's answer was lost");
  if (end == AttemptEnd::timeUp)
    return answer(504, Span(0), "time is up");
  if (mayHaveRun)
    return answer(502, Span(0), "the runner's answer was lost");
  // Nothing has run: say when to come back, spread so that all do not come at once.
  return answer(503, Span(100 + static_cast<std::int64_t>(wa_.rng() % 200)), "no runner is free");
}

// At a partner site's node, as a client of it: with the client's own key, within the aim's fifth until it begins.
AttemptEnd Passage::partnerAttempt(const std::string& address) {
  const auto ep = parseEndpoint(address);
  if (!ep)
    return AttemptEnd::unsent;
  Connection there;
  Ec ec;
  const auto patience = std::min(deadline_, now() + std::clamp(route_->aim / 5, Span(20), Span(400)));
  there.due(patience);
  there.connect(*ep, ec);
  if (ec)
    return AttemptEnd::unsent;
  Outbound o;
  o.toPartner = true;
  o.left = toSpan(deadline_ - now());
  o.hideKey = false;
  auto out = outboundHead(req_, o, req_.body().size());
  out += req_.body();
  watch_->runner = &there;
  eager_ = &there;
  struct Unwatch {
    Passage& p;
    ~Unwatch() { p.watch_->runner = nullptr, p.eager_ = nullptr; }
  } unwatch{*this};
  there.write(asio::buffer(out), ec);
  Buffer buf;
  AnswerParser ap;
  ap.eager(true);
  ap.body_limit(64u << 20);
  if (!ec)
    pump(there, buf, ap, true, ec);
  if (watch_->gone)
    return AttemptEnd::clientGone;
  if (ec)
    return AttemptEnd::broken;
  const auto& h = ap.get();
  // Whatever is no whole success is left there: this site answers for itself.
  if (h.result_int() / 100 == 4 || h.result_int() == 503)
    return AttemptEnd::notRun;
  if (h.result_int() / 100 != 2 || field(h, "X-Attempt-Id") != attemptId_ || field(h, "X-Server-Seal").empty() ||
      h.count(http::field::content_encoding))
    return AttemptEnd::broken;
  // Why the first bytes before the head goes on: one that only says that it begins must not hold the client.
  for (; ap.get().body().empty() && !ap.is_done();) {
    if (buf.size() == 0) {
      const auto n = there.read(buf.prepare(4 * 1024), ec);
      if (watch_->gone)
        return AttemptEnd::clientGone;
      if (ec)
        return AttemptEnd::broken;
      buf.commit(n);
    }
    const auto n = ap.put(buf.data(), ec);
    buf.consume(n);
    if (ec && ec != http::error::need_more)
      return AttemptEnd::broken;
  }
  const auto e = relayStream(there, buf, ap, true);
  return e == AttemptEnd::broken && watch_->gone ? AttemptEnd::clientGone : e;
}

AttemptEnd Passage::attempt(int dock) {
  const auto id = wa_.runnerPool.at(dock).id;
  const auto address = wa_.runnerPool.at(dock).address;
  Ec ec;
  stale_ = false;
  auto connection = wa_.pool.take(id, now(), route_->repeatable());
  const bool reused = connection != nullptr;
  if (!connection) {
    auto ep = parseEndpoint(address);
    if (!ep)
      return AttemptEnd::unsent;
    connection = std::make_unique<Connection>();
    connection->due(std::min(deadline_, now() + kConnect));
    connection->connect(*ep, ec);
    if (ec) {
      wa_.runnerPool.fault(dock, now());
      wa_.pool.drop(id);
      return AttemptEnd::unsent;
    }
    connection->undue();
  }
  if (watch_->gone)
    return AttemptEnd::clientGone;
  if (!wa_.leased(now())) {
    stale_ = true;
    return AttemptEnd::unsent;
  }
  Outbound o;
  o.expectedInstance = id;
  o.subscriber = subscriber_;
  o.left = toSpan(deadline_ - now());
  o.precedence = precedence_;
  o.hideKey = !cfg_->subscribers.empty();
  if (headSent_)
    o.lastEventId = scan_.lastId();
  auto out = outboundHead(req_, o, req_.body().size());
  out += req_.body();
  watch_->runner = connection.get();
  struct Unwatch {
    Watch& w;
    ~Unwatch() { w.runner = nullptr; }
  } unwatch{*watch_};
  connection->due(deadline_ + 50ms);
  const auto written = connection->write(asio::buffer(out), ec);
  const bool sentInPart = static_cast<bool>(ec);
  if (ec) {
    if (watch_->gone)
      return AttemptEnd::clientGone;
    if (connection->late()) {
      wa_.runnerPool.fault(dock, now());
      return AttemptEnd::timeUp;
    }
    if (written == 0) {
      // The one case in which a connection that was open has certainly carried nothing.
      stale_ = reused;
      if (reused)
        wa_.pool.forgotten();
      else
        wa_.runnerPool.fault(dock, now());
      return AttemptEnd::unsent;
    }
    // A part has left: only an answer that is here already can say what became of it.
  }
  Buffer buf;
  std::optional<AnswerParser> ap;
  for (int surplus = 0, interim = 0;; ++surplus) {
    ap.emplace();
    ap->eager(true);
    ap->body_limit(64u << 20);
    if (req_.method() == http::verb::head)
      ap->skip(true);
    pump(*connection, buf, *ap, true, ec);
    if (ec)
      break;
    if (ap->get().result_int() / 100 == 1) {
      if (++interim > kMostInterim) {
        ec = http::error::bad_status;
        break;
      }
      --surplus;
      continue;
    }
    const auto back = field(ap->get(), "X-Attempt-Id");
    if (back == attemptId_ || surplus >= 2)
      break;
    // A surplus answer to somebody else's request stands in the place of ours: it is read and belongs to nobody.
    pump(*connection, buf, *ap, false, ec);
    if (ec)
      break;
  }
  auto lost = [&] {
    if (watch_->gone)
      return AttemptEnd::clientGone;
    if (connection->late() || now() >= deadline_)
      return AttemptEnd::timeUp;
    // Why not its fault: a runner may forget a connection that sat idle, and resets what comes on it.
    stale_ = reused && ec == asio::error::connection_reset && !ap->got_some();
    if (stale_)
      wa_.pool.forgotten();
    else
      wa_.runnerPool.fault(dock, now());
    return AttemptEnd::broken;
  };
  if (ec)
    return lost();
  const auto& h = ap->get();
  if (field(h, "X-Attempt-Id") != attemptId_)
    return lost();
  wa_.runnerPool.told(dock, field(h, "X-Instance-Load"), now());
  const int status = static_cast<int>(h.result_int());
  const bool notRun = h.count("X-Not-Executed") > 0 || status == 421;
  // A success that says not executed contradicts itself: it is no answer, and no promise either.
  if (status / 100 == 2 && (notRun || field(h, "X-Server-Seal").empty() || h.count(http::field::content_encoding)))
    return lost();

  const bool stream =
      status / 100 == 2 && status != 204 && route_->type == RouteType::stream && req_.method() != http::verb::head;
  if (stream) {
    const auto e = relayStream(*connection, buf, *ap, !headSent_);
    if (e == AttemptEnd::broken)
      return lost();
    if (e == AttemptEnd::moved)
      ++wa_.carried;
    if (e != AttemptEnd::done)
      return e;
  } else {
    pump(*connection, buf, *ap, false, ec);
    if (ec && watch_->gone)
      return AttemptEnd::clientGone;
    // What a whole head says of not executed holds, whatever becomes of the rest.
    if (ec && !notRun)
      return lost();
  }
  const bool ownFailure = status / 100 == 5 && !notRun;
  if (ownFailure)
    wa_.runnerPool.fault(dock, now());
  else
    wa_.runnerPool.fine(dock);
  if (!ownFailure && !notRun)
    promptRead(true);
  const bool clean = !ec && !sentInPart && ap->keep_alive() && buf.size() == 0;
  Instant until = now() + kIdleRunner;
  if (const auto ka = field(ap->get(), "Keep-Alive"); !ka.empty())
    if (const auto at = ka.find("timeout="); at != ka.npos) {
      auto v = ka.substr(at + 8);
      v = v.substr(0, v.find_first_not_of("0123456789"));
      // Why less: the far end must not close what we just began to use.
      until = now() + Span(number(v, 1) * 1000 - 700);
    }
  std::string head, body;
  if (!stream)
    head = inboundHead(ap->get()), body = std::move(ap->get().body());
  connection->undue();
  if (clean)
    wa_.pool.give(id, std::move(connection), until, now());

  if (notRun) {
    if (status == 421)
      wa_.runnerPool.fault(dock, now());
    return AttemptEnd::notRun;
  }
  if (stream)
    return AttemptEnd::done;
  if (status / 100 != 2) {
    // Why changed: those four promise what this runner does not say.
    if (status == 408 || status == 421 || status == 429 || status == 503)
      return AttemptEnd::broken;
    keptHead_ = std::move(head);
    keptBody_ = std::move(body);
    return AttemptEnd::failed;
  }
  if (headSent_)
    return AttemptEnd::broken;
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n" + (keep() ? "" : "Connection: close\r\n") + "\r\n";
  if (req_.method() != http::verb::head)
    head += body;
  watch_->runner = nullptr;
  return toClient(head) ? AttemptEnd::done : AttemptEnd::clientGone;
}

// Whether a live stream would find a runner elsewhere: one that nobody can take up stays where it is.
bool Passage::canMove() {
  const int there = wa_.runnerPool.choose(wish_, now());
  return there >= 0 && !wa_.runnerPool.at(there).carryOver && wa_.runnerPool.at(there).faults == 0;
}
AttemptEnd Passage::relayStream(Connection& w, Buffer& buf, AnswerParser& ap, bool fresh) {
  if (fresh) {
    auto head =
        inboundHead(ap.get()) + "Transfer-Encoding: chunked\r\n" + (keep() ? "" : "Connection: close\r\n") + "\r\n";
    headSent_ = true;
    if (!toClient(head))
      return AttemptEnd::clientGone;
  }
  const bool whole = route_->resume;  // only whole events go on where another runner may take the stream up
  for (;;) {
    auto& body = ap.get().body();
    if (!body.empty()) {
      promptRead(true);
      if (eager_)
        std::exchange(eager_, nullptr)->due(deadline_ + 50ms);
      const auto pass = whole ? scan_.feed(body) : std::string_view(body);
      if (!pass.empty() && !chunkToClient(pass))
        return AttemptEnd::clientGone;
      body.clear();
    }
    if (ap.is_done())
      break;
    // A live session leaves a place that closes between two whole events, if the budget has a further go for it.
    if (whole && dock_ >= 0 && wa_.runnerPool.at(dock_).carryOver && !lastRunner_ && !scan_.lastId().empty() &&
        scan_.resumable() && canMove() && wa_.budget.spend(*service_, now())) {
      prepaid_ = true;
      scan_.dropRest();
      return AttemptEnd::moved;
    }
    Ec ec;
    if (buf.size() > 0) {
      const auto n = ap.put(buf.data(), ec);
      buf.consume(n);
      if (ec && ec != http::error::need_more) {
        scan_.dropRest();
        return AttemptEnd::broken;
      }
      if (n > 0)
        continue;
    }
    ec = {};
    const auto n = w.read(buf.prepare(4 * 1024), ec);
    if (ec) {
      if (ec == asio::error::eof && !ap.chunked() && !ap.content_length()) {
        ap.put_eof(ec);
        if (!ec)
          continue;
      }
      // What of an event had come is dropped: whoever goes on begins after the last whole one.
      scan_.dropRest();
      return AttemptEnd::broken;
    }
    buf.commit(n);
  }
  if (whole && !scan_.rest().empty()) {
    const auto last = scan_.rest();
    if (!chunkToClient(last))
      return AttemptEnd::clientGone;
  }
  watch_->runner = nullptr;
  return toClient("0\r\n\r\n") ? AttemptEnd::done : AttemptEnd::clientGone;
}
}  // namespace

void ProxyContext::blameSilent(Instant now) {
  for (auto* a : silent)
    if (!a->blamed && now - a->since > observer.patience(*a->service, a->tokens)) {
      a->blamed = true;
      observer.slow(runnerPool.at(a->dock).id);
    }
}
Span ProxyContext::untilLease(Instant now) {
  const auto spread = Span(rng() % 120);
  // Why not sooner: a client has few tries, and one that meets a second refusal is lost. A process that has just
  // started has its first lease as soon as the core has a leader, which after a loss of all takes this long.
  if (leaseEnds == Instant{})
    return std::max(Span(150), Span(800) - toSpan(now - born)) + spread;
  return Span(500) + spread;
}
void takeClient(ProxyContext& wa, tcp::socket s) {
  // Closed before anything was read: its client may try elsewhere, whatever it wanted.
  if (wa.clients >= wa.clientsMost)
    return;
  ++wa.clients;
  auto held = std::make_shared<tcp::socket>(std::move(s));
  EventLoop::get().launch([&wa, held] {
    serveClient(wa, std::move(*held));
    --wa.clients;
  });
}
void serveClient(ProxyContext& wa, tcp::socket s) {
  Connection w(std::move(s));
  tune(w.sock());
  Buffer buf;
  for (;;) {
    ReadLimits l;
    if (wa.cfg) {
      l.header = wa.cfg->limits.maxHeaderBytes;
      l.body = wa.cfg->limits.maxBodyBytes;
      l.idle = wa.cfg->limits.idleTimer;
      l.headerTime = wa.cfg->limits.headerTimer;
      l.bodyTime = std::max(wa.cfg->limits.idleTimer, Span(5000));
    }
    if (wa.leaving)
      l.idle = std::min(l.idle, Span(300));
    // Why wait here: what is not read yet stands in the client's own window and costs us nothing.
    while (wa.held > wa.heldMost)
      EventLoop::get().pause(20ms);
    RequestParser p;
    const auto r = readRequest(w, buf, p, l);
    if (r.end == ReadEnd::closed)
      return;
    Ec ec;
    if (r.end == ReadEnd::errorResponse) {
      w.write(asio::buffer(plainAnswer(r.status, "", "application/json", jsonError(reasonOf(r.status)), false)), ec);
      // What is left unread would reset the connection and take the answer with it.
      w.sock().shutdown(tcp::socket::shutdown_send, ec);
      char sink[2048];
      w.due(Clock::now() + 500ms);
      while (!ec && w.read(asio::buffer(sink), ec) > 0) {
      }
      return;
    }
    ++wa.aboard;
    const auto bytes = p.get().body().size();
    wa.held += bytes;
    const bool more = Passage(wa, w, p).carry();
    wa.held -= bytes;
    --wa.aboard;
    if (!more)
      return;
  }
}
}  // namespace zc
