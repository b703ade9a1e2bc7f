#include "transport/partial_view.hpp"

namespace zinccleat::transport {
namespace {
constexpr std::size_t kSample = 4;
}
void PartialView::add(const std::string& n) {
  if (n.empty() || n == self_)
    return;
  age_[n] = 0;
  trim();
}
std::vector<std::string> PartialView::sample() {
  std::vector<std::string> v = all();
  for (auto& [n, a] : age_)
    ++a;
  std::shuffle(v.begin(), v.end(), rng_);
  if (v.size() > kSample)
    v.resize(kSample);
  v.push_back(self_);
  return v;
}
void PartialView::merge(const std::vector<std::string>& theirs) {
  for (auto& n : theirs)
    if (!n.empty() && n != self_)
      age_.try_emplace(n, 1);
  trim();
}
std::vector<std::string> PartialView::all() const {
  std::vector<std::string> v;
  for (auto& [n, a] : age_)
    v.push_back(n);
  return v;
}
void PartialView::trim() {
  // The oldest go first: nobody has spoken for them for longest.
  while (age_.size() > most_)
    age_.erase(std::max_element(age_.begin(), age_.end(), [](auto& a, auto& b) { return a.second < b.second; }));
}
}  // namespace zinccleat::transport
