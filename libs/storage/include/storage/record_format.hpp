/// @file
/// The file format of a disk record: a fixed envelope (magic, checksum, format version) around the Avro-encoded fields
/// of `consensus::DiskRecord`. Pure functions.
///
/// The envelope is the same in every format version. Every version of the program can therefore distinguish a record of
/// another format version, whose checksum is valid, from a corrupted record, whose checksum is invalid.
#pragma once
#include "consensus/disk_record.hpp"

namespace zinccleat::storage {
/// The format version that is written and read. It must be incremented whenever the fields of DiskRecord change.
/// Versions 1 to 3 use another envelope and files named `page-N`; `Storage::load` rejects a folder with such files.
constexpr int kRecordFormat = 4;

/// Encodes a record as the content of its file.
std::string encodeRecord(const consensus::DiskRecord& record);
/// Encodes a record with any format version in its envelope, for tests of `decodeRecord`.
std::string encodeRecordAs(int format, const consensus::DiskRecord& record);
/// Decodes the content of a record's file.
/// @return ErrorCode::corruption for a wrong magic, checksum or encoding; ErrorCode::incompatibleFormat for a valid
///         record of another version of this program. The error messages are predicates, to be appended to the file
///         name.
Result<consensus::DiskRecord> decodeRecord(std::string_view content);

/// The file name of the record with this sequence number.
std::string recordName(std::int64_t sequence);
/// The sequence number in the file name of a record; nothing if `name` is not the name of a record.
std::optional<std::int64_t> recordSequence(const std::string& name);
}  // namespace zinccleat::storage
