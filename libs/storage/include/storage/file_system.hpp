/// @file
/// The few file operations that storage needs, over one folder. An interface, so that tests can put a simulated disk
/// in its place and let every operation fail or lose power.
#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/common.hpp"

namespace zinccleat::storage {
/// A file opened for writing. Destroying it closes it; closing makes nothing durable.
class WritableFile {
 public:
  virtual ~WritableFile() = default;
  /// Appends bytes and returns how many were taken, which may be fewer than given. Error code: errno.
  virtual Result<std::size_t> write(std::string_view bytes) = 0;
  /// Makes the content durable. After an error the content is unknown for good: the system may have dropped the
  /// unwritten data and report success next time. The file must then be written anew under a new inode.
  virtual Result<void> sync() = 0;
};

/// One folder of files. All names are plain file names inside it. All calls block. Error code: errno.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Takes the folder for this object until it is destroyed or the process dies.
  /// @return false if another process (or another object of this one) holds it.
  virtual Result<bool> lock(const std::string& name) = 0;
  /// The names in the folder, in no order. An error means that none of them may be relied on.
  virtual Result<std::vector<std::string>> list() = 0;
  /// The whole content of a file.
  virtual Result<std::string> read(const std::string& name) = 0;
  /// Makes a new empty file; an existing one is an error (EEXIST).
  virtual Result<std::unique_ptr<WritableFile>> create(const std::string& name) = 0;
  /// Gives a file another name, in place of any file that has it already.
  virtual Result<void> rename(const std::string& from, const std::string& to) = 0;
  /// Removes a file; success if there is none.
  virtual Result<void> remove(const std::string& name) = 0;
  /// Makes every earlier creation, renaming and removal of names durable.
  virtual Result<void> syncFolder() = 0;
};

/// The operating system's folder at `path`, which is made if it is missing (by `lock` or `list`).
std::unique_ptr<FileSystem> openPosixFolder(std::string path);
}  // namespace zinccleat::storage
