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
constexpr std::size_t kMaxStates = 2'000'000;  // beyond this the search gives up, which counts as not linearizable
constexpr std::size_t kMaxNamedCalls = 8;      // calls named in an explanation

// A configuration as it was sent.
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
  // Undoes accept() of a change that was not accepted before.
  void undo(const OperatorCall& call, std::int64_t versionBefore, std::string bodyBefore) {
    accepted.erase(sentConfigurationOf(call));
    version = versionBefore;
    body = std::move(bodyBefore);
  }
  // Whether the call, answered as it was, fits here without changing anything.
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
      result.explanation = visited_.size() >= kMaxStates ? "the search gave up" : deepestFailure_;
    return result;
  }

 private:
  static bool isAnswered(const OperatorCall& call) { return call.answer != Answer::unknown; }

  // A call may come next if no other that is not yet in the order ended before it began.
  std::int64_t earliestEnd() const {
    auto earliest = OperatorCall::kNever;
    for (std::size_t i = 0; i < calls_.size(); ++i)
      if (!linearized_[i] && isAnswered(calls_[i]))
        earliest = std::min(earliest, calls_[i].ended);
    return earliest;
  }
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
  // Calls that change nothing are put into the order as soon as they fit: that excludes no order of the others.
  std::vector<std::size_t> linearizeAllThatFit(const Register& state) {
    std::vector<std::size_t> fitting;
    for (bool found = true; found;) {
      found = false;
      for (auto i : nextCalls())
        if (isAnswered(calls_[i]) && state.allowsResult(calls_[i])) {
          linearize(i);
          fitting.push_back(i);
          found = true;
        }
    }
    return fitting;
  }
  // Changes that may come next; of equal ones without an answer only one has to be tried.
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
  // One level of the search, kept in a vector rather than on the call stack: a history may hold thousands of changes,
  // and a fiber's stack is small.
  struct Step {
    std::vector<std::size_t> fitting;     // calls that fit without a change
    std::vector<std::size_t> candidates;  // changes still to try, the next one last
    std::optional<std::size_t> change;    // the change accepted last from here
    std::int64_t version = 0;             // of the register before it
    std::string body;
  };
  // Depth first over the orders of the changes. True: every answered call is in the order.
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
  void enterState() {
    auto& step = steps_.emplace_back();
    step.fitting = linearizeAllThatFit(register_);
    if (unlinearizedAnswered_ == 0 || !markVisited(register_))
      return;
    recordDeepest(register_);
    step.candidates = changes(register_);
    std::reverse(step.candidates.begin(), step.candidates.end());
  }
  void leaveState() {
    for (auto call : steps_.back().fitting)
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
  // Whether the state was not visited before: which calls are in the order, and the configuration.
  bool markVisited(const Register& state) {
    if (visited_.size() >= kMaxStates)
      return false;
    std::string key = std::to_string(state.version) + " " + state.body + " ";
    for (const bool done : linearized_)
      key.push_back(done ? '1' : '0');
    return visited_.insert(digestOf(key)).second;
  }
  void recordDeepest(const Register& state) {
    if (!deepestFailure_.empty() && unlinearizedAnswered_ >= fewestUnlinearizedAnswered_)
      return;
    fewestUnlinearizedAnswered_ = unlinearizedAnswered_;
    deepestFailure_ = "in version " + std::to_string(state.version) + " no order of the calls permits:";
    std::size_t named = 0;
    for (auto i : nextCalls())
      if (isAnswered(calls_[i]) && ++named <= kMaxNamedCalls)
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
  std::ptrdiff_t unlinearizedAnswered_ = 0,
                 fewestUnlinearizedAnswered_ = 0;  // answered calls that are not in the order
  std::unordered_set<std::string> visited_;
  std::string deepestFailure_;
};
// A read without an answer constrains nothing.
bool isUninformative(const OperatorCall& call) {
  return call.kind == Kind::retrieve && call.answer == Answer::unknown;
}
}  // namespace

LinearizabilityResult checkLinearizable(std::vector<OperatorCall> history) {
  std::erase_if(history, isUninformative);
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
