/// A node's partial view of the fleet's membership, for peer sampling by gossip. The code does no input or output.
///
/// Each node knows a subset of the other nodes. It periodically sends a random sample of this subset to a neighbour,
/// which merges the sample into its own view. Each sample sent increases the age of all entries; a message from a node
/// resets the age of the node's entry. The oldest entries are evicted first, so that departed nodes disappear from the
/// view. The protocol is that of Jelasity et al., "Gossip-based peer sampling" (ACM TOCS 25(3), 2007), with the ages of
/// Cyclon (Voulgaris et al., JNSM 13(2), 2005).
#pragma once
#include <random>

#include "runtime/common.hpp"
namespace zinccleat::transport {
/// The set of nodes that one node knows.
class PartialView {
 public:
  /// @param self the name of this node, which is never an entry of its own view.
  /// @param capacity the maximum number of entries.
  /// @param seed the seed of the random number generator.
  PartialView(std::string self, std::size_t capacity, std::uint64_t seed)
      : self_(std::move(self)), capacity_(capacity), rng_(seed) {}
  /// Records a node from which this node has received a message.
  void add(const std::string& node);
  /// Returns up to four random nodes followed by this node, and increases the age of all entries.
  std::vector<std::string> sample();
  /// Adds the nodes of another node's sample. Nodes that are already in the view keep their age.
  void merge(const std::vector<std::string>& nodes);
  /// All nodes of the view, in alphabetical order.
  std::vector<std::string> all() const;

 private:
  void evictOldest();
  std::string self_;
  std::size_t capacity_;
  std::mt19937_64 rng_;
  std::map<std::string, int> ages_;  // by node: samples sent since the last message from the node
};
}  // namespace zinccleat::transport
