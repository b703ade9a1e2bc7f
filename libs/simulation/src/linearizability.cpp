#include "simulation/linearizability.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_set>

namespace zinccleat::simulation {
namespace {
using Kind = OperatorCall::Kind;
using Answer = OperatorCall::Answer;
constexpr std::size_t kMostStates = 2'000'000;  // beyond this the search gives up, which counts as not linearizable
constexpr std::size_t kMostNamed = 8;           // calls named in an explanation

// The configuration as one place that all operators change and read.
struct Register {
  std::int64_t version = 0;
  std::string body;
  std::set<std::pair<std::int64_t, std::string>> taken;

  bool wasTaken(const OperatorCall& c) const { return taken.contains({c.version, c.body}); }
  bool wouldTake(const OperatorCall& c) const { return !wasTaken(c) && c.base == version && c.version > version; }
  void take(const OperatorCall& c) {
    version = c.version;
    body = c.body;
    taken.emplace(c.version, c.body);
  }
  // Undoes take() of a change that was not taken before.
  void untake(const OperatorCall& c, std::int64_t versionBefore, std::string bodyBefore) {
    taken.erase({c.version, c.body});
    version = versionBefore;
    body = std::move(bodyBefore);
  }
  // Whether the call, answered as it was, fits here without changing anything.
  bool explains(const OperatorCall& c) const {
    if (c.kind == Kind::retrieve)
      return c.version == version && c.body == body;
    if (wasTaken(c))
      return c.answer == Answer::acknowledged;
    if (wouldTake(c) || c.answer == Answer::acknowledged)
      return false;
    if (c.answer == Answer::invalid)
      return c.version <= version || c.version <= c.base;
    return true;
  }
};

class Search {
 public:
  explicit Search(std::vector<OperatorCall> history)
      : calls_(std::move(history)),
        placed_(calls_.size(), false),
        open_(std::count_if(calls_.begin(), calls_.end(), isAnswered)) {}
  LinearizabilityResult run() {
    LinearizabilityResult result;
    result.linearizable = explainAll();
    result.statesVisited = visited_.size();
    if (!result.linearizable)
      result.explanation = visited_.size() >= kMostStates ? "the search gave up" : furthest_;
    return result;
  }

 private:
  static bool isAnswered(const OperatorCall& c) { return c.answer != Answer::unknown; }

  // A call may come next if no other that is still open ended before it began.
  std::int64_t earliestEnd() const {
    auto earliest = OperatorCall::kNever;
    for (std::size_t i = 0; i < calls_.size(); ++i)
      if (!placed_[i] && isAnswered(calls_[i]))
        earliest = std::min(earliest, calls_[i].ended);
    return earliest;
  }
  std::vector<std::size_t> candidates() const {
    const auto until = earliestEnd();
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < calls_.size(); ++i)
      if (!placed_[i] && calls_[i].began <= until)
        result.push_back(i);
    return result;
  }
  void place(std::size_t call) {
    placed_[call] = true;
    open_ -= isAnswered(calls_[call]);
  }
  void takeBack(std::size_t call) {
    placed_[call] = false;
    open_ += isAnswered(calls_[call]);
  }
  // Calls that change nothing are placed as soon as they fit: that keeps no other from its place.
  std::vector<std::size_t> placeAllThatFit(const Register& state) {
    std::vector<std::size_t> fitting;
    for (bool found = true; found;) {
      found = false;
      for (auto i : candidates())
        if (isAnswered(calls_[i]) && state.explains(calls_[i])) {
          place(i);
          fitting.push_back(i);
          found = true;
        }
    }
    return fitting;
  }
  // Changes that may come next; of equal orders without an answer only one need be tried.
  std::vector<std::size_t> changes(const Register& state) const {
    std::vector<std::size_t> result;
    std::set<std::pair<std::int64_t, std::string>> unanswered;
    for (auto i : candidates()) {
      const auto& c = calls_[i];
      if (c.kind != Kind::replace || !state.wouldTake(c))
        continue;
      if (c.answer == Answer::acknowledged || (!isAnswered(c) && unanswered.emplace(c.version, c.body).second))
        result.push_back(i);
    }
    return result;
  }
  // One change that was placed, and what followed from it. The search keeps these in a vector rather than on the call
  // stack: a history may hold thousands of changes, and a fiber's stack is small.
  struct Step {
    std::vector<std::size_t> fitting;   // calls placed because they fit without a change
    std::vector<std::size_t> untried;   // changes that may come next, the last one first
    std::optional<std::size_t> change;  // the change taken last from here
    std::int64_t version = 0;           // of the register before it
    std::string body;
  };
  // Depth first over the orders of the changes. True: every answered call has found a place.
  bool explainAll() {
    enter();
    while (open_ != 0 && !steps_.empty()) {
      takeBackChange();
      if (steps_.back().untried.empty())
        leave();
      else
        tryNextChange();
    }
    return open_ == 0;
  }
  void enter() {
    auto& step = steps_.emplace_back();
    step.fitting = placeAllThatFit(register_);
    if (open_ == 0 || !isNew(register_))
      return;
    noteFurthest(register_);
    step.untried = changes(register_);
    std::reverse(step.untried.begin(), step.untried.end());
  }
  void leave() {
    for (auto call : steps_.back().fitting)
      takeBack(call);
    steps_.pop_back();
  }
  void tryNextChange() {
    auto& step = steps_.back();
    const auto call = step.untried.back();
    step.untried.pop_back();
    step.change = call;
    step.version = register_.version;
    step.body = register_.body;
    register_.take(calls_[call]);
    place(call);
    enter();
  }
  void takeBackChange() {
    auto& step = steps_.back();
    if (!step.change)
      return;
    register_.untake(calls_[*step.change], step.version, std::move(step.body));
    takeBack(*step.change);
    step.change.reset();
  }
  // The state: what is placed, and what of the register the placing does not tell.
  bool isNew(const Register& state) {
    if (visited_.size() >= kMostStates)
      return false;
    std::string key = std::to_string(state.version) + " " + state.body + " ";
    for (bool p : placed_)
      key.push_back(p ? '1' : '0');
    return visited_.insert(digestOf(key)).second;
  }
  void noteFurthest(const Register& state) {
    if (!furthest_.empty() && open_ >= fewestOpen_)
      return;
    fewestOpen_ = open_;
    furthest_ = "in version " + std::to_string(state.version) + " nothing explains:";
    std::size_t named = 0;
    for (auto i : candidates())
      if (isAnswered(calls_[i]) && ++named <= kMostNamed)
        furthest_ += "\n  " + describe(calls_[i]);
  }
  static std::string describe(const OperatorCall& c) {
    static constexpr const char* kAnswers[] = {"acknowledged", "412", "400", "read", "unknown"};
    const std::string what =
        c.kind == Kind::retrieve ? "Retrieve of version " : "Replace on " + std::to_string(c.base) + " of version ";
    return c.caller + " [" + std::to_string(c.began) + ", " + std::to_string(c.ended) + "] " + what +
           std::to_string(c.version) + ": " + kAnswers[static_cast<int>(c.answer)] + " " + c.body.substr(0, 40);
  }

