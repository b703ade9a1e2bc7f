#include "coordination_history.hpp"

#include <set>

#include "coordination/sharding.hpp"

namespace zinccleat::coordination_history {
namespace {
constexpr int kPreconditionFailed = 412, kTooManyRequests = 429, kUnavailable = 503;
constexpr std::int64_t kMicrosecondsPerMs = 1000;

bool guaranteesNotExecuted(int status) {
  return status == kPreconditionFailed || status == kTooManyRequests || status == kUnavailable;
}
std::string describe(const Call& call) {
  static const std::map<CallKind, const char*> names{
      {CallKind::beginLock, "begin"}, {CallKind::renewLock, "renew"}, {CallKind::releaseLock, "release"},
      {CallKind::number, "number"},   {CallKind::put, "put"},         {CallKind::read, "read"},
      {CallKind::watch, "watch"}};
  return std::string(names.at(call.kind)) + " " + call.name + " by " + call.caller + " at " +
         std::to_string(call.sentAt) + ".." +
         (call.answeredAt == Call::kNever ? "?" : std::to_string(call.answeredAt)) + " -> " +
         std::to_string(call.status) + " " + std::to_string(call.number) + " " + call.value;
}
/// A number that was returned to a caller, with the time of the answer.
struct AnsweredNumber {
  std::int64_t at = 0;
  std::int64_t number = 0;
};
/// Finds the highest number that was returned before a point in time.
class AnsweredNumbers {
 public:
  void add(std::int64_t at, std::int64_t number) { all_.push_back({at, number}); }
  void sort() {
    std::sort(all_.begin(), all_.end(), [](const AnsweredNumber& a, const AnsweredNumber& b) { return a.at < b.at; });
    for (std::size_t i = 1; i < all_.size(); ++i)
      all_[i].number = std::max(all_[i].number, all_[i - 1].number);
  }
  std::int64_t highestBefore(std::int64_t moment) const {
    const auto end =
        std::partition_point(all_.begin(), all_.end(), [&](const AnsweredNumber& g) { return g.at < moment; });
    return end == all_.begin() ? 0 : std::prev(end)->number;
  }

 private:
  std::vector<AnsweredNumber> all_;
};

class Checker {
 public:
  explicit Checker(const std::vector<Call>& calls) : calls_(calls) {}
  std::vector<std::string> run() {
    checkLocks();
    checkNumbers();
    checkCells();
    checkWatches();
    return std::move(violations_);
  }

 private:
  void report(const std::string& rule, const std::string& what) { violations_.push_back(rule + ": " + what); }

  // --- locks: at most one holder at a time, ascending fences ---

