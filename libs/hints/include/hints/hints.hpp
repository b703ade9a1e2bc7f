// Which long openings of prompts partner sites hold, told without telling whose they are. Pure; the clock is passed in.
// A hint is a keyed digest under a key that rotates; only openings that several tenants have sent are told, so none
// can be laid at one tenant's door; lists are filled up to a round number. A hint is only a hint: see
// docs/notes-hints.md.
#pragma once
#include <set>

#include "runtime/common.hpp"
namespace zinccleat::hints {
// The secret that two sites share, 32 bytes in hex.
class HintKey {
 public:
  static Result<HintKey> from(std::string_view hex);
  std::int64_t digest(std::uint64_t opening, std::int64_t epoch) const;
  std::string seal(std::string_view text) const;  // proves that the text is from who holds the secret
  bool fits(std::string_view text, std::string_view seal) const;

 private:
  std::string secret_;
};
// What one site tells the other: what came and went since the version that the other has, or all (base 0).
struct HintUpdate {
  std::int64_t epoch = 0, known = 0, base = 0,
               version = 0;  // known: the version of the receiver's list that the sender has
  std::vector<std::int64_t> added, gone;
  template <class V>
  void fields(V& v) {
    v("epoch", epoch), v("known", known), v("base", base), v("version", version), v("added", added), v("gone", gone);
  }
};
struct HintBounds {
  Duration lives{60000};     // an opening not sent for so long is not told of any more
  Duration epoch{600000};    // a key's time
  Duration stale{10000};     // a partner's list not renewed for so long counts for nothing
  std::size_t tenants = 2;   // so many have sent an opening before it is told
  std::size_t most = 2048;   // openings told at most, the newest
  std::size_t fill = 64;     // lists are filled up to a multiple of this
  std::size_t kept = 65536;  // openings remembered at most
};
class HintTable {
 public:
  HintTable(HintKey key, HintBounds b, std::uint64_t seed) : key_(std::move(key)), b_(b), rng_(seed) {}
  // A node is about to send a prompt with this opening; the tenant's name is not kept, only a mark of it.
  // True: not held here, but at the partner. False in every other case, and then it counts as held here.
  bool elsewhere(TimePoint now, std::int64_t epoch, std::uint64_t opening, std::uint64_t tenantDigest);
  HintUpdate news(TimePoint now, std::int64_t epoch);  // for the partner
  // From the partner. Declined: nothing changes.
  Result<void> heard(TimePoint now, std::int64_t epoch, const HintUpdate& n);
  std::size_t told() const { return told_.size(); }
  std::size_t known() const { return theirs_.size(); }
  std::uint64_t errorResponse() const { return declined_; }
  void decline() { ++declined_; }

 private:
  struct Opening {
    std::set<std::uint64_t> tenants;  // marks, as many as it takes
    TimePoint at{};
  };
  void forget(TimePoint now);
  HintKey key_;
  HintBounds b_;
  std::uint64_t rng_;
  std::unordered_map<std::uint64_t, Opening> mine_;
  std::set<std::int64_t> told_, theirs_, fill_;
  std::int64_t version_ = 0, acked_ = 0, toldEpoch_ = -1;  // acked_: the version that the partner says it has
  std::int64_t theirVersion_ = 0, theirEpoch_ = -1;
  TimePoint theirsAt_{}, forgotAt_{};
  std::uint64_t declined_ = 0;
};
}  // namespace zinccleat::hints
