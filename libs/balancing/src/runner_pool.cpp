#include "balancing/runner_pool.hpp"

#include <charconv>

namespace zinccleat::balancing {
namespace {
constexpr auto kReportLife = 1500ms;    // older news of a load counts for nothing
constexpr double kReadAgain = 4;        // how much dearer a part read again is than the same prompt waiting
constexpr int kTryOneIn = 12;           // requests that may go to a runner that was ill not long ago
constexpr double kOtherZone = 700;      // in tokens
constexpr double kOtherRegion = 30000;  // in tokens: far away, so only when the near ones are clearly busy
}  // namespace
void RunnerPool::follow(const std::vector<state_machine::Runner>& runners) {
  for (auto& d : runners_)
    d.present = false;
  for (auto& r : runners) {
    const auto it = byId_.find(r.id);
    int i = 0;
    if (it == byId_.end()) {
      // A place nobody uses any more serves again.
      for (; i < static_cast<int>(runners_.size()); ++i)
        if (!runners_[i].present && runners_[i].inFlight == 0 && !byId_.contains(runners_[i].id))
          break;
      if (i == static_cast<int>(runners_.size()))
        runners_.emplace_back();
      runners_[i] = RunnerSlot{};
      runners_[i].id = r.id;
      byId_[r.id] = i;
    } else {
      i = it->second;
    }
    auto& d = runners_[i];
    d.service = r.service;
    d.address = r.address;
    d.zone = r.zone;
    d.capacity = static_cast<int>(r.capacity);
    d.draining = r.runnerState() == state_machine::RunnerState::draining;
    d.present = true;
  }
  setZoneDrains(std::move(zoneDrains_));
  for (auto it = byId_.begin(); it != byId_.end();)
    if (!runners_[it->second].present)
      it = byId_.erase(it);
    else
      ++it;
}
void RunnerPool::setZoneDrains(std::map<std::string, ZoneDrainLevel> zones) {
  zoneDrains_ = std::move(zones);
  for (auto& d : runners_) {
    const auto it = zoneDrains_.find(d.zone);
    d.drainPercent = it == zoneDrains_.end() ? 0 : it->second.share;
    d.migrateStreams = it != zoneDrains_.end() && it->second.migrateStreams;
  }
}
int RunnerPool::inFlightIn(const std::set<std::string>& zones) const {
  int n = 0;
  for (auto& d : runners_)
    if (zones.contains(d.zone))
      n += d.inFlight;
  return n;
}
void RunnerPool::loadReported(int i, std::string_view load, TimePoint now) {
  int v[3] = {0, 0, 0};
  const char* p = load.data();
  const char* e = p + load.size();
  for (int& k : v) {
    while (p < e && *p == ' ')
      ++p;
    const auto r = std::from_chars(p, e, k);
    if (r.ec != std::errc{})
      return;
    p = r.ptr;
    if (p < e && *p == ',')
      ++p;
  }
  auto& d = at(i);
  d.reportedRunning = v[0];
  d.reportedWaiting = v[1];
  d.reportedSlots = v[2];
  d.inFlightAtReport = d.inFlight;
  d.unreadAtReport = d.unread;
  d.reportedAt = now;
}
double RunnerPool::load(int i, TimePoint now) const {
  const auto& d = runners_[static_cast<std::size_t>(i)];
  const double slots = std::max(1, d.reportedSlots > 0 ? d.reportedSlots : d.capacity);
  double n = d.inFlight;
  if (now - d.reportedAt < kReportLife)
    n = std::max<double>(d.inFlight, d.reportedRunning + d.reportedWaiting + (d.inFlight - d.inFlightAtReport));
  return n / slots;
}
void RunnerPool::recordFailure(int i, TimePoint now) {
  auto& d = at(i);
  d.failures = std::min(d.failures + 1, 4);
  d.backoffUntil = now + 300ms * (1 << d.failures);
}
void RunnerPool::attemptBegan(int i, std::int64_t tokens) {
  auto& d = at(i);
  ++d.inFlight;
  ++d.unread;
  d.unreadTokens += tokens;
  if (tokens > 0)
    meanPrompt_ = meanPrompt_ * 0.98 + static_cast<double>(tokens) * 0.02;
}
void RunnerPool::promptRead(int i, std::int64_t tokens) {
  auto& d = at(i);
  --d.unread;
  d.unreadTokens -= tokens;
}
void RunnerPool::setEjected(const std::vector<transport::RunnerEjection>& runners) {
  for (auto& d : runners_)
    d.ejected = 0;
  for (auto& g : runners)
    if (const auto it = byId_.find(g.runner); it != byId_.end())
      runners_[static_cast<std::size_t>(it->second)].ejected = g.level;
}
int RunnerPool::choose(const RunnerQuery& query, TimePoint now) {
  std::vector<int> good;
  std::vector<int> shunned;
  std::vector<int> closing;
  // Why by part: all nodes move the same parts at the same step, so each is read anew once, at one place.
  const auto turn = static_cast<int>((query.affinity ? query.affinity >> 8 : rng_()) % 100);
  for (int i = 0; i < static_cast<int>(runners_.size()); ++i) {
    auto& d = runners_[i];
    if (!d.present || d.draining || d.service != query.service)
      continue;
    if (std::find(query.excluded.begin(), query.excluded.end(), i) != query.excluded.end())
      continue;
    // Why one at a time after a fault: a runner that is still ill should cost one request, not many.
    if (d.backoffUntil > now || (d.failures > 0 && d.inFlight > 0))
      shunned.push_back(i);
    // Why so few, and only what may be repeated: whoever returns from an illness is not proven well yet.
    else if (d.ejected >= 1 || (d.ejected > 0 && (!query.idempotent || d.inFlight > 0 || rng_() % kTryOneIn)))
      shunned.push_back(i);
    else if (turn < d.drainPercent)
      closing.push_back(i);
    else
      good.push_back(i);
  }
  // A place that is closing still serves rather than nobody.
  if (good.empty())
    good = std::move(closing);
  if (good.empty()) {
    // Why one that is shunned all the same: a guess is worth more than nothing.
    if (shunned.empty())
      return -1;
    return shunned[rng_() % shunned.size()];
  }
  return query.engine ? chooseEngine(query, good, now) : choosePlain(query, good, now);
}
// Every node ranks the runners of a shared part alike, so the part is read at one place without a word between
// them. Leaving that place is charged what reading the part again costs, so it happens only when the place has
// clearly more prompts to read first.
int RunnerPool::chooseEngine(const RunnerQuery& query, const std::vector<int>& good, TimePoint now) {
  int home = -1;
  std::uint64_t top = 0;
  // A part's home is sought in the client's own region while that has a runner.
  const bool near =
      std::any_of(good.begin(), good.end(), [&](int i) { return sameRegion(runners_[i].zone, query.zone); });
  if (query.affinity)
    for (int i : good) {
      if (near && !sameRegion(runners_[i].zone, query.zone))
        continue;
      const auto r = hash64(runners_[i].id, query.affinity);
      if (home < 0 || r > top)
        home = i, top = r;
    }
  int best = -1;
  double least = 0;
  for (int i : good) {
    const auto& d = runners_[i];
    auto cost = static_cast<double>(d.unreadTokens);
    if (now - d.reportedAt < kReportLife)
      cost += std::max(0, d.reportedWaiting - d.unreadAtReport) * meanPrompt_;
    const double full = load(i, now);
    // A batch that fills up slows all its streams; one that is full makes them wait for a place.
    cost += full * 2000;
    if (full > 0.9)
      cost += 50000 * (full - 0.9) + 5000;
    if (i != home)
      cost += static_cast<double>(query.sharedTokens) * kReadAgain;
    // Bytes between zones count for little beside a part read again, but for something.
    if (d.zone != query.zone)
      cost += sameRegion(d.zone, query.zone) ? kOtherZone : kOtherRegion;
    cost += static_cast<double>(rng_() % 100);
    if (best < 0 || cost < least)
      best = i, least = cost;
  }
  return best;
}
bool RunnerPool::sameRegion(std::string_view a, std::string_view b) const {
  const auto x = regions_.find(std::string(a));
  const auto y = regions_.find(std::string(b));
  // Zones that nobody has named are taken as near: a guess must not shut a runner out.
  return x == regions_.end() || y == regions_.end() || x->second == y->second;
}
int RunnerPool::choosePlain(const RunnerQuery& query, const std::vector<int>& good, TimePoint now) {
  int best = -1;
  double least = 0;
  for (int i : good) {
    double cost = load(i, now) + static_cast<double>(rng_() % 100) * 1e-4;
    // Why stay at home while it has room: the other zone is no faster then.
    if (runners_[i].zone != query.zone)
      cost += sameRegion(runners_[i].zone, query.zone) ? 0.3 : 1.0;
    if (best < 0 || cost < least)
      best = i, least = cost;
  }
  return best;
}
PromptParts promptOf(std::string_view p) {
  PromptParts out;
  const auto lastComma = p.rfind(',');
  if (lastComma != p.npos)
    out.affinity = hash64(p.substr(0, lastComma)) | 1;
  while (!p.empty()) {
    const auto c = std::min(p.find(','), p.size());
    const auto part = p.substr(0, c);
    const bool last = c == p.size();
    if (const auto colon = part.find(':'); colon != part.npos) {
      std::int64_t n = 0;
      std::from_chars(part.data() + colon + 1, part.data() + part.size(), n);
      out.all += n;
      if (!last)
        out.shared += n;
    }
    p.remove_prefix(std::min(p.size(), c + 1));
  }
  return out;
}
}  // namespace zinccleat::balancing
