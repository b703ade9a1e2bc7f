#include "storage/record_format.hpp"

#include <cstdio>
#include <cstdlib>

#include "transport/avro.hpp"

namespace zc {
namespace {
// Layout: magic, checksum of all that follows, format version as text, Avro body.
constexpr std::string_view kMagic = "zcrecord";
constexpr std::size_t kChecksumSize = 32;  // 128 bits in hexadecimal
constexpr std::size_t kVersionSize = 4;
constexpr std::size_t kEnvelopeSize = kMagic.size() + kChecksumSize + kVersionSize;
constexpr std::string_view kNamePrefix = "record-";

std::string versionText(int format) {
  char text[16];
  std::snprintf(text, sizeof text, "%04d", format);
  return text;
}
}  // namespace

std::string encodeRecordAs(int format, const DiskRecord& record) {
  const auto covered = versionText(format) + avro::encode(record);
  return std::string(kMagic) + digestOf(covered) + covered;
}
std::string encodeRecord(const DiskRecord& record) {
  return encodeRecordAs(kRecordFormat, record);
}

Outcome<DiskRecord> decodeRecord(std::string_view content) {
  if (content.size() < kEnvelopeSize || content.substr(0, kMagic.size()) != kMagic)
    return fault(kDamaged, "is no record");
  const auto checksum = content.substr(kMagic.size(), kChecksumSize);
  const auto covered = content.substr(kMagic.size() + kChecksumSize);
  if (digestOf(covered) != checksum)
    return fault(kDamaged, "fails its checksum");
  const auto version = covered.substr(0, kVersionSize);
  if (version != versionText(kRecordFormat))
    return fault(kOtherFormat, "is in format " + std::string(version) + " of another version of this program");
  auto record = avro::decode<DiskRecord>(covered.substr(kVersionSize));
  if (!record)
    return fault(kDamaged, "does not parse");
  return record;
}

std::string recordName(std::int64_t sequence) {
  char name[40];
  std::snprintf(name, sizeof name, "%s%012lld", kNamePrefix.data(), static_cast<long long>(sequence));
  return name;
}
std::optional<std::int64_t> recordSequence(const std::string& name) {
  if (name.rfind(kNamePrefix, 0) != 0)
    return std::nullopt;
  const auto sequence = std::strtoll(name.c_str() + kNamePrefix.size(), nullptr, 10);
  // Only the very name that we would give: neither a sign nor other digits nor a tail.
  if (sequence < 1 || recordName(sequence) != name)
    return std::nullopt;
  return sequence;
}
}  // namespace zc
