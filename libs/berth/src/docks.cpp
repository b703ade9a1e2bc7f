#include "berth/docks.hpp"

#include <charconv>

namespace zc {
namespace {
constexpr auto kSaidFor = 1500ms;  // older news of a load counts for nothing
}
void Docks::follow(const std::vector<Runner>& runners) {
  for (auto& d : docks_) d.present = false;
  for (auto& r : runners) {
    const auto it = byId_.find(r.id);
    int i = 0;
    if (it == byId_.end()) {
      // A place nobody uses any more serves again.
      for (; i < static_cast<int>(docks_.size()); ++i)
        if (!docks_[i].present && docks_[i].inFlight == 0 && !byId_.count(docks_[i].id)) break;
      if (i == static_cast<int>(docks_.size())) docks_.emplace_back();
      docks_[i] = Dock{};
      docks_[i].id = r.id;
      byId_[r.id] = i;
    } else {
      i = it->second;
    }
    auto& d = docks_[i];
    d.service = r.service;
    d.address = r.address;
    d.zone = r.zone;
    d.capacity = static_cast<int>(r.capacity);
    d.draining = r.at() == RunnerState::draining;
    d.present = true;
  }
  for (auto it = byId_.begin(); it != byId_.end();)
    if (!docks_[it->second].present) it = byId_.erase(it);
    else ++it;
}
void Docks::told(int i, std::string_view load, Instant now) {
  int v[3] = {0, 0, 0};
  const char* p = load.data();
  const char* e = p + load.size();
  for (int k = 0; k < 3; ++k) {
    while (p < e && *p == ' ') ++p;
    const auto r = std::from_chars(p, e, v[k]);
    if (r.ec != std::errc{}) return;
    p = r.ptr;
    if (p < e && *p == ',') ++p;
  }
  auto& d = at(i);
  d.saidRunning = v[0];
  d.saidWaiting = v[1];
  d.saidSlots = v[2];
  d.ownThen = d.inFlight;
  d.saidAt = now;
}
double Docks::load(int i, Instant now) const {
  const auto& d = docks_[static_cast<std::size_t>(i)];
  const double slots = std::max(1, d.saidSlots > 0 ? d.saidSlots : d.capacity);
  double n = d.inFlight;
  if (now - d.saidAt < kSaidFor) n = std::max<double>(d.inFlight, d.saidRunning + d.saidWaiting + (d.inFlight - d.ownThen));
  return n / slots;
}
void Docks::fault(int i, Instant now) {
  auto& d = at(i);
  d.faults = std::min(d.faults + 1, 4);
  d.shunnedUntil = now + 300ms * (1 << d.faults);
}
int Docks::choose(const Wish& w, Instant now) {
  struct Seen {
    int i;
    double load;
    std::uint64_t rank;
    bool home;
  };
  std::vector<Seen> good;
  std::vector<int> shunned;
  for (int i = 0; i < static_cast<int>(docks_.size()); ++i) {
    auto& d = docks_[i];
    if (!d.present || d.draining || d.service != w.service) continue;
    if (std::find(w.not_.begin(), w.not_.end(), i) != w.not_.end()) continue;
    if (d.shunnedUntil > now || (d.faults > 0 && d.inFlight > 0)) {
      shunned.push_back(i);
      continue;
    }
    const auto rank = w.affinity ? hash64(d.id, w.affinity) : rng_();
    good.push_back({i, load(i, now), rank, d.zone == w.zone});
  }
  if (good.empty()) {
    // Why one that is shunned all the same: a guess is worth more than nothing.
    if (shunned.empty()) return -1;
    return shunned[rng_() % shunned.size()];
  }
  double mean = 0, homeMean = 0;
  int homes = 0;
  for (auto& s : good) {
    mean += s.load;
    if (s.home) homeMean += s.load, ++homes;
  }
  mean /= static_cast<double>(good.size());
  if (homes) homeMean /= homes;
  // Bounded load: the first in the agreed order that is not clearly above the others takes it.
  const double slots = std::max(1, docks_[good.front().i].capacity);
  const double spare = w.engine ? 3.0 / slots : 0.34 / slots;
  const bool stay = homes > 0 && homeMean < std::max(0.6, mean * 1.5 + spare);
  const Seen* best = nullptr;
  const double bound = (stay ? homeMean : mean) * 1.3 + spare;
  for (auto& s : good) {
    if (stay && !s.home) continue;
    if (s.load > bound) continue;
    if (!best || s.rank > best->rank) best = &s;
  }
  if (!best || (!w.engine))
    for (auto& s : good) {
      if (stay && !s.home) continue;
      if (!best || s.load < best->load) best = &s;
    }
  return best ? best->i : good.front().i;
}
std::uint64_t affinityOf(std::string_view p) {
  // ID:TOKENS,ID:TOKENS,... ; the last part is the request's own.
  const auto lastComma = p.rfind(',');
  if (lastComma == p.npos) return 0;
  return hash64(p.substr(0, lastComma)) | 1;
}
}  // namespace zc
