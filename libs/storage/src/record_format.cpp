#include "storage/record_format.hpp"

#include <charconv>

#include "transport/avro.hpp"
#include "zero_padded.hpp"

namespace zinccleat::storage {
namespace {
// Layout: magic, checksum of everything after the checksum, format version as decimal text, Avro record.
constexpr std::string_view kMagic = "zcrecord";
constexpr std::size_t kChecksumDigits = 32;  // 128 bits in hexadecimal
constexpr std::size_t kVersionDigits = 4;
constexpr std::size_t kEnvelopeBytes = kMagic.size() + kChecksumDigits + kVersionDigits;

constexpr std::string_view kNamePrefix = "record-";
constexpr std::size_t kSequenceDigits = 12;
}  // namespace

std::string encodeRecordAs(int format, const consensus::DiskRecord& record) {
  const auto checksummed = zeroPadded(format, kVersionDigits) + avro::encode(record);
  return std::string(kMagic) + digestOf(checksummed) + checksummed;
}
std::string encodeRecord(const consensus::DiskRecord& record) {
  return encodeRecordAs(kRecordFormat, record);
}

Result<consensus::DiskRecord> decodeRecord(std::string_view content) {
  if (content.size() < kEnvelopeBytes || !content.starts_with(kMagic))
    return makeError(ErrorCode::corruption, "is no record");
  const auto checksum = content.substr(kMagic.size(), kChecksumDigits);
  const auto checksummed = content.substr(kMagic.size() + kChecksumDigits);
  if (digestOf(checksummed) != checksum)
    return makeError(ErrorCode::corruption, "fails its checksum");
  const auto version = checksummed.substr(0, kVersionDigits);
  if (version != zeroPadded(kRecordFormat, kVersionDigits))
    return makeError(ErrorCode::incompatibleFormat,
                     "is in format " + std::string(version) + " of another version of this program");
  auto record = avro::decode<consensus::DiskRecord>(checksummed.substr(kVersionDigits));
  if (!record)
    return makeError(ErrorCode::corruption, "does not parse");
  return record;
}

std::string recordName(std::int64_t sequence) {
  return std::string(kNamePrefix) + zeroPadded(sequence, kSequenceDigits);
}
std::optional<std::int64_t> recordSequence(const std::string& name) {
  const std::string_view text = name;
  if (!text.starts_with(kNamePrefix))
    return std::nullopt;
  const auto digits = text.substr(kNamePrefix.size());
  std::int64_t sequence = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), sequence);
  // Accepts only the exact result of `recordName`: no sign, no other number of digits, no trailing characters.
  if (sequence < 1 || recordName(sequence) != name)
    return std::nullopt;
  return sequence;
}
}  // namespace zinccleat::storage
