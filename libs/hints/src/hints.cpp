#include "hints/hints.hpp"

#include <sodium.h>

#include <cstring>

namespace zinccleat::hints {
namespace {
constexpr char kContext[crypto_kdf_CONTEXTBYTES + 1] = "zchints1";
}
Result<HintKey> HintKey::from(std::string_view hex) {
  checkInvariant(sodium_init() >= 0, "libsodium");
  unsigned char raw[crypto_kdf_KEYBYTES];
  std::size_t n = 0;
  if (sodium_hex2bin(raw, sizeof raw, hex.data(), hex.size(), nullptr, &n, nullptr) != 0 || n != sizeof raw ||
      hex.size() != 2 * sizeof raw)
    return makeError(ErrorCode::invalidArgument, "a partner's secret is not 32 bytes in hex");
  HintKey k;
  k.secret_.assign(reinterpret_cast<char*>(raw), sizeof raw);
  return k;
}
std::int64_t HintKey::digest(std::uint64_t opening, std::int64_t epoch) const {
  const auto* secret = reinterpret_cast<const unsigned char*>(secret_.data());
  unsigned char key[crypto_shorthash_KEYBYTES];
  unsigned char in[sizeof opening];
  unsigned char out[crypto_shorthash_BYTES];
  crypto_kdf_derive_from_key(key, sizeof key, static_cast<std::uint64_t>(epoch), kContext, secret);
  std::memcpy(in, &opening, sizeof in);
  crypto_shorthash(out, in, sizeof in, key);
  std::int64_t d = 0;
  std::memcpy(&d, out, sizeof d);
  return d;
}
std::string HintKey::seal(std::string_view text) const {
  unsigned char mac[crypto_auth_BYTES];
  crypto_auth(mac, reinterpret_cast<const unsigned char*>(text.data()), text.size(),
              reinterpret_cast<const unsigned char*>(secret_.data()));
  std::string hex(2 * sizeof mac + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), mac, sizeof mac);
  hex.pop_back();
  return hex;
}
bool HintKey::fits(std::string_view text, std::string_view s) const {
  const auto own = seal(text);
  return own.size() == s.size() && sodium_memcmp(own.data(), s.data(), own.size()) == 0;
}

void HintTable::forget(TimePoint now) {
  if (now - forgotAt_ < 1s && mine_.size() < b_.kept)
    return;
  forgotAt_ = now;
  std::erase_if(mine_, [&](auto& o) { return now - o.second.at > b_.lives; });
  // Why all of it: what is lost is a hint, and an order by age would cost more than it is worth.
  if (mine_.size() >= b_.kept)
    mine_.clear();
}
bool HintTable::elsewhere(TimePoint now, std::int64_t epoch, std::uint64_t opening, std::uint64_t tenantDigest) {
  forget(now);
  auto it = mine_.find(opening);
  const bool held = it != mine_.end() && now - it->second.at <= b_.lives;
  const bool fresh = now - theirsAt_ <= b_.stale && (theirEpoch_ == epoch || theirEpoch_ + 1 == epoch);
  if (!held && fresh && theirs_.contains(key_.digest(opening, theirEpoch_)))
    return true;
  if (!held)
    it = mine_.insert_or_assign(opening, Opening{}).first;
  it->second.at = now;
  if (it->second.tenants.size() < b_.tenants)
    it->second.tenants.insert(tenantDigest);
  return false;
}
HintUpdate HintTable::news(TimePoint now, std::int64_t epoch) {
  forget(now);
  std::vector<std::pair<TimePoint, std::uint64_t>> newest;
  for (auto& [o, x] : mine_)
    if (x.tenants.size() >= b_.tenants)
      newest.emplace_back(x.at, o);
  if (newest.size() > b_.most) {
    std::nth_element(newest.begin(), newest.begin() + static_cast<std::ptrdiff_t>(b_.most), newest.end(),
                     std::greater<>());
    newest.resize(b_.most);
  }
  std::set<std::int64_t> current;
  for (auto& [at, o] : newest)
    current.insert(key_.digest(o, epoch));
  // Filled up with what nobody holds, the same from one time to the next: how few there are is not told either.
  if (toldEpoch_ != epoch)
    fill_.clear();
  const auto want = (current.size() + b_.fill - 1) / b_.fill * b_.fill;
  while (current.size() + fill_.size() < std::max(want, b_.fill)) {
    rng_ = hash64("fill", rng_);
    fill_.insert(static_cast<std::int64_t>(rng_));
  }
  while (!fill_.empty() && current.size() + fill_.size() > std::max(want, b_.fill))
    fill_.erase(fill_.begin());
  current.insert(fill_.begin(), fill_.end());
  HintUpdate n;
  n.epoch = epoch;
  n.known = theirVersion_;
  const bool whole = acked_ == 0 || acked_ != version_ || toldEpoch_ != epoch;
  const std::set<std::int64_t> before = whole ? std::set<std::int64_t>{} : told_;
  std::set_difference(current.begin(), current.end(), before.begin(), before.end(), std::back_inserter(n.added));
  std::set_difference(before.begin(), before.end(), current.begin(), current.end(), std::back_inserter(n.gone));
  n.base = whole ? 0 : version_;
  if (whole || !n.added.empty() || !n.gone.empty())
    ++version_;
  n.version = version_;
  told_ = std::move(current);
  toldEpoch_ = epoch;
  return n;
}
Result<void> HintTable::heard(TimePoint now, std::int64_t epoch, const HintUpdate& n) {
  acked_ = n.known;
  const auto size = n.added.size() + n.gone.size();
  if (std::abs(n.epoch - epoch) > 1 || size > 2 * (b_.most + b_.fill)) {
    ++declined_;
    return makeError(ErrorCode::invalidArgument, "hints of another time, or too many");
  }
  if (n.base != 0 && (n.base != theirVersion_ || n.epoch != theirEpoch_)) {
    // Why no fault: something was lost on the way, and the next ones come whole.
    theirVersion_ = 0;
    theirs_.clear();
    return {};
  }
  if (n.base == 0)
    theirs_.clear();
  for (auto g : n.gone)
    theirs_.erase(g);
  theirs_.insert(n.added.begin(), n.added.end());
  if (theirs_.size() > b_.most + b_.fill) {
    theirs_.clear();
    theirVersion_ = 0;
    ++declined_;
    return makeError(ErrorCode::invalidArgument, "more hints than were agreed on");
  }
  theirVersion_ = n.version;
  theirEpoch_ = n.epoch;
  theirsAt_ = now;
  return {};
}
}  // namespace zinccleat::hints
