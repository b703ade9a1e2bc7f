// Applications that acquire locks, draw numbers, and read, write and watch cells. Each application keeps one connection
// to a controller and uses the connection until the controller closes it, also while the controller shuts down. The
// application then connects to another controller.
#include <boost/asio/buffer.hpp>

#include "config/json.hpp"
#include "coordination/sharding.hpp"
#include "proxy/http.hpp"
#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
using coordination_history::Call;
using coordination_history::CallKind;

constexpr Duration kResponseTimeout{1000};
constexpr Duration kWatchWaitTime{700};
constexpr Duration kWatchTimeout{kWatchWaitTime + kResponseTimeout};
constexpr Duration kRetryInterval{30};
constexpr Duration kReadBackTimeout{3000};
constexpr int kLocks = 4;
constexpr int kNumbers = 2;
constexpr int kGroups = 3;
constexpr int kCellsPerGroup = 5;
constexpr int kMaxPutAttempts = 6;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;

std::int64_t nowInMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}
std::string lockName(std::uint64_t number) {
  return "lock" + std::to_string(number);
}
std::string numberName(std::uint64_t number) {
  return "number" + std::to_string(number);
}
std::string groupName(std::uint64_t number) {
  return "group" + std::to_string(number) + ".";
}
std::string cellName(std::uint64_t group, std::uint64_t cell) {
  return groupName(group) + "cell" + std::to_string(cell);
}
std::string jsonField(const char* name, const std::string& text) {
  return "\"" + std::string(name) + "\":\"" + text + "\"";
}
std::string jsonField(const char* name, std::int64_t number) {
  return "\"" + std::string(name) + "\":" + std::to_string(number);
}
std::string bodyOf(const Call& call) {
  switch (call.kind) {
    case CallKind::beginLock:
      return "{" + jsonField("holder", call.caller) + "," + jsonField("holdMs", call.holdMs) + "}";
    case CallKind::renewLock:
      return "{" + jsonField("holder", call.caller) + "," + jsonField("fenceNumber", call.fence) + "," +
             jsonField("holdMs", call.holdMs) + "}";
    case CallKind::releaseLock:
      return "{" + jsonField("holder", call.caller) + "," + jsonField("fenceNumber", call.fence) + "}";
    case CallKind::put:
      return "{" + jsonField("value", call.value) +
             (call.appliesTo < 0 ? std::string() : "," + jsonField("appliesTo", call.appliesTo)) + "}";
    case CallKind::number:
      return "{}";
    case CallKind::read:
    case CallKind::watch:
      break;
  }
  return "";
}
std::string pathOf(const Call& call) {
  switch (call.kind) {
    case CallKind::beginLock:
      return "/v1/Locks.Begin/" + call.name;
    case CallKind::renewLock:
      return "/v1/Locks.Heartbeat/" + call.name;
    case CallKind::releaseLock:
      return "/v1/Locks.Release/" + call.name;
    case CallKind::number:
      return "/v1/numbers/" + call.name;
    case CallKind::put:
      return "/v1/Cells.Replace/" + call.name;
    case CallKind::read:
      return "/v1/Cells.Retrieve/" + call.name;
    case CallKind::watch:
      break;
  }
  return "/v1/watch/" + call.name + "?after=" + std::to_string(call.after) +
         "&waitMs=" + std::to_string(kWatchWaitTime.count());
}
std::string requestOf(const Call& call) {
  const auto body = bodyOf(call);
  return std::string(body.empty() ? "GET " : "POST ") + pathOf(call) +
         " HTTP/1.1\r\nHost: control\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
/// Fills in the result fields of a call from the body of a 200 or 412 response.
void readResponse(Call& call, const std::string& body) {
  config::JsonDocument document(body);
  config::JsonObject root;
  if (!document.object(root))
    return;
  config::JsonReader reader;
  for (const auto* name : {"fenceNumber", "value", "revision"})
    if (call.kind != CallKind::read || std::string_view(name) != "value")
      reader.integer(root, name, call.number);
  if (call.kind == CallKind::read)
    reader.text(root, "value", call.value);
  config::JsonArray events;
  if (!reader.array(root, "events", events))
    return;
  for (const auto element : events) {
    config::JsonObject object;
    if (element.get(object))
      continue;
    coordination::CellEvent event;
    reader.text(object, "label", event.cell);
    reader.text(object, "value", event.value);
    reader.integer(object, "revision", event.revision);
    call.events.push_back(std::move(event));
  }
}

/// Sends calls over one persistent connection, and records each call in `SoakRun::applicationCalls`.
class ControllerConnection {
 public:
  explicit ControllerConnection(SoakRun& run) : run_(run) {}
  /// Sends one call over the open connection; if none is open, connects to a random controller first.
  Call send(Call call) {
    const bool connected = connection_ || connect();
    call.sentAt = nowInMicroseconds();
    const auto index = run_.applicationCalls.size();
    run_.applicationCalls.push_back(call);
    if (connected)
      exchange(call);
    run_.applicationCalls[index] = call;
    if (call.status == 0 || call.status >= 500)
      connection_.reset();
    return call;
  }

 private:
  bool connect() {
    connection_ = openConnection(run_.randomControllerAddress());
    buffer_.clear();
    return connection_ != nullptr;
  }
  void exchange(Call& call) {
    runtime::SocketError ec;
    connection_->setDeadline(Clock::now() + (call.kind == CallKind::watch ? kWatchTimeout : kResponseTimeout));
    connection_->write(asio::buffer(requestOf(call)), ec);
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    if (!ec)
      proxy::readIntoParser(*connection_, buffer_, parser, false, ec);
    connection_->clearDeadline();
    if (ec || !parser.is_done())
      return;
    call.answeredAt = nowInMicroseconds();
    call.status = static_cast<int>(parser.get().result_int());
    if (call.status == kOk || call.status == kPreconditionFailed)
      readResponse(call, parser.get().body());
    if (!parser.get().keep_alive())
      connection_.reset();
  }

  SoakRun& run_;
  std::unique_ptr<runtime::Connection> connection_;
  proxy::Buffer buffer_;
};

class Application {
 public:
  Application(SoakRun& run, int number) : run_(run), name_("application" + std::to_string(number)), connection_(run) {}
  void sendCallsUntilLoadEnds() {
    while (run_.loadActive) {
      pause();
      executeRandomCall();
    }
  }

 private:
  static constexpr std::uint64_t kPausesPerLongPause = 25;

  void pause() const {
    const bool isLong = run_.draw(kPausesPerLongPause) == 0;
    runtime::EventLoop::get().sleepFor(isLong ? run_.drawDuration(500ms, 2500ms) : run_.drawDuration(2ms, 60ms));
  }
  Call makeCall(CallKind kind, const std::string& name) const {
    Call call;
    call.kind = kind;
    call.caller = name_;
    call.name = name;
    return call;
  }
  void executeRandomCall() {
    switch (run_.draw(7)) {
      case 0:
      case 1:
        return useLock(lockName(run_.draw(kLocks)));
      case 2:
        (void)connection_.send(makeCall(CallKind::number, numberName(run_.draw(kNumbers))));
        return;
      case 3:
        return read(drawCell());
      case 4:
      case 5:
        return put(drawCell());
      default:
        return watch(groupName(run_.draw(kGroups)));
    }
  }
  std::string drawCell() { return cellName(run_.draw(kGroups), run_.draw(kCellsPerGroup)); }
  void useLock(const std::string& lock) {
    const auto taken = fences_.find(lock);
    if (taken == fences_.end())
      return beginLock(lock);
    const bool renews = run_.draw(3) != 0;
    auto call = makeCall(renews ? CallKind::renewLock : CallKind::releaseLock, lock);
    call.fence = taken->second;
    call.holdMs = renews ? drawHold() : 0;
    if (!renews)
      fences_.erase(taken);
    if (connection_.send(call).status == kConflict)
      fences_.erase(lock);
  }
  void beginLock(const std::string& lock) {
    auto call = makeCall(CallKind::beginLock, lock);
    call.holdMs = drawHold();
    const auto answered = connection_.send(call);
    if (answered.succeeded())
      fences_[lock] = answered.number;
  }
  std::int64_t drawHold() { return run_.drawDuration(100ms, 2500ms).count(); }
  void read(const std::string& cell) { revisions_[cell] = connection_.send(makeCall(CallKind::read, cell)).number; }
  // Sends a put. Without a definite response the same put is sent again, up to `kMaxPutAttempts` times in all. After a
  // 5xx response the put is abandoned half of the time.
  void put(const std::string& cell) {
    auto call = makeCall(CallKind::put, cell);
    call.value = name_ + "-" + std::to_string(++putCount_);
    if (const auto known = revisions_.find(cell); known != revisions_.end() && run_.draw(2) == 0)
      call.appliesTo = known->second;
    for (int attempt = 0; attempt < kMaxPutAttempts; ++attempt) {
      const auto answered = connection_.send(call);
      const bool refused = answered.status == kPreconditionFailed || answered.status >= 500;
      if (answered.succeeded() || answered.status == kPreconditionFailed || (refused && run_.draw(2) == 0))
        return;
      runtime::EventLoop::get().sleepFor(kRetryInterval);
    }
  }
  void watch(const std::string& group) {
    auto call = makeCall(CallKind::watch, group);
    call.after = watchedRevisions_[group];
    const auto answered = connection_.send(call);
    if (answered.succeeded())
      watchedRevisions_[group] = answered.number;
  }

  SoakRun& run_;
  std::string name_;
  ControllerConnection connection_;
  std::map<std::string, std::int64_t> fences_;            // by lock name
  std::map<std::string, std::int64_t> revisions_;         // by cell name
  std::map<std::string, std::int64_t> watchedRevisions_;  // last revision seen, by group
  int putCount_ = 0;
};
/// Repeats one call at random controllers until a response is 200 or 404, for at most `kReadBackTimeout`.
void readUntilAnswered(SoakRun& run, const Call& call) {
  ControllerConnection connection(run);
  for (const auto end = Clock::now() + kReadBackTimeout; Clock::now() < end;
       runtime::EventLoop::get().sleepFor(kRetryInterval)) {
    const auto status = connection.send(call).status;
    if (status == kOk || status == kNotFound)
      return;
  }
  run.failedFinalReads.push_back(call.name);
}
}  // namespace

void startApplications(SoakRun& run) {
  for (int number = 0; number < run.plan.applications; ++number)
    run.spawn([&run, number] { Application(run, number).sendCallsUntilLoadEnds(); });
}
void readBackApplications(SoakRun& run) {
  Call call;
  call.caller = "reader";
  call.holdMs = 1;
  const auto spawnRead = [&](CallKind kind, const std::string& name) {
    call.kind = kind;
    call.name = name;
    run.spawn([&run, call] { readUntilAnswered(run, call); });
  };
  for (int lock = 0; lock < kLocks; ++lock)
    spawnRead(CallKind::beginLock, lockName(static_cast<std::uint64_t>(lock)));
  for (int number = 0; number < kNumbers; ++number)
    spawnRead(CallKind::number, numberName(static_cast<std::uint64_t>(number)));
  for (std::uint64_t group = 0; group < kGroups; ++group) {
    spawnRead(CallKind::watch, groupName(group));
    for (std::uint64_t cell = 0; cell < kCellsPerGroup; ++cell)
      spawnRead(CallKind::read, cellName(group, cell));
  }
}
}  // namespace zinccleat::soak
