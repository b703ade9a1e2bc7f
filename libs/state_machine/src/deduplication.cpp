#include "state_machine/deduplication.hpp"

namespace zinccleat::state_machine {
namespace {
constexpr std::size_t kIntegerBytes = 8;
constexpr std::size_t kVerdictBytes = 2;
constexpr std::size_t kConfigurationBytes = 2 * kIntegerBytes;          // version, digest
constexpr std::size_t kOperationBytes = kIntegerBytes + kVerdictBytes;  // id, verdict
constexpr std::size_t kBitsPerByte = 8;

/// Appends the `width` least significant bytes of a number, little-endian.
void appendInteger(std::string& packed, std::uint64_t number, std::size_t width = kIntegerBytes) {
  for (std::size_t i = 0; i < width; ++i)
    packed.push_back(static_cast<char>(number >> (kBitsPerByte * i)));
}
std::uint64_t readInteger(std::string_view packed, std::size_t offset, std::size_t width = kIntegerBytes) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < width; ++i)
    number |= static_cast<std::uint64_t>(static_cast<unsigned char>(packed[offset + i])) << (kBitsPerByte * i);
  return number;
}
/// The number of entries of `width` bytes in a packed table.
Result<std::size_t> entryCount(std::string_view packed, std::size_t width, std::size_t capacity) {
  if (packed.size() % width != 0)
    return makeError(ErrorCode::corruption, "a table of the snapshot ends within an entry");
  if (packed.size() / width > capacity)
    return makeError(ErrorCode::corruption, "a table of the snapshot exceeds its capacity");
  return packed.size() / width;
}
template <class T>
void dropOldest(std::vector<T>& table, std::size_t capacity) {
  if (table.size() > capacity)
    table.erase(table.begin(), table.begin() + static_cast<std::ptrdiff_t>(table.size() - capacity));
}
}  // namespace

void AcceptedConfigurations::record(std::int64_t version, std::string_view digest) {
  const auto newest = configurations_.empty() ? forgottenVersion_ : configurations_.back().version;
  if (version <= newest)
    return;
  configurations_.push_back({version, hash64(digest)});
  if (configurations_.size() > kCapacity)
    forgottenVersion_ = configurations_[configurations_.size() - kCapacity - 1].version;
  dropOldest(configurations_, kCapacity);
}
bool AcceptedConfigurations::contains(std::int64_t version, std::string_view digest) const {
  const auto found = std::lower_bound(
      configurations_.begin(), configurations_.end(), version,
      [](const AcceptedConfiguration& accepted, std::int64_t wanted) { return accepted.version < wanted; });
  return found != configurations_.end() && found->version == version && found->digestHash == hash64(digest);
}
AcceptedConfigurations AcceptedConfigurations::newestOnly() const {
  if (configurations_.size() < 2)
    return *this;
  AcceptedConfigurations result;
  result.forgottenVersion_ = configurations_[configurations_.size() - 2].version;
  result.configurations_ = {configurations_.back()};
  return result;
}
std::string AcceptedConfigurations::pack() const {
  std::string packed;
  packed.reserve(configurations_.size() * kConfigurationBytes);
  for (const auto& accepted : configurations_) {
    appendInteger(packed, static_cast<std::uint64_t>(accepted.version));
    appendInteger(packed, accepted.digestHash);
  }
  return packed;
}
Result<AcceptedConfigurations> AcceptedConfigurations::unpack(std::string_view packed, std::int64_t forgottenVersion) {
  const auto count = entryCount(packed, kConfigurationBytes, kCapacity);
  if (!count)
    return tl::unexpected(count.error());
  AcceptedConfigurations result;
  result.forgottenVersion_ = forgottenVersion;
  auto newest = forgottenVersion;
  for (std::size_t i = 0; i < *count; ++i) {
    const auto offset = i * kConfigurationBytes;
    const auto version = static_cast<std::int64_t>(readInteger(packed, offset));
    if (version <= newest)
      return makeError(ErrorCode::corruption, "the accepted versions of the snapshot are not in ascending order");
    newest = version;
    result.configurations_.push_back({version, readInteger(packed, offset + kIntegerBytes)});
  }
  return result;
}

void OperationDeduplication::record(std::string_view operationId, std::int32_t verdict) {
  operations_.push_back({hash64(operationId), verdict});
  dropOldest(operations_, kCapacity);
}
std::optional<std::int32_t> OperationDeduplication::outcomeOf(std::string_view operationId) const {
  const auto newest = std::find_if(operations_.rbegin(), operations_.rend(),
                                   [hash = hash64(operationId)](const Operation& each) { return each.idHash == hash; });
  if (newest == operations_.rend())
    return std::nullopt;
  return newest->verdict;
}
OperationDeduplication OperationDeduplication::withoutVerdicts() const {
  auto result = *this;
  for (auto& operation : result.operations_)
    operation.verdict = 0;
  return result;
}
std::string OperationDeduplication::pack() const {
  std::string packed;
  packed.reserve(operations_.size() * kOperationBytes);
  for (const auto& operation : operations_) {
    appendInteger(packed, operation.idHash);
    appendInteger(packed, static_cast<std::uint64_t>(operation.verdict), kVerdictBytes);
  }
  return packed;
}
Result<OperationDeduplication> OperationDeduplication::unpack(std::string_view packed) {
  const auto count = entryCount(packed, kOperationBytes, kCapacity);
  if (!count)
    return tl::unexpected(count.error());
  OperationDeduplication result;
  for (std::size_t i = 0; i < *count; ++i) {
    const auto offset = i * kOperationBytes;
    const auto verdict = readInteger(packed, offset + kIntegerBytes, kVerdictBytes);
    result.operations_.push_back({readInteger(packed, offset), static_cast<std::int32_t>(verdict)});
  }
  return result;
}

void DetachedRunners::record(std::string_view runnerId) {
  if (contains(runnerId))
    return;
  idHashes_.push_back(hash64(runnerId));
  dropOldest(idHashes_, kCapacity);
}
bool DetachedRunners::contains(std::string_view runnerId) const {
  return std::find(idHashes_.begin(), idHashes_.end(), hash64(runnerId)) != idHashes_.end();
}
std::string DetachedRunners::pack() const {
  std::string packed;
  packed.reserve(idHashes_.size() * kIntegerBytes);
  for (auto hash : idHashes_)
    appendInteger(packed, hash);
  return packed;
}
Result<DetachedRunners> DetachedRunners::unpack(std::string_view packed) {
  const auto count = entryCount(packed, kIntegerBytes, kCapacity);
  if (!count)
    return tl::unexpected(count.error());
  DetachedRunners result;
  for (std::size_t i = 0; i < *count; ++i)
    result.idHashes_.push_back(readInteger(packed, i * kIntegerBytes));
  return result;
}
}  // namespace zinccleat::state_machine
