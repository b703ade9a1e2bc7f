#include "calls.hpp"

#include "config/configuration.hpp"
#include "config/control_requests.hpp"
#include "proxy/http.hpp"

namespace zinccleat::controller {
namespace {
// A caller goes on after a second of silence; the rest is for the way there and back.
constexpr Duration kAnswerWithin{850};
// A change of the leader takes contact from all machines alike, and for less than a second: waiting a little spares an
// operator the growing pauses of one who was turned away everywhere.
constexpr Duration kContactWithin{300};
// Callers wait longer for an answer to a large body.
constexpr std::size_t kBytesPerExtraMs = 1024;
constexpr Duration kAnswerWithinMost{2500};

ApiResponse noContact() {
  return errorResponse(503, "no contact with a majority of the core");
}
ApiResponse redirect(const std::string& address, std::string_view path) {
  return {307, "{}", "Location: http://" + address + std::string(path) + "\r\n"};
}

/// The time that one answer may take, all its waits together.
class AnswerTime {
 public:
  explicit AnswerTime(std::size_t bodyBytes = 0)
      : end_(Clock::now() + std::min(kAnswerWithinMost, kAnswerWithin + Duration(static_cast<std::int64_t>(
                                                                            bodyBytes / kBytesPerExtraMs)))) {}
  Duration left() const { return std::max(Duration(0), toDuration(end_ - Clock::now())); }

