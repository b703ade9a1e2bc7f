/// A node's partial view of the fleet's membership, for peer sampling by gossip. Pure.
///
/// Each node knows some of the others, and now and then sends a random sample of them to a neighbour, which merges it
/// into its own view. Entries age with each sample sent; hearing from a node directly makes its entry young again, and
/// the oldest entries are evicted first, so that departed nodes disappear. This is the scheme of Jelasity et al.,
/// "Gossip-based peer sampling" (ACM TOCS 25(3), 2007), with the ages of Cyclon (Voulgaris et al., JNSM 13(2), 2005).
#pragma once
#include <random>

#include "runtime/common.hpp"
namespace zinccleat::transport {
/// The nodes that one node knows of.
class PartialView {
 public:
  /// @param self this node, which is never an entry of its own view.
  /// @param capacity nodes kept at most.
  /// @param seed of the random choices.
  PartialView(std::string self, std::size_t capacity, std::uint64_t seed)
      : self_(std::move(self)), capacity_(capacity), rng_(seed) {}
  /// Records a node that was heard from directly.
  void add(const std::string& node);
  /// Draws up to four random nodes, with this node appended, and ages all entries.
  std::vector<std::string> sample();
  /// Adds the nodes of another node's sample; those known already keep their age.
  void merge(const std::vector<std::string>& nodes);
  /// All nodes of the view, in alphabetical order.
  std::vector<std::string> all() const;

 private:
  void evictOldest();
  std::string self_;
  std::size_t capacity_;
  std::mt19937_64 rng_;
  std::map<std::string, int> ages_;  // by node: samples sent since it was heard from
};
}  // namespace zinccleat::transport
