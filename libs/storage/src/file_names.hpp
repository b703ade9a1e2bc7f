/// @file
/// The names of the files in a data folder, apart from those of records (`record_format.hpp`). They are on disks in
/// use: none may change.
///
///     record-N.tmp      a record that is being written
///     damaged-SET-NAME  the file NAME, quarantined in the set SET
///     page-N            a record of formats 1 to 3
///     lock              the lock file
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "runtime/common.hpp"

namespace zinccleat::storage {
constexpr const char* kLockName = "lock";

/// The name under which a record is written before it gets its own.
std::string temporaryName(const std::string& recordName);
/// Whether a file is a record that was being written.
bool isTemporary(std::string_view name);
/// Whether a file is a record of formats 1 to 3.
bool isOldFormatRecord(std::string_view name);

/// The prefix of all names in a quarantine set.
/// @param set numbered from 1.
std::string quarantinePrefix(std::int64_t set);
/// The quarantine set of a file; 0 for any other file.
std::int64_t quarantineSet(std::string_view name);

/// The sequence numbers of all records among these names, newest first.
std::vector<std::int64_t> sequencesNewestFirst(const std::vector<std::string>& names);
}  // namespace zinccleat::storage
