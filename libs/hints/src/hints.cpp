#include "hints/hints.hpp"

#include <sodium.h>

#include <array>
#include <cstring>
#include <tuple>

namespace zinccleat::hints {
namespace {
constexpr char kKeyContext[crypto_kdf_CONTEXTBYTES + 1] = "zchints1";  // part of the wire format
constexpr auto kExpiryInterval = 1s;

const unsigned char* bytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}
}  // namespace

Result<HintKey> HintKey::parse(std::string_view hex) {
  checkInvariant(sodium_init() >= 0, "libsodium can be initialised");
  std::array<unsigned char, crypto_kdf_KEYBYTES> secret{};
  std::size_t length = 0;
  const bool isHex =
      sodium_hex2bin(secret.data(), secret.size(), hex.data(), hex.size(), nullptr, &length, nullptr) == 0;
  if (!isHex || length != secret.size() || hex.size() != 2 * secret.size())
    return makeError(ErrorCode::invalidArgument, "a partner's secret is not 32 bytes in hex");
  HintKey key;
  key.secret_.assign(reinterpret_cast<const char*>(secret.data()), secret.size());
  return key;
}
std::int64_t HintKey::digest(std::uint64_t promptPrefix, std::int64_t epoch) const {
  std::array<unsigned char, crypto_shorthash_KEYBYTES> key{};
  std::array<unsigned char, sizeof promptPrefix> input{};
  std::array<unsigned char, crypto_shorthash_BYTES> output{};
  crypto_kdf_derive_from_key(key.data(), key.size(), static_cast<std::uint64_t>(epoch), kKeyContext, bytesOf(secret_));
  std::memcpy(input.data(), &promptPrefix, input.size());
  crypto_shorthash(output.data(), input.data(), input.size(), key.data());
  std::int64_t digest = 0;
  std::memcpy(&digest, output.data(), sizeof digest);
  return digest;
}
std::string HintKey::sign(std::string_view text) const {
  std::array<unsigned char, crypto_auth_BYTES> code{};
  crypto_auth(code.data(), bytesOf(text), text.size(), bytesOf(secret_));
  std::string hex(2 * code.size() + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), code.data(), code.size());
  hex.pop_back();  // the terminating zero
  return hex;
}
bool HintKey::verify(std::string_view text, std::string_view code) const {
  const auto expected = sign(text);
  return expected.size() == code.size() && sodium_memcmp(expected.data(), code.data(), expected.size()) == 0;
}

void HintTable::expire(TimePoint now) {
  if (now - lastExpiry_ < kExpiryInterval && cached_.size() < bounds_.capacity)
    return;
  lastExpiry_ = now;
  std::erase_if(cached_, [&](const auto& entry) { return now - entry.second.lastUsed > bounds_.lifetime; });
  // If the table is still full, it is cleared. Only hints are lost, and evicting the oldest prefixes would cost more
  // time than the lost hints save.
  if (cached_.size() >= bounds_.capacity)
    cached_.clear();
}
bool HintTable::partnerAnnounced(TimePoint now, std::int64_t epoch, std::uint64_t promptPrefix) const {
  const bool recent = now - partnerUpdatedAt_ <= bounds_.partnerTimeout;
  const bool keyValid = partnerEpoch_ == epoch || partnerEpoch_ + 1 == epoch;
  return recent && keyValid && partnerDigests_.contains(key_.digest(promptPrefix, partnerEpoch_));
}
bool HintTable::cachedOnlyAtPartner(TimePoint now, std::int64_t epoch, std::uint64_t promptPrefix,
                                    std::uint64_t tenantDigest) {
  expire(now);
  auto found = cached_.find(promptPrefix);
  const bool cachedHere = found != cached_.end() && now - found->second.lastUsed <= bounds_.lifetime;
  if (!cachedHere) {
    if (partnerAnnounced(now, epoch, promptPrefix))
      return true;
    found = cached_.insert_or_assign(promptPrefix, CachedPrefix{}).first;
  }
  found->second.lastUsed = now;
  if (found->second.tenants.size() < bounds_.minTenants)
    found->second.tenants.insert(tenantDigest);
  return false;
}

