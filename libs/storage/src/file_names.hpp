/// @file
/// The names of the files in a data folder, except those of records (`record_format.hpp`). None of the names may
/// change, since disks in use contain files with these names.
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

/// The name under which the file of a record is written before the file is renamed to `recordName`.
std::string temporaryName(const std::string& recordName);
/// Whether a file has the temporary name of a record.
bool isTemporary(std::string_view name);
/// Whether a file is a record of formats 1 to 3.
bool isOldFormatRecord(std::string_view name);

/// The prefix of all names in a quarantine set.
/// @param set the number of the quarantine set, starting with 1.
std::string quarantinePrefix(std::int64_t set);
/// The number of the quarantine set that a file belongs to; 0 if the file is not quarantined.
std::int64_t quarantineSet(std::string_view name);

/// The sequence numbers of all records among these names, newest first.
std::vector<std::int64_t> sequencesNewestFirst(const std::vector<std::string>& names);
}  // namespace zinccleat::storage