  struct Hold {
    const Call* begin = nullptr;
    std::int64_t from = 0, until = 0;  // according to the caller's clock
  };
  void checkLocks() {
    std::map<std::string, std::vector<const Call*>> byLock;
    for (const auto& call : calls_)
      if (call.kind == CallKind::beginLock || call.kind == CallKind::renewLock || call.kind == CallKind::releaseLock)
        byLock[call.name].push_back(&call);
    for (const auto& [lock, calls] : byLock) {
      checkHolds(holdsIn(calls));
      checkFences(calls);
    }
  }
  static std::vector<Hold> holdsIn(const std::vector<const Call*>& calls) {
    std::vector<Hold> holds;
    for (const auto* call : calls)
      if (call->kind == CallKind::beginLock && call->succeeded())
        holds.push_back(holdOf(*call, calls));
    return holds;
  }
  // A hold lasts from its first answer until the duration of the last successful call has passed or a release is sent.
  static Hold holdOf(const Call& begin, const std::vector<const Call*>& calls) {
    Hold hold{&begin, begin.answeredAt, begin.sentAt + begin.holdMs * kMicrosecondsPerMs};
    std::vector<const Call*> callsOfHold;
    for (const auto* call : calls) {
      const bool afterBegin = call->caller == begin.caller && call->sentAt > begin.sentAt;
      if (afterBegin && (call->kind == CallKind::releaseLock || call->fence == begin.number))
        callsOfHold.push_back(call);
    }
    std::sort(callsOfHold.begin(), callsOfHold.end(),
              [](const Call* a, const Call* b) { return a->sentAt < b->sentAt; });
    for (const auto* call : callsOfHold) {
      if (call->kind == CallKind::releaseLock)
        hold.until = std::min(hold.until, call->sentAt);
      else if (call->succeeded() && call->answeredAt <= hold.until)
        hold.until = std::max(hold.until, call->sentAt + call->holdMs * kMicrosecondsPerMs);
    }
    return hold;
  }
  void checkHolds(std::vector<Hold> holds) {
    std::sort(holds.begin(), holds.end(), [](const Hold& a, const Hold& b) { return a.from < b.from; });
    const Hold* longest = nullptr;
    for (const auto& hold : holds) {
      if (hold.until <= hold.from)
        continue;
      if (longest && longest->until > hold.from && longest->begin->caller != hold.begin->caller)
        report("ONE", "two holders: " + describe(*longest->begin) + " until " + std::to_string(longest->until) +
                          " and " + describe(*hold.begin));
      if (!longest || hold.until > longest->until)
        longest = &hold;
    }
  }
  void checkFences(const std::vector<const Call*>& calls) {
    std::map<std::int64_t, const Call*> byFence;
    std::vector<const Call*> granted;
    for (const auto* call : calls)
      if (call->kind == CallKind::beginLock && call->succeeded())
        granted.push_back(call);
    AnsweredNumbers answeredBefore;
    for (const auto* call : granted) {
      const auto [known, added] = byFence.emplace(call->number, call);
      if (!added && known->second->caller != call->caller)
        report("ONE", "two holders with the same fence: " + describe(*known->second) + " and " + describe(*call));
      answeredBefore.add(call->answeredAt, call->number);
    }
    answeredBefore.sort();
    for (const auto* call : granted)
      if (call->number <= answeredBefore.highestBefore(call->sentAt))
        report("ONE", "a fence that is not above an earlier one: " + describe(*call));
  }

  // --- numbers ---

  void checkNumbers() {
    std::map<std::string, AnsweredNumbers> answeredBefore;
    std::set<std::pair<std::string, std::int64_t>> seen;
    for (const auto& call : calls_)
      if (call.kind == CallKind::number && call.succeeded()) {
        answeredBefore[call.name].add(call.answeredAt, call.number);
        if (!seen.insert({call.name, call.number}).second)
          report("ORDER", "a number was returned twice: " + describe(call));
      }
    for (auto& [name, numbers] : answeredBefore)
      numbers.sort();
    for (const auto& call : calls_)
      if (call.kind == CallKind::number && call.succeeded() &&
          call.number <= answeredBefore[call.name].highestBefore(call.sentAt))
        report("ORDER", "a number that is not above an earlier one: " + describe(call));
  }

  // --- cells: puts, reads and events of watches ---

  /// A put with all its repetitions.
  struct Put {
    std::int64_t firstSentAt = Call::kNever;
    std::int64_t revision = 0;  ///< 0: unknown
    bool refused = false;       ///< an answer to the put guarantees that it was not executed
    int copies = 0;
  };
  using PutKey = std::pair<std::string, std::string>;  // cell and value

