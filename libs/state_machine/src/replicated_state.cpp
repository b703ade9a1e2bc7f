#include "state_machine/replicated_state.hpp"

#include "state_machine/delta.hpp"
#include "transport/avro.hpp"

namespace zc {
namespace {
constexpr std::size_t kBefore = 3;  // older configurations kept, for receivers that were away
constexpr std::size_t kTaken = 64, kGone = 256, kDone = 128;
// A configuration's operation id carries its version, so that the numbered acknowledgement of a large write stays
// small.
std::int64_t versionIn(const Entry& e) {
  const auto at = e.opId.rfind('@');
  return at == std::string::npos ? 0 : std::atoll(e.opId.c_str() + at + 1);
}
template <class T>
void trim(std::vector<T>& v, std::size_t most) {
  if (v.size() > most)
    v.erase(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(v.size() - most));
}
}  // namespace

std::int32_t ReplicatedState::judge(std::int64_t base, std::int64_t version, const std::string& digest) const {
  for (auto& t : s_.taken)
    if (t.version == version && t.digest == digest)
      return 200;
  if (base != s_.version)
    return 412;
  if (version <= s_.version)
    return 400;
  return 0;
}
ReplicatedState::Change ReplicatedState::apply(const Entry& e) {
  Change c;
  s_.num = e.num;
  s_.term = e.term;
  // A write that came twice is one write.
  if (!e.opId.empty() && verdictOf(e.opId))
    return c;
  std::int32_t verdict = 200;
  if (e.op() == OpKind::configuration || e.op() == OpKind::difference) {
    const auto version = versionIn(e);
    verdict = judge(e.base, version, e.digest);
    if (verdict == 0) {
      verdict = 200;
      if (e.op() == OpKind::configuration) {
        take(version, e.digest, e.blob);
      } else if (auto body = applyDelta(s_.configuration, s_.digest, e.blob); body && digestOf(*body) == e.digest) {
        take(version, e.digest, std::move(*body));
      } else {
        // Why the version all the same: the numbered writes say that it was taken; only the text is missing here.
        take(version, {}, {});
        s_.taken.back().digest = e.digest;
        c.damaged = true;
      }
      c.configuration = true;
    }
  } else if (e.op() == OpKind::closure) {
    if (auto x = avro::decode<Closure>(e.blob)) {
      std::erase_if(s_.closures, [&](auto& o) { return o.place == x->place; });
      if (e.base == 0)
        s_.closures.push_back(std::move(*x));
      c.closures = true;
    }
  } else if (e.op() == OpKind::runner) {
    if (auto r = avro::decode<Runner>(e.blob)) {
      const auto it = std::find_if(s_.runners.begin(), s_.runners.end(), [&](auto& x) { return x.id == r->id; });
      if (r->at() == RunnerState::gone) {
        if (it != s_.runners.end())
          s_.runners.erase(it);
        // Why sequence 0 leaves no tombstone: a runner only missed may beat again, one that left may not.
        if (r->sequence != 0 && !isGone(r->id))
          s_.gone.push_back(r->id), trim(s_.gone, kGone);
        c.runners = true;
      } else if (!isGone(r->id)) {
        if (it == s_.runners.end()) {
          // A new life at an address ends whatever lived there.
          std::erase_if(s_.runners, [&](auto& x) { return x.address == r->address; });
          s_.runners.push_back(std::move(*r));
          c.runners = true;
        } else if (r->sequence >= it->sequence) {
          const bool stays = it->at() == RunnerState::draining;
          *it = std::move(*r);
          if (stays)
            it->state = static_cast<std::int32_t>(RunnerState::draining);
          c.runners = true;
        }
      }
    }
  }
  if (!e.opId.empty()) {
    s_.done.push_back({e.opId, verdict});
    trim(s_.done, kDone);
  }
  return c;
}
void ReplicatedState::take(std::int64_t version, std::string digest, std::string body) {
  if (!s_.digest.empty())
    before_.emplace_back(std::move(s_.digest), std::move(s_.configuration));
  if (before_.size() > kBefore)
    before_.pop_front();
  s_.version = version;
  s_.digest = std::move(digest);
  s_.configuration = std::move(body);
  s_.taken.push_back({version, s_.digest});
  trim(s_.taken, kTaken);
}
std::string ReplicatedState::snapshot() const {
  return avro::encode(s_);
}
std::string ReplicatedState::snapshotFor(const std::string& held) const {
  if (held.empty() || s_.digest.empty())
    return snapshot();
  std::string difference;
  if (held != s_.digest) {
    const auto it = std::find_if(before_.begin(), before_.end(), [&](auto& b) { return b.first == held; });
    if (it == before_.end())
      return snapshot();
    difference = deltaOf(it->second, held, s_.configuration, s_.digest);
    if (difference.size() > s_.configuration.size() / 2)
      return snapshot();
  }
  auto part = s_;
  part.configuration.clear();
  part.partial = true;
  part.difference = std::move(difference);
  return avro::encode(std::move(part));
}
Outcome<void> ReplicatedState::restore(std::string_view blob) {
  if (blob.empty()) {
    s_ = {};
    return {};
  }
  auto s = avro::decode<StateContents>(blob);
  if (!s)
    return tl::unexpected(s.error());
  if (s->partial) {
    if (s->difference.empty()) {
      if (s->digest != s_.digest)
        return fault(0, "a snapshot without the configuration, for a copy that holds another");
      s->configuration = s_.configuration;
    } else {
      auto body = applyDelta(s_.configuration, s_.digest, s->difference);
      if (!body)
        return tl::unexpected(body.error());
      if (digestOf(*body) != s->digest)
        return fault(0, "a snapshot whose configuration is not what its digest says");
      s->configuration = std::move(*body);
    }
    s->partial = false;
    s->difference.clear();
  }
  if (!s_.digest.empty() && s_.digest != s->digest)
    before_.emplace_back(std::move(s_.digest), std::move(s_.configuration));
  if (before_.size() > kBefore)
    before_.pop_front();
  s_ = std::move(*s);
  return {};
}
std::optional<std::int32_t> ReplicatedState::verdictOf(const std::string& opId) const {
  for (auto it = s_.done.rbegin(); it != s_.done.rend(); ++it)
    if (it->opId == opId)
      return it->verdict;
  return std::nullopt;
}
const Runner* ReplicatedState::runner(const std::string& id) const {
  for (auto& r : s_.runners)
    if (r.id == id)
      return &r;
  return nullptr;
}
bool ReplicatedState::isGone(const std::string& id) const {
  return std::find(s_.gone.begin(), s_.gone.end(), id) != s_.gone.end();
}

Entry configurationOp(std::int64_t base, std::int64_t version, std::string body, std::string opId) {
  Entry e;
  e.kind = static_cast<std::int32_t>(OpKind::configuration);
  e.base = base;
  e.digest = digestOf(body);
  e.blob = std::move(body);
  e.opId = std::move(opId) + "@" + std::to_string(version);
  return e;
}
Entry changeOp(std::int64_t base, std::int64_t version, std::string body, std::string opId, const StateContents& on) {
  auto e = configurationOp(base, version, std::move(body), std::move(opId));
  // On another version it loses its race anyway; without one there is nothing to differ from.
  if (on.version != base || on.digest.empty())
    return e;
  auto d = deltaOf(on.configuration, on.digest, e.blob, e.digest);
  if (d.size() > e.blob.size() / 2)
    return e;
  e.kind = static_cast<std::int32_t>(OpKind::difference);
  e.blob = std::move(d);
  return e;
}
Entry closureOp(const Closure& c, bool open, std::string opId) {
  Entry e;
  e.kind = static_cast<std::int32_t>(OpKind::closure);
  e.base = open ? 1 : 0;
  e.blob = avro::encode(c);
  e.opId = std::move(opId);
  return e;
}
Entry runnerOp(const Runner& r, std::string opId) {
  Entry e;
  e.kind = static_cast<std::int32_t>(OpKind::runner);
  e.blob = avro::encode(r);
  e.opId = std::move(opId);
  return e;
}
}  // namespace zc
