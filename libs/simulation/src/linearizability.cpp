#include "simulation/linearizability.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_set>

namespace zinccleat::simulation {
namespace {
using Kind = OperatorCall::Kind;
using Answer = OperatorCall::Answer;
constexpr std::size_t kMaxStates = 2'000'000;  // limit at which the search is aborted and reported as not linearizable
constexpr std::size_t kMaxListedCalls = 8;     // calls listed in an explanation

// The configuration in a Replace request. Two requests with equal version and body are the same change.
struct SentConfiguration {
  std::int64_t version = 0;
  std::string body;
  bool operator<(const SentConfiguration& other) const {
    return std::tie(version, body) < std::tie(other.version, other.body);
  }
};
SentConfiguration sentConfigurationOf(const OperatorCall& call) {
  return {call.version, call.body};
}
// The sequential specification: one configuration that all operators change and read.
struct Register {
  std::int64_t version = 0;
  std::string body;
  std::set<SentConfiguration> accepted;

  bool wasAccepted(const OperatorCall& call) const { return accepted.contains(sentConfigurationOf(call)); }
  bool wouldAccept(const OperatorCall& call) const {
    return !wasAccepted(call) && call.base == version && call.version > version;
  }
  void accept(const OperatorCall& call) {
    version = call.version;
    body = call.body;
    accepted.insert(sentConfigurationOf(call));
  }
  // Reverts accept() of a call that had not been accepted before; restores the version and body from before accept().
  void undo(const OperatorCall& call, std::int64_t versionBefore, std::string bodyBefore) {
    accepted.erase(sentConfigurationOf(call));
    version = versionBefore;
    body = std::move(bodyBefore);
  }
  // Whether the specification permits the call's recorded answer in the current state without a change of the state.
  bool allowsResult(const OperatorCall& call) const {
    if (call.kind == Kind::retrieve)
      return call.version == version && call.body == body;
    if (wasAccepted(call))
      return call.answer == Answer::acknowledged;
    if (wouldAccept(call) || call.answer == Answer::acknowledged)
      return false;
    if (call.answer == Answer::invalid)
      return call.version <= version || call.version <= call.base;
    return true;
  }
};

class Search {
 public:
  explicit Search(std::vector<OperatorCall> history)
      : calls_(std::move(history)),
        linearized_(calls_.size(), false),
        unlinearizedAnswered_(std::count_if(calls_.begin(), calls_.end(), isAnswered)) {}
  LinearizabilityResult run() {
    LinearizabilityResult result;
    result.linearizable = linearizeAllAnswered();
    result.statesVisited = visited_.size();
    if (!result.linearizable)
      result.explanation =
          visited_.size() >= kMaxStates ? "the search was aborted at the limit of states" : deepestFailure_;
    return result;
  }

 private:
  static bool isAnswered(const OperatorCall& call) { return call.answer != Answer::unknown; }

