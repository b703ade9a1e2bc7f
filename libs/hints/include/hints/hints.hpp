/// Prefix hints: two partner sites inform each other which long prompt prefixes their runners have cached, without
/// disclosing which tenants sent the prompts. Pure: the current time is passed in.
///
/// Privacy. A hint is a keyed digest (SipHash-2-4) of a prefix under a key that both sites derive from a shared secret
/// and replace every `HintBounds::keyPeriod`. Without the secret it is not possible to test a guessed prefix against a
/// hint, or to recognise the same prefix under the next key. The partner knows the secret and can test prefixes that it
/// knows. Therefore a prefix is announced only after several tenants have sent it, so that no hint identifies a single
/// tenant. Lists are padded with random digests to a multiple of a fixed number, so that their length does not reveal
/// how many prefixes are cached.
///
/// A hint may be wrong, because the prefix may have been evicted since it was announced. See docs/notes-hints.md.
#pragma once
#include <set>

#include "runtime/common.hpp"
namespace zinccleat::hints {
/// The secret that two partner sites share.
class HintKey {
 public:
  /// Creates a key from its text form.
  /// @param hex 32 bytes as 64 hex digits.
  /// @return `ErrorCode::invalidArgument` if the text has another form.
  static Result<HintKey> parse(std::string_view hex);
  /// Returns the hint for a prompt prefix.
  /// @param promptPrefix the prefix's hash.
  /// @param epoch number of the key period.
  std::int64_t digest(std::uint64_t promptPrefix, std::int64_t epoch) const;
  /// Returns a message authentication code (HMAC-SHA-512-256, in hex), which proves that the sender of a text knows the
  /// secret.
  std::string sign(std::string_view text) const;
  /// Whether a code is the message authentication code of a text. The comparison time does not depend on how much of a
  /// wrong code matches.
  bool verify(std::string_view text, std::string_view code) const;

 private:
  std::string secret_;
};
/// The message by which a site announces its cached prefixes to its partner: the changes since a version of its list
/// that the partner has acknowledged, or the full list.
struct HintUpdate {
  std::int64_t epoch = 0;         ///< key period of the digests
  std::int64_t acknowledged = 0;  ///< version of the receiver's list that the sender has applied; 0 if none
  std::int64_t baseVersion = 0;   ///< version that the changes apply to; 0 for a full list
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
/// Limits of a `HintTable`. Both sites must use the same limits.
struct HintBounds {
  Duration lifetime{60000};         ///< a prefix not sent for this time counts as evicted and is no longer announced
  Duration keyPeriod{600000};       ///< time after which the digests' key changes
  Duration partnerTimeout{10000};   ///< the partner's list is ignored if no update was applied for this time
  std::size_t minTenants = 2;       ///< tenants that must have sent a prefix before it is announced
  std::size_t maxAnnounced = 2048;  ///< maximum number of announced prefixes, which are the most recently used ones
  std::size_t padding = 64;         ///< lists are padded to a multiple of this
  std::size_t capacity = 65536;     ///< maximum number of stored prefixes
};
/// The prompt prefixes cached at this site, and the partner's announced list.
class HintTable {
 public:
  /// @param seed seed of the random digests that pad the list.
  HintTable(HintKey key, HintBounds bounds, std::uint64_t seed) : key_(std::move(key)), bounds_(bounds), rng_(seed) {}
  /// Returns whether a prompt prefix is cached at the partner site and not at this site, so that its prompt should be
  /// sent to the partner. If the result is false, the prefix is recorded as cached at this site, because the caller
  /// then sends the prompt to this site.
  /// @param promptPrefix the prefix's hash.
  /// @param tenantDigest digest of the tenant's name, which is not stored.
  bool cachedOnlyAtPartner(TimePoint now, std::int64_t epoch, std::uint64_t promptPrefix, std::uint64_t tenantDigest);
  /// Creates the next update for the partner. It is a full list unless the partner has acknowledged the newest version,
  /// announced under the present key.
  HintUpdate nextUpdate(TimePoint now, std::int64_t epoch);
  /// Applies an update of the partner. If the update's base version was not applied before, the partner's list is
  /// discarded, which makes the partner send a full list next.
  /// @return `ErrorCode::invalidArgument` if the update is too large or of a key period that is neither `epoch` nor
  ///         adjacent to it. The update is then counted as rejected.
  Result<void> applyUpdate(TimePoint now, std::int64_t epoch, const HintUpdate& update);
  /// Number of digests in the list announced last, including padding.
  std::size_t announcedCount() const { return announced_.size(); }
  /// Number of digests in the partner's list, including its padding.
  std::size_t partnerCount() const { return partnerDigests_.size(); }
  /// Number of updates rejected since the start.
  std::uint64_t rejectedCount() const { return rejected_; }
  /// Counts an update that was rejected before it was passed to `applyUpdate`.
  void countRejected() { ++rejected_; }

 private:
  struct CachedPrefix {
    std::set<std::uint64_t> tenants;  // digests of at most `HintBounds::minTenants` tenants
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
  std::int64_t version_ = 0;  // version of the announced list
  std::int64_t announcedEpoch_ = -1;
  std::int64_t acknowledgedVersion_ = 0;  // version of the announced list that the partner has applied

  std::set<std::int64_t> partnerDigests_;
  std::int64_t partnerVersion_ = 0;
  std::int64_t partnerEpoch_ = -1;
  TimePoint partnerUpdatedAt_{};
};
}  // namespace zinccleat::hints
