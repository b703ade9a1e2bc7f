/// @file
/// The file format of a disk record: a fixed envelope (magic, checksum, format version) around the Avro-encoded fields
/// of `consensus::DiskRecord`. Pure functions.
///
/// The envelope is the same in every format version. So any version of this program can tell a record of another
/// version, whose checksum is right, from a corrupted one, whose checksum is wrong.
#pragma once
#include "consensus/disk_record.hpp"

namespace zinccleat::storage {
/// The format version that is written and read; to be raised whenever the fields of DiskRecord change. Versions 1 to 3
/// were in files named `page-N` with another envelope; `Storage::load` refuses a folder with such files.
constexpr int kRecordFormat = 4;

/// Encodes a record as the content of its file.
std::string encodeRecord(const consensus::DiskRecord& record);
/// Encodes a record with another format version in its envelope, for tests of `decodeRecord`.
std::string encodeRecordAs(int format, const consensus::DiskRecord& record);
/// Decodes the content of a record's file.
/// @return ErrorCode::corruption for a wrong magic, checksum or encoding; ErrorCode::incompatibleFormat for a valid
///         record of another version of this program. The messages continue a sentence that begins with the file name.
Result<consensus::DiskRecord> decodeRecord(std::string_view content);

/// The file name of the record with this sequence number.
std::string recordName(std::int64_t sequence);
/// The sequence number of a record's file name; none for any other name.
std::optional<std::int64_t> recordSequence(const std::string& name);
}  // namespace zinccleat::storage
