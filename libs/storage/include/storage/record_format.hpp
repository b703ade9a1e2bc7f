/// @file
/// How a record looks as a file: a fixed envelope (magic, checksum, format version) around the Avro-encoded fields.
/// The envelope is the same in every version, so that any version can tell a record of another version, whose
/// checksum holds, from a damaged one, whose checksum does not.
#pragma once
#include "consensus/disk_record.hpp"

namespace zinccleat::storage {
/// Version of the encoded fields. Raise it whenever the fields of DiskRecord change.
/// Versions 1 to 3 stood in files named `page-N` with another envelope; they are refused by that name.
constexpr int kRecordFormat = 4;

/// The content of the file that holds `record`.
std::string encodeRecord(const consensus::DiskRecord& record);
/// The same for a given format version; for tests of refusal.
std::string encodeRecordAs(int format, const consensus::DiskRecord& record);
/// Reads a file's content back. Fault codes: kOtherFormat, kDamaged.
Result<consensus::DiskRecord> decodeRecord(std::string_view content);

/// The file name of the record with this sequence number.
std::string recordName(std::int64_t sequence);
/// The sequence number in a record's file name; none for any other name.
std::optional<std::int64_t> recordSequence(const std::string& name);
}  // namespace zinccleat::storage
