#include "outliers.hpp"

#include <cmath>

namespace zinccleat::controller {
namespace {
constexpr double kHalfLifeS = 2;  // of a word
constexpr auto kWordLives = 4s;
constexpr double kEnough = 2.5;    // bad attempts, faded
constexpr std::size_t kNodes = 2;  // nobody is set aside on one node's word alone
constexpr double kShare = 0.25;    // of its attempts are bad ...
constexpr double kPeers = 3;       // ... and so many times more than at its peers,
constexpr double kFarWorse = 0.4;  // or by so much of all more, where many peers are ill too
constexpr auto kAside = 1500ms;    // doubled with each strike
constexpr int kStrikesMost = 3;
constexpr auto kTrial = 1500ms;
constexpr double kTrialLevel = 0.5;
constexpr auto kForget = 15s;
}  // namespace
void OutlierDetector::fade(Mark& m, TimePoint now) {
  if (m.at != TimePoint{} && now > m.at) {
    const double f = std::exp2(-std::chrono::duration<double>(now - m.at).count() / kHalfLifeS);
    m.good *= f;
    m.bad *= f;
  }
  m.at = now;
  std::erase_if(m.nodes, [&](auto& n) { return now - n.second > kWordLives; });
}
void OutlierDetector::set(Mark& m, Standing s, TimePoint now) {
  m.standing = s;
  m.since = now;
  m.good = m.bad = 0;
  m.nodes.clear();
  if (s == Standing::aside)
    m.until = now + kAside * (1 << m.strikes), m.strikes = std::min(kStrikesMost, m.strikes + 1);
  if (s == Standing::trial)
    m.until = now + kTrial;
}
void OutlierDetector::noOp(std::int64_t term) {
  marks_.clear();
  list_.clear();
  version_ = (term << 24) + 1;
}
void OutlierDetector::told(TimePoint now, const std::string& node, const std::vector<transport::RunnerAttempts>& seen) {
  for (auto& g : seen) {
    // Why nothing beyond some: one node's word counts, its shouting does not.
    const double good = std::clamp(g.succeeded, 0.0, 50.0);
    const double bad = std::clamp(g.failed, 0.0, 4.0);
    if (!known_.contains(g.runner)) {
      ++declined_;
      continue;
    }
    if (!(good + bad > 0))
      continue;
    auto& m = marks_[g.runner];
    fade(m, now);
    m.good += good;
    m.bad += bad;
    if (bad > 0)
      m.nodes[node] = now;
  }
}
void OutlierDetector::evaluate(TimePoint now, const std::vector<state_machine::Runner>& runners) {
  struct Fleet {
    std::size_t count = 0, aside = 0;
    double good = 0, bad = 0;
  };
  std::map<std::string, Fleet> fleets;
  known_.clear();
  for (auto& r : runners) {
    known_.insert(r.id);
    auto& f = fleets[r.service];
    ++f.count;
    const auto it = marks_.find(r.id);
    if (it == marks_.end())
      continue;
    auto& m = it->second;
    fade(m, now);
    if (m.standing == Standing::aside && now >= m.until)
      set(m, Standing::trial, now);
    else if (m.standing == Standing::trial && m.bad >= 0.9 && m.bad > m.good * 0.5)
      set(m, Standing::aside, now);
    else if (m.standing == Standing::trial && now >= m.until)
      set(m, Standing::fine, now);
    if (m.standing == Standing::fine && now - m.since > kForget)
      m.strikes = 0;
    f.good += m.good;
    f.bad += m.bad;
    f.aside += m.standing != Standing::fine;
  }
  struct Suspect {
    double share;
    Mark* mark;
    Fleet* fleet;
  };
  std::vector<Suspect> suspects;
  for (auto& r : runners) {
    const auto it = marks_.find(r.id);
    if (it == marks_.end() || it->second.standing != Standing::fine)
      continue;
    auto& m = it->second;
    if (m.bad < kEnough || m.nodes.size() < kNodes)
      continue;
    auto& f = fleets[r.service];
    const double share = m.bad / (m.bad + m.good);
    const double others = f.bad - m.bad;
    const double all = others + f.good - m.good;
    const double peers = all > 0 ? others / all : 0;
    if (share >= kShare && share >= std::min(kPeers * peers, peers + kFarWorse))
      suspects.push_back({share, &m, &f});
  }
  std::sort(suspects.begin(), suspects.end(), [](auto& a, auto& b) { return a.share > b.share; });
  for (auto& s : suspects) {
    // Why a cap: with many aside the rest would drown, and then the fault is hardly the runners'.
    const auto most = s.fleet->count < 2 ? 0 : std::max<std::size_t>(1, s.fleet->count / 5);
    if (s.fleet->aside >= most)
      continue;
    ++s.fleet->aside;
    set(*s.mark, Standing::aside, now);
  }
  std::vector<transport::RunnerEjection> list;
  for (auto& r : runners) {
    const auto it = marks_.find(r.id);
    if (it == marks_.end() || it->second.standing == Standing::fine)
      continue;
    list.push_back({r.id, it->second.standing == Standing::aside ? 1.0 : kTrialLevel, 0});
  }
  std::erase_if(marks_, [&](auto& x) {
    if (!known_.contains(x.first))
      return true;
    return x.second.standing == Standing::fine && x.second.good + x.second.bad < 0.01 && now - x.second.since > kForget;
  });
  const bool same = list.size() == list_.size() &&
                    std::equal(list.begin(), list.end(), list_.begin(),
                               [](auto& a, auto& b) { return a.runner == b.runner && a.level == b.level; });
  if (same)
    return;
  list_ = std::move(list);
  ++version_;
}
}  // namespace zinccleat::controller
