#include "file_names.hpp"

#include <charconv>

#include "storage/record_format.hpp"
#include "zero_padded.hpp"

namespace zinccleat::storage {
namespace {
constexpr std::string_view kRecordPrefix = "record-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::string_view kQuarantinePrefix = "damaged-";
constexpr std::string_view kOldFormatPrefix = "page-";
constexpr std::size_t kSetDigits = 6;
}  // namespace

std::string temporaryName(const std::string& recordName) {
  return recordName + std::string(kTemporarySuffix);
}
bool isTemporary(std::string_view name) {
  return name.starts_with(kRecordPrefix) && name.ends_with(kTemporarySuffix);
}
bool isOldFormatRecord(std::string_view name) {
  return name.starts_with(kOldFormatPrefix);
}

std::string quarantinePrefix(std::int64_t set) {
  return std::string(kQuarantinePrefix) + zeroPadded(set, kSetDigits) + "-";
}
std::int64_t quarantineSet(std::string_view name) {
  if (!name.starts_with(kQuarantinePrefix))
    return 0;
  const auto digits = name.substr(kQuarantinePrefix.size());
  std::int64_t set = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), set);
  return set > 0 && name.starts_with(quarantinePrefix(set)) ? set : 0;
}

std::vector<std::int64_t> sequencesNewestFirst(const std::vector<std::string>& names) {
  std::vector<std::int64_t> sequences;
  for (const auto& name : names)
    if (const auto sequence = recordSequence(name))
      sequences.push_back(*sequence);
  std::sort(sequences.begin(), sequences.end(), std::greater<>());
  return sequences;
}
}  // namespace zinccleat::storage