 private:
  TimePoint end_;
};

bool sameRunner(const state_machine::Runner& a, const state_machine::Runner& b) {
  return a.address == b.address && a.service == b.service && a.capacity == b.capacity && a.zone == b.zone;
}
state_machine::Runner runnerOf(const config::RunnerHeartbeat& beat) {
  state_machine::Runner runner;
  runner.id = beat.id;
  runner.service = beat.service;
  runner.address = beat.address;
  runner.zone = beat.zone;
  runner.capacity = beat.capacity;
  runner.sequence = beat.sequence;
  runner.state = static_cast<std::int32_t>(beat.draining ? state_machine::RunnerState::draining
                                                         : state_machine::RunnerState::inService);
  return runner;
}
/// Whether a beat tells what the copy does not hold yet. A late one tells nothing; who drains stays so.
bool isNews(const state_machine::Runner& heard, const state_machine::Runner* known) {
  if (!known)
    return true;
  if (heard.sequence < known->sequence)
    return false;
  return !sameRunner(heard, *known) ||
         (heard.state != known->state && known->runnerState() != state_machine::RunnerState::draining);
}
// A join is acknowledged only once it is committed, like a draining beat. Why, though the next beat would find the
// runner unknown and write it again: the acknowledgement names a `heartbeatUri`, so a runner whose joins get no further
// from here would be kept here, alive and unknown, beat after beat. A 503 sends it to a machine that can write.
ApiResponse onHeartbeat(CoreServices& core, const std::string& id, const std::string& body, const std::string& uri) {
  const AnswerTime time;
  auto beat = config::parseRunnerHeartbeat(id, body);
  if (!beat)
    return errorResponse(beat.error());
  if (!core.inContact())
    return noContact();
  if (!core.heartbeatsReachLeader())
    return errorResponse(503, "the leader does not answer");
  core.noteHeartbeat(id);
  ApiResponse acknowledged{200, "{\"heartbeatUri\":" + config::quoteJson(uri) + "}", ""};
  const auto heard = runnerOf(*beat);
  if (core.copy().isDetached(id) || !isNews(heard, core.copy().runner(id)))
    return acknowledged;
  // Why the id names the content: the same news brought to two machines is one write.
  const auto operation =
      "runner/" + id + "/" + (beat->draining ? "draining" : "in") + "/" + std::to_string(beat->sequence);
  if (auto verdict = core.write(state_machine::runnerEntry(heard, operation), time.left()); !verdict)
    return errorResponse(503, verdict.error().message);
  return acknowledged;
}
ApiResponse onDetach(CoreServices& core, const std::string& id) {
  const AnswerTime time;
  if (core.copy().isDetached(id))
    return {};
  if (!core.awaitContact(kContactWithin))
    return noContact();
  state_machine::Runner runner;
  if (const auto* known = core.copy().runner(id))
    runner = *known;
  runner.id = id;
  runner.state = static_cast<std::int32_t>(state_machine::RunnerState::detached);
  runner.sequence = std::max<std::int64_t>(1, runner.sequence);
  if (auto verdict = core.write(state_machine::runnerEntry(runner, "runner/" + id + "/gone"), time.left()); !verdict)
    return errorResponse(503, verdict.error().message);
  return {};
}
Result<std::int64_t> baseVersionOf(std::string_view head) {
  constexpr std::int64_t kMost = 1'000'000'000'000'000;
  std::int64_t base = 0;
  for (char c : head) {
    if (c < '0' || c > '9' || base > kMost)
      return makeError(ErrorCode::invalidArgument, "X-Base-Version is no number");
    base = base * 10 + (c - '0');
  }
  return base;
}
ApiResponse onReplace(CoreServices& core, const ApiRequest& request) {
  const AnswerTime time(request.body.size());
  auto configuration = config::parseConfiguration(request.body);
  if (!configuration)
    return errorResponse(configuration.error());
  const auto base = baseVersionOf(request.baseVersion);
  if (!base)
    return errorResponse(base.error());
  const auto version = (*configuration)->version;
  ApiResponse taken{200, "{\"configVersion\":" + std::to_string(version) + "}", ""};
  // Why this copy may be old: what was taken once stays taken. Anything but a 200 it may not say.
  if (core.copy().evaluateReplace(*base, version, digestOf(request.body)) == 200)
    return taken;
  if (!core.awaitContact(kContactWithin))
    return noContact();
  auto change =
      state_machine::configurationChangeEntry(*base, version, request.body, core.operationId(), core.copy().state());
  const auto verdict = core.write(std::move(change), time.left());
  if (!verdict)
    return errorResponse(503, verdict.error().message);
  if (*verdict == state_machine::ReplicatedState::acknowledged)
    return taken;
  if (*verdict == state_machine::ReplicatedState::outcomeUnknown)
    return errorResponse(503, "too old to tell whether it was taken");
  return errorResponse(
      *verdict, *verdict == 412 ? "another configuration is in place" : "configVersion is not above the current one");
}
ApiResponse onRetrieve(CoreServices& core) {
  const AnswerTime time;
  if (!core.awaitContact(kContactWithin))
    return noContact();
  if (auto f = core.fresh(time.left()); !f)
    return errorResponse(503, f.error().message);
  if (core.copy().state().configuration.empty())
    return errorResponse(404, "no configuration yet");
  return {200, core.copy().state().configuration, ""};
}
/// Whether a call goes further in closing a place than what stands.
bool goesFurther(const config::ZoneDrainRequest& call, const std::vector<state_machine::ZoneDrain>& standing) {
  const auto was = std::find_if(standing.begin(), standing.end(), [&](auto& x) { return x.zone == call.zone; });
  if (was == standing.end())
    return call.drainPercent > 0 || call.notAccepting;
  return call.drainPercent > was->drainPercent || (call.notAccepting && !was->notAccepting);
}
bool isPlace(const config::Settings& settings, const std::string& place) {
  return std::any_of(settings.zones.begin(), settings.zones.end(),
                     [&](auto& zone) { return zone.first == place || zone.second == place; });
}
ApiResponse setZoneDrain(CoreServices& core, const std::string& body, const AnswerTime& time) {
  auto call = config::parseZoneDrainRequest(body);
  if (!call)
    return errorResponse(call.error());
  if (!isPlace(core.settings(), call->zone))
    return errorResponse(400, "no zone or region '" + call->zone + "'");
  // A move is kept clear of live play: while the fleet is busier than the operator allows, it goes no further.
  const bool busy = call->calmBelowPerS > 0 && core.requestsPerS() > call->calmBelowPerS;
  if (busy && !call->force && goesFurther(*call, core.copy().state().zoneDrains))
    return errorResponse(409,
                         "live play: " + std::to_string(static_cast<int>(core.requestsPerS())) + " requests a second");
  if (call->notAccepting && call->drainPercent < 100)
    return errorResponse(400, "doors are shut only once all new work keeps away (share 100)");
  const state_machine::ZoneDrain zoneDrain{call->zone, call->note, call->drainPercent, call->notAccepting};
  if (auto verdict = core.write(state_machine::zoneDrainEntry(zoneDrain, call->open, core.operationId()), time.left());
      !verdict)
    return errorResponse(503, verdict.error().message);
  return {200, core.zoneDrainsJson(), ""};
}
/// Closing a place: only the leader hears how busy the fleet is, so it alone decides. body: none only lists.
ApiResponse onZoneDrain(CoreServices& core, std::string_view path, const std::string* body) {
  const AnswerTime time;
  if (!core.awaitContact(kContactWithin))
    return noContact();
  if (const auto leader = core.leaderControl(); !leader.empty())
    return redirect(leader, path);
  if (auto f = core.fresh(time.left()); !f)
    return errorResponse(503, f.error().message);
  if (body)
    return setZoneDrain(core, *body, time);
  return {200, core.zoneDrainsJson(), ""};
}
/// Hints from the partner site go to the leader: it alone hears what all nodes send.
ApiResponse onHints(CoreServices& core, std::string_view path, const std::string& body, std::string_view seal) {
  if (!core.inContact())
    return noContact();
  if (const auto leader = core.leaderControl(); !leader.empty())
    return redirect(leader, path);
  auto answer = core.hintsFrom(body, seal);
  if (!answer)
    return errorResponse(answer.error());
  return {200, *answer, ""};
}
}  // namespace

namespace {
/// The HTTP status that tells a caller of the control interface about an error.
int httpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::invalidArgument:
      return 400;
    case ErrorCode::permissionDenied:
      return 403;
    case ErrorCode::notFound:
      return 404;
    default:
      return 503;
  }
}
}  // namespace
ApiResponse errorResponse(int status, std::string_view why) {
  return {status, proxy::jsonError(why), status == 503 ? "Retry-After: 0.2\r\n" : ""};
}
ApiResponse errorResponse(const Error& error) {
  return errorResponse(httpStatusOf(error.code), error.message);
}

