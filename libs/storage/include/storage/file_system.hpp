/// @file
/// An interface for the file operations that `Storage` needs, on one folder. Production code uses the file system of
/// the operating system; tests use a simulated disk on which each operation can fail or lose power.
///
/// Durability model, which every implementation must guarantee:
///  - File contents and file names are made durable separately. `WritableFile::sync` covers the content of one file,
///    `FileSystem::syncFolder` covers all earlier creations, renames and removals.
///  - After a power loss, unsynced content may be complete, torn or missing. Each unsynced creation, rename or removal
///    is kept or lost independently of the others; after an unsynced rename, both names, either one, or neither may
///    exist.
///  - If the process is killed, the effects of completed operations remain.
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
/// A new file that is open for writing. The destructor closes the file without syncing it. Not thread-safe.
class WritableFile {
 public:
  virtual ~WritableFile() = default;
  /// Appends bytes to the file.
  /// @return the number of bytes written, starting with the first; may be less than the size of `bytes`, or 0.
  virtual Result<std::size_t> write(std::string_view bytes) = 0;
  /// Makes the file's content durable. After an error the content of the file stays undefined: the operating system may
  /// have dropped unwritten data and may report success at the next call. The content must then be written to a new
  /// file.
  virtual Result<void> sync() = 0;
};

/// The files of one folder. A name is a file name without a path. An object may be used from several threads, but not
/// from two threads at the same time.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Acquires an exclusive lock on the folder with a lock file, which is never removed. The lock is released when this
  /// object is destroyed or the process ends in any way.
  /// @return false if another process, or another object of this process, has the lock.
  virtual Result<bool> lock(const std::string& name) = 0;
  /// Lists the files in the folder in unspecified order. Returns an error instead of a partial list.
  virtual Result<std::vector<std::string>> list() = 0;
  /// Reads the complete content of a file. Fails with ENOENT if the file does not exist.
  virtual Result<std::string> read(const std::string& name) = 0;
  /// Creates an empty file and opens it. Fails with EEXIST, without any effect, if the name exists.
  virtual Result<std::unique_ptr<WritableFile>> create(const std::string& name) = 0;
  /// Renames a file, atomically for other processes. Replaces an existing file with the new name.
  virtual Result<void> rename(const std::string& from, const std::string& to) = 0;
  /// Removes a file. Succeeds if the file does not exist.
  virtual Result<void> remove(const std::string& name) = 0;
  /// Makes every earlier creation, rename and removal in the folder durable.
  virtual Result<void> syncFolder() = 0;
};

/// Opens a folder of the operating system. `lock` and `list` create a missing folder, but not its parents.
std::unique_ptr<FileSystem> openPosixFolder(std::string path);
}  // namespace zinccleat::storage
