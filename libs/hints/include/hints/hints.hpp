/// Prefix hints: two partner sites inform each other which long prompt prefixes their runners have cached, without
/// disclosing whose prompts they came from. Pure; the present time is passed in.
///
/// Privacy. A hint is a keyed digest (SipHash-2-4) of a prefix under a key that both sites derive from a shared secret
/// and replace every `HintBounds::keyPeriod`. Whoever does not know the secret can neither test a guessed prefix
/// against a hint nor recognise the same prefix under the next key. The partner, who knows the secret, can test
/// prefixes that it knows itself; therefore a prefix is announced only after several tenants have sent it, so that no
/// hint points to one tenant. Lists are padded with random digests to a multiple of a fixed number, so that their
/// length does not show how many prefixes are cached.
///
/// A hint may be wrong at any time: the prefix may have been evicted since. See docs/notes-hints.md.
#pragma once
#include <set>

#include "runtime/common.hpp"
namespace zinccleat::hints {
/// The secret that two partner sites share.
class HintKey {
 public:
  /// @param hex 32 bytes as 64 hex digits; else `ErrorCode::invalidArgument`.
  static Result<HintKey> parse(std::string_view hex);
  /// The hint for a prompt prefix.
  /// @param promptPrefix the prefix's hash.
  /// @param epoch number of the key period.
  std::int64_t digest(std::uint64_t promptPrefix, std::int64_t epoch) const;
  /// A message authentication code (HMAC-SHA-512-256, in hex): proves that a text comes from a holder of the secret.
  std::string sign(std::string_view text) const;
  /// Whether a code is that of the text. Takes the same time for every wrong code.
  bool verify(std::string_view text, std::string_view code) const;

 private:
  std::string secret_;
};
/// What one site announces to the other: the changes since a version that the other has acknowledged, or its full list.
struct HintUpdate {
  std::int64_t epoch = 0;         ///< key period of the digests
  std::int64_t acknowledged = 0;  ///< version of the receiver's own list that the sender has applied; 0: none
  std::int64_t baseVersion = 0;   ///< version that the changes apply to; 0: a full list
  std::int64_t version = 0;       ///< version of the sender's list after the changes
  std::vector<std::int64_t> added;
  std::vector<std::int64_t> removed;
  template <class V>
  void fields(V& v) {
    v("epoch", epoch);
    v("acknowledged", acknowledged);
    v("baseVersion", baseVersion);
    v("version", version);
    v("added", added);
    v("removed", removed);
  }
};
/// Limits of a `HintTable`. Both sites must use the same ones.
struct HintBounds {
  Duration lifetime{60000};         ///< a prefix not sent for so long is neither cached here nor announced any more
  Duration keyPeriod{600000};       ///< time after which the digests' key changes
  Duration partnerTimeout{10000};   ///< the partner's list is ignored if it was not renewed for so long
  std::size_t minTenants = 2;       ///< tenants that must have sent a prefix before it is announced
  std::size_t maxAnnounced = 2048;  ///< prefixes announced at most; the most recently used ones
  std::size_t padding = 64;         ///< lists are padded to a multiple of this
  std::size_t capacity = 65536;     ///< prefixes remembered at most
};
/// The prompt prefixes cached at this site, and the partner's announced list.
class HintTable {
 public:
  /// @param seed of the random digests that pad the list.
  HintTable(HintKey key, HintBounds bounds, std::uint64_t seed) : key_(std::move(key)), bounds_(bounds), rng_(seed) {}
  /// Answers whether a prompt with this prefix is better sent to the partner site: it is cached there and not here. If
  /// not, the caller is about to send it here, so that the prefix is recorded as cached here.
  /// @param tenantDigest stands for the tenant, whose name is not stored.
  bool cachedOnlyAtPartner(TimePoint now, std::int64_t epoch, std::uint64_t promptPrefix, std::uint64_t tenantDigest);
  /// The next update for the partner: a full list until the partner has acknowledged one under the present key.
  HintUpdate nextUpdate(TimePoint now, std::int64_t epoch);
  /// Applies an update of the partner. One that builds on a version which is not here discards the partner's list; the
  /// next update that the partner sends is then a full one.
  /// @return `ErrorCode::invalidArgument` if it is too large or of another key period: it is counted as rejected.
  Result<void> applyUpdate(TimePoint now, std::int64_t epoch, const HintUpdate& update);
  /// Digests in the list announced last, padding included.
  std::size_t announcedCount() const { return announced_.size(); }
  /// Digests in the partner's list, its padding included.
  std::size_t partnerCount() const { return partnerDigests_.size(); }
  /// Updates rejected so far.
  std::uint64_t rejectedCount() const { return rejected_; }
  /// Counts an update that was rejected before it could be applied.
  void countRejected() { ++rejected_; }

 private:
  struct CachedPrefix {
    std::set<std::uint64_t> tenants;  // digests, `HintBounds::minTenants` at most
    TimePoint lastUsed{};
  };
  void expire(TimePoint now);
  bool partnerAnnounced(TimePoint now, std::int64_t epoch, std::uint64_t promptPrefix) const;
  std::set<std::int64_t> digestsToAnnounce(std::int64_t epoch) const;
  void pad(std::set<std::int64_t>& digests);
  void discardPartnerList();

  HintKey key_;
  HintBounds bounds_;
  std::uint64_t rng_;
  std::uint64_t rejected_ = 0;
  std::unordered_map<std::uint64_t, CachedPrefix> cached_;
  TimePoint lastExpiry_{};

  std::set<std::int64_t> announced_;
  std::set<std::int64_t> padding_;
  std::int64_t version_ = 0;  // of the announced list
  std::int64_t announcedEpoch_ = -1;
  std::int64_t acknowledgedVersion_ = 0;  // of the announced list, by the partner

  std::set<std::int64_t> partnerDigests_;
  std::int64_t partnerVersion_ = 0;
  std::int64_t partnerEpoch_ = -1;
  TimePoint partnerUpdatedAt_{};
};
}  // namespace zinccleat::hints