  // The earliest end of the answered calls that are not yet in the order; kNever if there is none. Only calls that
  // began by this time may come next in the order.
  std::int64_t earliestEnd() const {
    auto earliest = OperatorCall::kNever;
    for (std::size_t i = 0; i < calls_.size(); ++i)
      if (!linearized_[i] && isAnswered(calls_[i]))
        earliest = std::min(earliest, calls_[i].ended);
    return earliest;
  }
  // The calls that may come next in the order.
  std::vector<std::size_t> nextCalls() const {
    const auto until = earliestEnd();
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < calls_.size(); ++i)
      if (!linearized_[i] && calls_[i].began <= until)
        result.push_back(i);
    return result;
  }
  void linearize(std::size_t call) {
    linearized_[call] = true;
    unlinearizedAnswered_ -= isAnswered(calls_[call]);
  }
  void unlinearize(std::size_t call) {
    linearized_[call] = false;
    unlinearizedAnswered_ += isAnswered(calls_[call]);
  }
  // Appends to the order all answered calls that the state permits without a change, and returns them. Appending such
  // calls as early as possible excludes no order of the other calls.
  std::vector<std::size_t> linearizeAllPermitted(const Register& state) {
    std::vector<std::size_t> appendedCalls;
    for (bool found = true; found;) {
      found = false;
      for (auto i : nextCalls())
        if (isAnswered(calls_[i]) && state.allowsResult(calls_[i])) {
          linearize(i);
          appendedCalls.push_back(i);
          found = true;
        }
    }
    return appendedCalls;
  }
  // The Replace calls that may come next and would be accepted. Of equal unanswered calls only one is included, because
  // all of them lead to the same state.
  std::vector<std::size_t> changes(const Register& state) const {
    std::vector<std::size_t> result;
    std::set<SentConfiguration> seenUnanswered;
    for (auto i : nextCalls()) {
      const auto& call = calls_[i];
      if (call.kind != Kind::replace || !state.wouldAccept(call))
        continue;
      if (call.answer == Answer::acknowledged ||
          (!isAnswered(call) && seenUnanswered.insert(sentConfigurationOf(call)).second))
        result.push_back(i);
    }
    return result;
  }
  // One level of the search. The levels are kept in a vector instead of on the call stack, because a history may
  // contain thousands of changes and a fiber's stack is small.
  struct Step {
    std::vector<std::size_t> appendedCalls;  // calls that were appended to the order without a change of the state
    std::vector<std::size_t> candidates;     // changes that have not been tried yet; the next one to try is last
    std::optional<std::size_t> change;       // the change that is currently applied at this level
    std::int64_t version = 0;                // version of the register before `change`
    std::string body;                        // body of the register before `change`
  };
  // Depth-first search over the orders of the changes. Returns true if an order contains every answered call.
  bool linearizeAllAnswered() {
    enterState();
    while (unlinearizedAnswered_ != 0 && !steps_.empty()) {
      undoChange();
      if (steps_.back().candidates.empty())
        leaveState();
      else
        applyNextChange();
    }
    return unlinearizedAnswered_ == 0;
  }
  // Adds a level for the current state of the register, with the changes to try from there.
  void enterState() {
    auto& step = steps_.emplace_back();
    step.appendedCalls = linearizeAllPermitted(register_);
    if (unlinearizedAnswered_ == 0 || !markVisited(register_))
      return;
    recordDeepest(register_);
    step.candidates = changes(register_);
    std::reverse(step.candidates.begin(), step.candidates.end());
  }
  // Removes the last level and takes its calls out of the order.
  void leaveState() {
    for (auto call : steps_.back().appendedCalls)
      unlinearize(call);
    steps_.pop_back();
  }
  void applyNextChange() {
    auto& step = steps_.back();
    const auto call = step.candidates.back();
    step.candidates.pop_back();
    step.change = call;
    step.version = register_.version;
    step.body = register_.body;
    register_.accept(calls_[call]);
    linearize(call);
    enterState();
  }
  void undoChange() {
    auto& step = steps_.back();
    if (!step.change)
      return;
    register_.undo(calls_[*step.change], step.version, std::move(step.body));
    unlinearize(*step.change);
    step.change.reset();
  }
  // Records the search state, which consists of the set of calls in the order and the configuration. Returns false if
  // the state was visited before or the limit of states is reached.
  bool markVisited(const Register& state) {
    if (visited_.size() >= kMaxStates)
      return false;
    std::string key = std::to_string(state.version) + " " + state.body + " ";
    for (const bool done : linearized_)
      key.push_back(done ? '1' : '0');
    return visited_.insert(digestOf(key)).second;
  }
  // Writes the explanation for the state with the fewest answered calls outside the order so far.
  void recordDeepest(const Register& state) {
    if (!deepestFailure_.empty() && unlinearizedAnswered_ >= fewestUnlinearizedAnswered_)
      return;
    fewestUnlinearizedAnswered_ = unlinearizedAnswered_;
    deepestFailure_ = "in version " + std::to_string(state.version) + " no order of the calls permits:";
    std::size_t listedCount = 0;
    for (auto i : nextCalls())
      if (isAnswered(calls_[i]) && ++listedCount <= kMaxListedCalls)
        deepestFailure_ += "\n  " + describe(calls_[i]);
  }
  static std::string describe(const OperatorCall& call) {
    static constexpr const char* kAnswers[] = {"acknowledged", "412", "400", "read", "unknown"};
    const std::string what = call.kind == Kind::retrieve ? "Retrieve of version "
                                                         : "Replace on " + std::to_string(call.base) + " of version ";
    return call.caller + " [" + std::to_string(call.began) + ", " + std::to_string(call.ended) + "] " + what +
           std::to_string(call.version) + ": " + kAnswers[static_cast<int>(call.answer)] + " " +
           call.body.substr(0, 40);
  }

  std::vector<OperatorCall> calls_;
  std::vector<bool> linearized_;
  Register register_;
  std::vector<Step> steps_;
  // Number of answered calls that are not in the order: now, and the minimum reached during the search.
  std::ptrdiff_t unlinearizedAnswered_ = 0, fewestUnlinearizedAnswered_ = 0;
  std::unordered_set<std::string> visited_;
  std::string deepestFailure_;
};
// A Retrieve without an answer neither changes the configuration nor restricts the order.
bool hasNoConstraint(const OperatorCall& call) {
  return call.kind == Kind::retrieve && call.answer == Answer::unknown;
}
}  // namespace

LinearizabilityResult checkLinearizable(std::vector<OperatorCall> history) {
  std::erase_if(history, hasNoConstraint);
  std::stable_sort(history.begin(), history.end(), [](auto& a, auto& b) { return a.began < b.began; });
  return Search(std::move(history)).run();
}

std::size_t OperatorRecorder::replaceSent(const std::string& caller, std::int64_t at, std::int64_t base,
                                          std::int64_t version, const std::string& body) {
  OperatorCall call;
  call.kind = Kind::replace;
  call.caller = caller;
  call.began = at;
  call.base = base;
  call.version = version;
  call.body = body;
  calls_.push_back(std::move(call));
  return calls_.size() - 1;
}
std::size_t OperatorRecorder::retrieveSent(const std::string& caller, std::int64_t at) {
  OperatorCall call;
  call.kind = Kind::retrieve;
  call.caller = caller;
  call.began = at;
  calls_.push_back(std::move(call));
  return calls_.size() - 1;
}
void OperatorRecorder::replaceAnswered(std::size_t call, std::int64_t at, int status) {
  constexpr int kAccepted = 200;
  constexpr int kInvalid = 400;
  constexpr int kOtherVersion = 412;
  auto& recorded = calls_[call];
  if (status == kAccepted)
    recorded.answer = Answer::acknowledged;
  else if (status == kOtherVersion)
    recorded.answer = Answer::otherVersion;
  else if (status == kInvalid)
    recorded.answer = Answer::invalid;
  if (recorded.answer != Answer::unknown)
    recorded.ended = at;
}
void OperatorRecorder::retrieveAnswered(std::size_t call, std::int64_t at, std::int64_t version,
                                        const std::string& body) {
  auto& recorded = calls_[call];
  recorded.answer = Answer::configuration;
  recorded.ended = at;
  recorded.version = version;
  recorded.body = body;
}
}  // namespace zinccleat::simulation
