#include "state_machine/history.hpp"

#include <ranges>

namespace zinccleat::state_machine {
namespace {
constexpr std::size_t kNumberBytes = 8;

// Packed form: numbers of fixed width, the lowest byte first.
void appendIndex(std::string& packed, std::uint64_t number) {
  for (std::size_t i = 0; i < kNumberBytes; ++i)
    packed.push_back(static_cast<char>(number >> (8 * i)));
}
std::uint64_t numberAt(std::string_view packed, std::size_t offset) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kNumberBytes; ++i)
    number |= static_cast<std::uint64_t>(static_cast<unsigned char>(packed[offset + i])) << (8 * i);
  return number;
}
// How many records of `width` bytes a packed table holds; declined if that is no whole number or more than `most`.
Result<std::size_t> recordsIn(std::string_view packed, std::size_t width, std::size_t most) {
  if (packed.size() % width != 0)
    return makeError(ErrorCode::corruption, "a table of the snapshot ends inside a record");
  if (packed.size() / width > most)
    return makeError(ErrorCode::corruption, "a table of the snapshot is larger than its bound");
  return packed.size() / width;
}
template <class T>
void dropOldest(std::vector<T>& table, std::size_t most) {
  if (table.size() > most)
    table.erase(table.begin(), table.begin() + static_cast<std::ptrdiff_t>(table.size() - most));
}
}  // namespace

void AcceptedConfigurations::note(std::int64_t version, std::string_view digest) {
  const auto newest = taken_.empty() ? forgottenVersion_ : taken_.back().version;
  if (version <= newest)
    return;
  taken_.push_back({version, hash64(digest)});
  if (taken_.size() > kMost)
    forgottenVersion_ = taken_[taken_.size() - kMost - 1].version;
  dropOldest(taken_, kMost);
}
bool AcceptedConfigurations::contains(std::int64_t version, std::string_view digest) const {
  const auto it = std::lower_bound(taken_.begin(), taken_.end(), version,
                                   [](const AcceptedConfiguration& c, std::int64_t v) { return c.version < v; });
  return it != taken_.end() && it->version == version && it->digestHash == hash64(digest);
}
AcceptedConfigurations AcceptedConfigurations::newestOnly() const {
  if (taken_.size() < 2)
    return *this;
  AcceptedConfigurations result;
  result.forgottenVersion_ = taken_[taken_.size() - 2].version;
  result.taken_ = {taken_.back()};
  return result;
}
std::string AcceptedConfigurations::pack() const {
  std::string packed;
  packed.reserve(taken_.size() * 2 * kNumberBytes);
  for (auto& c : taken_) {
    appendIndex(packed, static_cast<std::uint64_t>(c.version));
    appendIndex(packed, c.digestHash);
  }
  return packed;
}
Result<AcceptedConfigurations> AcceptedConfigurations::unpack(std::string_view packed, std::int64_t forgottenVersion) {
  constexpr auto kWidth = 2 * kNumberBytes;
  const auto count = recordsIn(packed, kWidth, kMost);
  if (!count)
    return tl::unexpected(count.error());
  AcceptedConfigurations result;
  result.forgottenVersion_ = forgottenVersion;
  auto newest = forgottenVersion;
  for (std::size_t i = 0; i < *count; ++i) {
    const auto version = static_cast<std::int64_t>(numberAt(packed, i * kWidth));
    if (version <= newest)
      return makeError(ErrorCode::corruption, "a snapshot whose taken versions do not rise");
    newest = version;
    result.taken_.push_back({version, numberAt(packed, i * kWidth + kNumberBytes)});
  }
  return result;
}

void OperationDeduplication::note(std::string_view operationId, std::int32_t verdict) {
  operations_.push_back({hash64(operationId), verdict});
  dropOldest(operations_, kMost);
}
std::optional<std::int32_t> OperationDeduplication::outcomeOf(std::string_view operationId) const {
  const auto hash = hash64(operationId);
  for (auto operation : std::ranges::reverse_view(operations_))
    if (operation.idHash == hash)
      return operation.verdict;
  return std::nullopt;
}
OperationDeduplication OperationDeduplication::withoutVerdicts() const {
  auto result = *this;
  for (auto& o : result.operations_)
    o.verdict = 0;
  return result;
}
std::string OperationDeduplication::pack() const {
  std::string packed;
  packed.reserve(operations_.size() * (kNumberBytes + 2));
  for (auto& o : operations_) {
    appendIndex(packed, o.idHash);
    packed.push_back(static_cast<char>(o.verdict));
    packed.push_back(static_cast<char>(o.verdict >> 8));
  }
  return packed;
}
Result<OperationDeduplication> OperationDeduplication::unpack(std::string_view packed) {
  constexpr auto kWidth = kNumberBytes + 2;
  const auto count = recordsIn(packed, kWidth, kMost);
  if (!count)
    return tl::unexpected(count.error());
  OperationDeduplication result;
  for (std::size_t i = 0; i < *count; ++i) {
    const auto at = i * kWidth;
    const auto low = static_cast<unsigned char>(packed[at + kNumberBytes]);
    const auto high = static_cast<unsigned char>(packed[at + kNumberBytes + 1]);
    result.operations_.push_back({numberAt(packed, at), low + 256 * high});
  }
  return result;
}

void DetachedRunners::note(std::string_view runnerId) {
  if (contains(runnerId))
    return;
  idHashes_.push_back(hash64(runnerId));
  dropOldest(idHashes_, kMost);
}
bool DetachedRunners::contains(std::string_view runnerId) const {
  return std::find(idHashes_.begin(), idHashes_.end(), hash64(runnerId)) != idHashes_.end();
}
std::string DetachedRunners::pack() const {
  std::string packed;
  packed.reserve(idHashes_.size() * kNumberBytes);
  for (auto hash : idHashes_)
    appendIndex(packed, hash);
  return packed;
}
Result<DetachedRunners> DetachedRunners::unpack(std::string_view packed) {
  const auto count = recordsIn(packed, kNumberBytes, kMost);
  if (!count)
    return tl::unexpected(count.error());
  DetachedRunners result;
  for (std::size_t i = 0; i < *count; ++i)
    result.idHashes_.push_back(numberAt(packed, i * kNumberBytes));
  return result;
}
}  // namespace zinccleat::state_machine
