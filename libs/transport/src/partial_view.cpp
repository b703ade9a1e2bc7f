#include "transport/partial_view.hpp"

namespace zinccleat::transport {
namespace {
constexpr std::size_t kSampleNodes = 4;
constexpr int kAgeOfDirectContact = 0;
constexpr int kAgeOfGossipedNode = 1;
}  // namespace

void PartialView::add(const std::string& node) {
  if (node.empty() || node == self_)
    return;
  ages_[node] = kAgeOfDirectContact;
  evictOldest();
}
std::vector<std::string> PartialView::sample() {
  auto nodes = all();
  for (auto& [node, age] : ages_)
    ++age;
  std::shuffle(nodes.begin(), nodes.end(), rng_);
  if (nodes.size() > kSampleNodes)
    nodes.resize(kSampleNodes);
  nodes.push_back(self_);
  return nodes;
}
void PartialView::merge(const std::vector<std::string>& nodes) {
  for (const auto& node : nodes)
    if (!node.empty() && node != self_)
      ages_.try_emplace(node, kAgeOfGossipedNode);
  evictOldest();
}
std::vector<std::string> PartialView::all() const {
  std::vector<std::string> nodes;
  nodes.reserve(ages_.size());
  for (const auto& [node, age] : ages_)
    nodes.push_back(node);
  return nodes;
}
void PartialView::evictOldest() {
  while (ages_.size() > capacity_)
    ages_.erase(
        std::max_element(ages_.begin(), ages_.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
}
}  // namespace zinccleat::transport