// One function a call, read top to bottom.
ApiResponse answerCall(CoreServices& core, const ApiRequest& request, const std::string& heartbeatUri) {
  constexpr std::string_view beat = "/v1/Instances.Heartbeat/";
  constexpr std::string_view detach = "/v1/Instances.Detach/";
  const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
  const bool post = request.method == "POST";
  const bool get = request.method == "GET";
  if (path.substr(0, beat.size()) == beat)
    return post ? onHeartbeat(core, std::string(path.substr(beat.size())), request.body, heartbeatUri)
                : errorResponse(405, "POST only");
  if (path.substr(0, detach.size()) == detach)
    return post ? onDetach(core, std::string(path.substr(detach.size()))) : errorResponse(405, "POST only");
  if (path == "/v1/Configuration.Replace")
    return post ? onReplace(core, request) : errorResponse(405, "POST only");
  if (path == "/v1/Configuration.Retrieve")
    return get ? onRetrieve(core) : errorResponse(405, "GET only");
  if (path == "/v1/Closures.Set")
    return post ? onZoneDrain(core, path, &request.body) : errorResponse(405, "POST only");
  if (path == "/v1/Closures.List")
    return get ? onZoneDrain(core, path, nullptr) : errorResponse(405, "GET only");
  if (path == "/v1/Hints.Exchange")
    return post ? onHints(core, path, request.body, request.hintSeal) : errorResponse(405, "POST only");
  if (path == "/v1/Status")
    return get ? ApiResponse{200, core.statusJson(), ""} : errorResponse(405, "GET only");
  return errorResponse(404, "no such call");
}
}  // namespace zinccleat::controller
