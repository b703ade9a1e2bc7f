#include "storage/record_format.hpp"

#include <cstdio>
#include <cstdlib>

#include "transport/avro.hpp"

namespace zinccleat::storage {
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

std::string encodeRecordAs(int format, const consensus::DiskRecord& record) {
  const auto covered = versionText(format) + avro::encode(record);
  return std::string(kMagic) + digestOf(covered) + covered;
}
std::string encodeRecord(const consensus::DiskRecord& record) {
  return encodeRecordAs(kRecordFormat, record);
}

Result<consensus::DiskRecord> decodeRecord(std::string_view content) {
  if (content.size() < kEnvelopeSize || content.substr(0, kMagic.size()) != kMagic)
    return makeError(ErrorCode::corruption, "is no record");
  const auto checksum = content.substr(kMagic.size(), kChecksumSize);
  const auto covered = content.substr(kMagic.size() + kChecksumSize);
  if (digestOf(covered) != checksum)
    return makeError(ErrorCode::corruption, "fails its checksum");
  const auto version = covered.substr(0, kVersionSize);
  if (version != versionText(kRecordFormat))
    return makeError(ErrorCode::incompatibleFormat,
                     "is in format " + std::string(version) + " of another version of this program");
  auto record = avro::decode<consensus::DiskRecord>(covered.substr(kVersionSize));
  if (!record)
    return makeError(ErrorCode::corruption, "does not parse");
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
}  // namespace zinccleat::storage
