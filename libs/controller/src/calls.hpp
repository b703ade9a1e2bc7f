/// The calls of runners and operators (api/control.yaml), without sockets: a request in, an answer out.
///
/// What holds for each of them:
/// - A machine that has no recent contact with a majority of the core acknowledges nothing and refuses nothing: it
///   answers 503, and the caller goes on to another machine. Heartbeats too: the leader would not hear of them, and
///   would drop a healthy runner whose `heartbeatUri` holds it here. What this copy knows to be committed for good (a
///   configuration that was taken, a runner that has left) may still be confirmed: no later change undoes it.
/// - No answer takes longer than a caller waits (a second, more for a large body): later it would go to nobody.
/// - A 4xx is a judgement of the call's own text, or the verdict of a committed write; never of a copy that may be old.
#pragma once
#include "config/settings.hpp"
#include "state_machine/replicated_state.hpp"
namespace zinccleat::controller {
/// What the calls need of the core machine that serves them.
class CoreServices {
 public:
  virtual ~CoreServices() = default;
  virtual const config::Settings& settings() const = 0;
  /// This machine's applied copy: committed, but it may be old.
  virtual const state_machine::ReplicatedState& copy() const = 0;
  /// A majority of the core was heard of a moment ago, by way of a leader or as the leader.
  virtual bool inContact() const = 0;
  /// Parks the calling fiber until there is contact; false: there was none in that time.
  virtual bool awaitContact(Duration within) = 0;
  /// False: what this machine hears of runners does not reach the leader.
  virtual bool heartbeatsReachLeader() const = 0;
  virtual void noteHeartbeat(const std::string& runnerId) = 0;
  /// Parks the calling fiber until its own write is committed and applied here; the verdict is the copy's.
  virtual Result<std::int32_t> write(transport::LogEntry entry, Duration within) = 0;
  /// Parks until this copy is as new as the leader's at the time of asking.
  virtual Result<void> fresh(Duration within) = 0;
  virtual std::string operationId() = 0;
  /// Empty: unknown, or this machine leads.
  virtual std::string leaderControl() const = 0;
  virtual double requestsPerS() const = 0;
  virtual std::string statusJson() const = 0;
  virtual std::string zoneDrainsJson() const = 0;
  /// Hints from the partner site, as its call brought them; the answer is our own news, sealed.
  virtual Result<std::string> hintsFrom(std::string_view body, std::string_view seal) = 0;
};

struct ApiRequest {
  std::string method;
  std::string target;  // path and query
  std::string body;
  std::string baseVersion;  // X-Base-Version
  std::string hintSeal;     // X-Hint-Seal
};
struct ApiResponse {
  int status = 200;
  std::string body = "{}";
  std::string heads;
};
/// An answer that tells of a failure; a 503 says when to come back.
ApiResponse errorResponse(int status, std::string_view why);
/// The same with the HTTP status that fits the error.
ApiResponse errorResponse(const Error& error);
/// heartbeatUri: where a runner that was acknowledged here may send its next beats.
ApiResponse answerCall(CoreServices& core, const ApiRequest& request, const std::string& heartbeatUri);
}  // namespace zinccleat::controller
