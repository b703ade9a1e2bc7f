/// @file
/// Several storages in one folder: each sees only the files whose names begin with a prefix of its own. A folder cannot
/// be created everywhere, a file can.
#pragma once
#include "storage/file_system.hpp"
namespace zinccleat::storage {
/// A view of a folder that adds a prefix to all names, and lists only files that have it.
/// @param prefix no name of another user of the folder may begin with it.
std::unique_ptr<FileSystem> withNamePrefix(std::unique_ptr<FileSystem> folder, std::string prefix);
}  // namespace zinccleat::storage
