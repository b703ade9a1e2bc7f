/// @file
/// Separates several storages in one folder: each storage has a prefix and sees only the files whose names begin with
/// that prefix. There are no subfolders, since a new folder cannot be created in every environment.
#pragma once
#include "storage/file_system.hpp"
namespace zinccleat::storage {
/// Returns a view of a folder that adds a prefix to all names and lists only the files with that prefix.
/// @param prefix must not be the beginning of any file name that another user of the folder uses.
std::unique_ptr<FileSystem> withNamePrefix(std::unique_ptr<FileSystem> folder, std::string prefix);
}  // namespace zinccleat::storage
