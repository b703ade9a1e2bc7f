// A node's partial view of the others, shuffled between neighbours. Pure.
#pragma once
#include <random>

#include "runtime/common.hpp"
namespace zinccleat::transport {
class PartialView {
 public:
  PartialView(std::string self, std::size_t most, std::uint64_t seed)
      : self_(std::move(self)), most_(most), rng_(seed) {}
  void add(const std::string& node);  // heard from directly: young again
  std::vector<std::string> sample();  // a shuffled part, ourselves included
  void merge(const std::vector<std::string>& theirs);
  std::vector<std::string> all() const;

 private:
  void trim();
  std::string self_;
  std::size_t most_;
  std::mt19937_64 rng_;
  std::map<std::string, int> age_;
};
}  // namespace zinccleat::transport