// Returns the digests of the most recently used prefixes among those that at least `HintBounds::minTenants` tenants
// have sent.
std::set<std::int64_t> HintTable::digestsToAnnounce(std::int64_t epoch) const {
  struct Candidate {
    TimePoint lastUsed;
    std::uint64_t promptPrefix = 0;
  };
  std::vector<Candidate> candidates;
  for (const auto& [promptPrefix, prefix] : cached_)
    if (prefix.tenants.size() >= bounds_.minTenants)
      candidates.push_back({prefix.lastUsed, promptPrefix});
  if (candidates.size() > bounds_.maxAnnounced) {
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(bounds_.maxAnnounced);
    std::nth_element(candidates.begin(), end, candidates.end(), [](const Candidate& a, const Candidate& b) {
      return std::tie(a.lastUsed, a.promptPrefix) > std::tie(b.lastUsed, b.promptPrefix);
    });
    candidates.resize(bounds_.maxAnnounced);
  }
  std::set<std::int64_t> digests;
  for (const auto& candidate : candidates)
    digests.insert(key_.digest(candidate.promptPrefix, epoch));
  return digests;
}
// The same padding digests are kept during a key period, because new random digests in each update would reveal which
// digests are padding.
void HintTable::pad(std::set<std::int64_t>& digests) {
  const auto rounded = (digests.size() + bounds_.padding - 1) / bounds_.padding * bounds_.padding;
  const auto wanted = std::max(rounded, bounds_.padding);
  while (digests.size() + padding_.size() < wanted) {
    rng_ = hash64("fill", rng_);  // golden files contain these numbers, so the generator must not change
    padding_.insert(static_cast<std::int64_t>(rng_));
  }
  while (!padding_.empty() && digests.size() + padding_.size() > wanted)
    padding_.erase(padding_.begin());
  digests.insert(padding_.begin(), padding_.end());
}
HintUpdate HintTable::nextUpdate(TimePoint now, std::int64_t epoch) {
  expire(now);
  const bool newKey = announcedEpoch_ != epoch;
  if (newKey)
    padding_.clear();
  auto digests = digestsToAnnounce(epoch);
  pad(digests);
  const bool full = acknowledgedVersion_ == 0 || acknowledgedVersion_ != version_ || newKey;
  const auto base = full ? std::set<std::int64_t>{} : std::exchange(announced_, {});
  HintUpdate update;
  update.epoch = epoch;
  update.acknowledged = partnerVersion_;
  std::set_difference(digests.begin(), digests.end(), base.begin(), base.end(), std::back_inserter(update.added));
  std::set_difference(base.begin(), base.end(), digests.begin(), digests.end(), std::back_inserter(update.removed));
  update.baseVersion = full ? 0 : version_;
  if (full || !update.added.empty() || !update.removed.empty())
    ++version_;
  update.version = version_;
  announced_ = std::move(digests);
  announcedEpoch_ = epoch;
  return update;
}

void HintTable::discardPartnerList() {
  partnerVersion_ = 0;
  partnerDigests_.clear();
}
Result<void> HintTable::applyUpdate(TimePoint now, std::int64_t epoch, const HintUpdate& update) {
  acknowledgedVersion_ = update.acknowledged;
  const auto maxDigests = bounds_.maxAnnounced + bounds_.padding;
  if (std::abs(update.epoch - epoch) > 1 || update.added.size() + update.removed.size() > 2 * maxDigests) {
    ++rejected_;
    return makeError(ErrorCode::invalidArgument, "hints of another key period, or too many");
  }
  const bool full = update.baseVersion == 0;
  if (!full && (update.baseVersion != partnerVersion_ || update.epoch != partnerEpoch_)) {
    // This is no error: an earlier update was lost in transit.
    discardPartnerList();
    return {};
  }
  if (full)
    partnerDigests_.clear();
  for (const auto digest : update.removed)
    partnerDigests_.erase(digest);
  partnerDigests_.insert(update.added.begin(), update.added.end());
  if (partnerDigests_.size() > maxDigests) {
    discardPartnerList();
    ++rejected_;
    return makeError(ErrorCode::invalidArgument, "more hints than were agreed on");
  }
  partnerVersion_ = update.version;
  partnerEpoch_ = update.epoch;
  partnerUpdatedAt_ = now;
  return {};
}
}  // namespace zinccleat::hints
