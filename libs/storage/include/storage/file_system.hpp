/// @file
/// The file operations that `Storage` needs, over one folder, as an interface: the operating system implements it in
/// production, tests substitute a simulated disk on which each operation can fail or lose power.
///
/// Durability model, which every implementation must keep and callers may rely on:
///  - Content and names are made durable separately. `WritableFile::sync` covers the content of one file,
///    `FileSystem::syncFolder` covers all creations, renames and removals of names before it.
///  - After a power loss, unsynced content is there, torn or missing. Each unsynced change of a name is kept or lost by
///    itself; of an unsynced rename, both names, either one, or neither may exist.
///  - A process that is killed loses nothing that an operation has already done.
///
/// All calls block. Errors are ErrorCode::ioError with `errno` in `Error::subcode`. After an error the operation may
/// or may not have taken effect, unless stated otherwise.
#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/common.hpp"

namespace zinccleat::storage {
/// A new file that is open for writing. The destructor closes it, which makes nothing durable. Not thread-safe.
class WritableFile {
 public:
  virtual ~WritableFile() = default;
  /// Appends bytes to the file.
  /// @return how many of them were written, from the first on; it may be fewer than given, also 0.
  virtual Result<std::size_t> write(std::string_view bytes) = 0;
  /// Makes the file's content durable. After an error the content is undefined for good: the operating system may have
  /// dropped unwritten data and report success at the next call. The content must then be written to another new file.
  virtual Result<void> sync() = 0;
};

/// One folder of files. A name is a plain file name without a path. An object may move between threads, but only one
/// may use it at a time.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Acquires an exclusive lock on the folder by means of a lock file, which stays. The lock is released when this
  /// object is destroyed or the process ends in any way.
  /// @return false if another process, or another object of this process, has the lock.
  virtual Result<bool> lock(const std::string& name) = 0;
  /// Lists the files in the folder, in no order. An error returns no partial list.
  virtual Result<std::vector<std::string>> list() = 0;
  /// Reads the complete content of a file. A file that does not exist is an error (ENOENT).
  virtual Result<std::string> read(const std::string& name) = 0;
  /// Creates an empty file and opens it. A name that exists already is an error (EEXIST), which changes nothing.
  virtual Result<std::unique_ptr<WritableFile>> create(const std::string& name) = 0;
  /// Renames a file, atomically for other processes; a file that has the new name already is replaced.
  virtual Result<void> rename(const std::string& from, const std::string& to) = 0;
  /// Removes a file. A file that does not exist is a success.
  virtual Result<void> remove(const std::string& name) = 0;
  /// Makes every earlier creation, rename and removal in the folder durable.
  virtual Result<void> syncFolder() = 0;
};

/// Opens a folder of the operating system. `lock` and `list` create it if it is missing, but not its parents.
std::unique_ptr<FileSystem> openPosixFolder(std::string path);
}  // namespace zinccleat::storage
