// The partial views of the membership that nodes exchange by gossip: they stay within their capacity, and nodes become
// known throughout the fleet.
#include "transport/partial_view.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

using namespace zinccleat;
using namespace zinccleat::transport;

TEST(PartialView, StaysBoundedAndSpreads) {
  constexpr int kNodes = 40;
  constexpr std::size_t kViewSize = 8;
  std::vector<PartialView> views;
  views.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i)
    views.emplace_back("n" + std::to_string(i), kViewSize, 77 + i);
  for (int i = 0; i < kNodes; ++i)
    views[i].add("n" + std::to_string((i + 1) % kNodes));

  std::mt19937 random(5);
  for (int round = 0; round < 60; ++round)
    for (auto& view : views) {
      const auto all = view.all();
      ASSERT_LE(all.size(), kViewSize);
      auto& partner = views[std::stoul(all[random() % all.size()].substr(1))];
      const auto sent = view.sample();
      const auto received = partner.sample();
      partner.merge(sent);
      view.merge(received);
    }

  std::set<std::string> known;
  for (auto& view : views)
    for (auto& node : view.all())
      known.insert(node);
  EXPECT_GT(known.size(), 30U);
}
