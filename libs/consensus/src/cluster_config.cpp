#include "consensus/cluster_config.hpp"

namespace zinccleat::consensus {
namespace {
constexpr char kVoterSetSeparator = '|', kMemberSeparator = ' ';

bool contains(const std::vector<MemberId>& members, const MemberId& member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}
std::string joinMembers(const std::vector<MemberId>& names) {
  std::string text;
  for (const auto& name : names) {
    if (!text.empty())
      text += kMemberSeparator;
    text += name;
  }
  return text;
}
std::vector<MemberId> splitMembers(std::string_view text) {
  std::vector<MemberId> names;
  while (!text.empty()) {
    const auto end = std::min(text.find(kMemberSeparator), text.size());
    if (end > 0)
      names.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return names;
}
bool majorityAgrees(const std::vector<MemberId>& half, const std::function<bool(const MemberId&)>& agrees) {
  const auto count = static_cast<std::size_t>(std::count_if(half.begin(), half.end(), agrees));
  return count >= majorityOf(half.size());
}
}  // namespace

std::string addressOf(const MemberId& member) {
  return member.substr(0, member.find('#'));
}
std::size_t majorityOf(std::size_t voters) {
  return voters / 2 + 1;
}
bool ClusterConfig::isVoter(const MemberId& member) const {
  return contains(voters, member) || contains(nextVoters, member);
}
std::vector<MemberId> ClusterConfig::allVoters() const {
  auto all = voters;
  for (const auto& member : nextVoters)
    if (!contains(voters, member))
      all.push_back(member);
  return all;
}
bool ClusterConfig::hasQuorum(const std::function<bool(const MemberId&)>& agrees) const {
  if (voters.empty() || !majorityAgrees(voters, agrees))
    return false;
  return !joint() || majorityAgrees(nextVoters, agrees);
}
std::string encodeConfig(const ClusterConfig& config) {
  auto text = joinMembers(config.voters);
  if (config.joint())
    text += kVoterSetSeparator + joinMembers(config.nextVoters);
  return text;
}
ClusterConfig decodeConfig(std::string_view text) {
  const auto split = text.find(kVoterSetSeparator);
  ClusterConfig config;
  config.voters = splitMembers(text.substr(0, split));
  if (split != text.npos)
    config.nextVoters = splitMembers(text.substr(split + 1));
  return config;
}
}  // namespace zinccleat::consensus