  std::vector<OperatorCall> calls_;
  std::vector<bool> placed_;
  Register register_;
  std::vector<Step> steps_;
  std::ptrdiff_t open_ = 0, fewestOpen_ = 0;  // answered calls without a place
  std::unordered_set<std::string> visited_;
  std::string furthest_;
};
// A read without an answer tells nothing.
bool tellsNothing(const OperatorCall& c) {
  return c.kind == Kind::retrieve && c.answer == Answer::unknown;
}
}  // namespace

LinearizabilityResult checkLinearizable(std::vector<OperatorCall> history) {
  std::erase_if(history, tellsNothing);
  std::stable_sort(history.begin(), history.end(), [](auto& a, auto& b) { return a.began < b.began; });
  return Search(std::move(history)).run();
}

std::size_t OperatorRecorder::replaceSent(const std::string& caller, std::int64_t at, std::int64_t base,
                                          std::int64_t version, const std::string& body) {
  OperatorCall c;
  c.kind = Kind::replace;
  c.caller = caller;
  c.began = at;
  c.base = base;
  c.version = version;
  c.body = body;
  calls_.push_back(std::move(c));
  return calls_.size() - 1;
}
std::size_t OperatorRecorder::retrieveSent(const std::string& caller, std::int64_t at) {
  OperatorCall c;
  c.kind = Kind::retrieve;
  c.caller = caller;
  c.began = at;
  calls_.push_back(std::move(c));
  return calls_.size() - 1;
}
void OperatorRecorder::replaceAnswered(std::size_t call, std::int64_t at, int status) {
  constexpr int kTaken = 200;
  constexpr int kInvalid = 400;
  constexpr int kOtherVersion = 412;
  auto& c = calls_[call];
  if (status == kTaken)
    c.answer = Answer::acknowledged;
  else if (status == kOtherVersion)
    c.answer = Answer::otherVersion;
  else if (status == kInvalid)
    c.answer = Answer::invalid;
  if (c.answer != Answer::unknown)
    c.ended = at;
}
void OperatorRecorder::retrieveAnswered(std::size_t call, std::int64_t at, std::int64_t version,
                                        const std::string& body) {
  auto& c = calls_[call];
  c.answer = Answer::configuration;
  c.ended = at;
  c.version = version;
  c.body = body;
}
}  // namespace zinccleat::simulation