  void collectPuts() {
    for (const auto& call : calls_) {
      if (call.kind != CallKind::put)
        continue;
      auto& put = puts_[{call.name, call.value}];
      put.firstSentAt = std::min(put.firstSentAt, call.sentAt);
      ++put.copies;
      put.refused |= guaranteesNotExecuted(call.status);
    }
  }
  /// Records the revision of a cell's value as it occurs in an answer.
  void recordRevision(const std::string& cell, const std::string& value, std::int64_t revision, const Call& by) {
    const auto put = puts_.find({cell, value});
    if (put == puts_.end() || put->second.firstSentAt > by.answeredAt)
      return report("MIXED", "a value that was never put: " + describe(by));
    if (put->second.refused && put->second.copies == 1)
      report("REFUSED", "a value whose put was refused: " + describe(by));
    if (put->second.revision != 0 && put->second.revision != revision)
      report("MIXED", "a put with two revisions: " + describe(by));
    put->second.revision = revision;
    const auto group = std::string(coordination::groupOf(cell));
    const auto [known, added] = revisions_[group].emplace(revision, PutKey{cell, value});
    if (!added && known->second != PutKey{cell, value})
      report("ORDER", "a revision of two puts: " + describe(by));
  }
  void checkCells() {
    collectPuts();
    std::map<std::string, AnsweredNumbers> ofCell;
    std::map<std::string, AnsweredNumbers> ofGroup;
    for (const auto& call : calls_) {
      const bool cellCall = call.kind == CallKind::put || call.kind == CallKind::read;
      if (cellCall && call.succeeded())
        recordRevision(call.name, call.value, call.number, call);
      if (call.kind == CallKind::put && call.succeeded())
        ofCell[call.name].add(call.answeredAt, call.number);
      if (cellCall && call.succeeded())
        ofGroup[std::string(coordination::groupOf(call.name))].add(call.answeredAt, call.number);
      for (const auto& event : call.events)
        recordRevision(event.cell, event.value, event.revision, call);
    }
    for (auto* answeredBefore : {&ofCell, &ofGroup})
      for (auto& [name, numbers] : *answeredBefore)
        numbers.sort();
    for (const auto& call : calls_) {
      if (call.kind == CallKind::read && (call.succeeded() || call.status == 404) &&
          call.number < ofCell[call.name].highestBefore(call.sentAt))
        report("STALE", "a read that misses an acknowledged put: " + describe(call));
      if (call.kind == CallKind::put)
        checkPut(call, ofGroup[std::string(coordination::groupOf(call.name))]);
    }
  }
  void checkPut(const Call& call, const AnsweredNumbers& answeredBefore) {
    if (call.status == kPreconditionFailed && call.number != 0 && !isRevisionOf(call.name, call.number))
      report("MIXED", "a 412 with a revision that the cell never had: " + describe(call));
    if (!call.succeeded())
      return;
    const auto& put = puts_.at({call.name, call.value});
    if (call.number <= answeredBefore.highestBefore(put.firstSentAt))
      report("ORDER", "a revision that is not above an earlier one: " + describe(call));
    if (call.appliesTo == coordination::kAnyRevision)
      return;
    for (const auto& [revision, other] : revisions_[std::string(coordination::groupOf(call.name))])
      if (other.first == call.name && revision > call.appliesTo && revision < call.number)
        report("ORDER", "a put that overwrites a later revision than expected: " + describe(call));
  }
  bool isRevisionOf(const std::string& cell, std::int64_t revision) {
    const auto& revisions = revisions_[std::string(coordination::groupOf(cell))];
    const auto known = revisions.find(revision);
    // A revision that no answer contains may belong to a put whose answer was lost.
    return known == revisions.end() || known->second.first == cell;
  }

  // --- watches: ascending, complete and up to date ---

  void checkWatches() {
    std::map<std::string, AnsweredNumbers> acknowledged;
    for (const auto& call : calls_)
      if (call.kind == CallKind::put && call.succeeded())
        acknowledged[std::string(coordination::groupOf(call.name))].add(call.answeredAt, call.number);
    for (auto& [group, numbers] : acknowledged)
      numbers.sort();
    for (const auto& call : calls_)
      if (call.kind == CallKind::watch && call.succeeded()) {
        checkEvents(call);
        if (call.number < acknowledged[call.name].highestBefore(call.sentAt))
          report("LOST", "a watch that misses an acknowledged put: " + describe(call));
      }
  }
  void checkEvents(const Call& call) {
    std::int64_t last = call.after;
    std::set<std::int64_t> shownRevisions;
    for (const auto& event : call.events) {
      if (event.revision <= last)
        report("ORDER", "events that are not in ascending order: " + describe(call));
      last = event.revision;
      shownRevisions.insert(event.revision);
    }
    if (call.number < call.after)
      report("ORDER", "a watch whose revision decreases: " + describe(call));
    if (call.after == 0)
      return;
    const auto& revisions = revisions_[call.name];
    for (auto it = revisions.upper_bound(call.after); it != revisions.end() && it->first <= call.number; ++it)
      if (!shownRevisions.contains(it->first))
        report("ORDER", "a watch that skips revision " + std::to_string(it->first) + ": " + describe(call));
  }

  const std::vector<Call>& calls_;
  std::map<PutKey, Put> puts_;
  std::map<std::string, std::map<std::int64_t, PutKey>> revisions_;  // by group
  std::vector<std::string> violations_;
};
}  // namespace

std::vector<std::string> violationsIn(const std::vector<Call>& calls) {
  return Checker(calls).run();
}
}  // namespace zinccleat::coordination_history
