/// @file
/// An in-memory disk on which tests inject errors and power losses. The disk implements the durability model of
/// `storage::FileSystem`. The content of a file is durable after a sync of the file; each later write may be complete,
/// torn or missing. Each creation, rename and removal since the last sync of the folder is kept or lost independently;
/// a rename consists of two such changes, one for the old name and one for the new name.
#pragma once
#include <cerrno>
#include <cstring>
#include <map>
#include <set>
#include <stdexcept>

#include "storage/file_system.hpp"

namespace zinccleat {
using namespace zinccleat::storage;
/// Thrown in place of an operation to simulate the end of the process by a power loss.
struct PowerLoss {};

/// The disk: the files, the names of the files, and the durable part of both.
struct SimulatedDisk {
  enum class Operation { lock, list, read, create, write, syncFile, rename, remove, syncFolder };
  /// How an operation ends.
  enum class OperationResult {
    succeeds,
    powerLoss,      // the process ends before the operation has any effect
    failsBefore,    // an error, no effect
    failsAfter,     // an error, although the operation has taken effect
    failsAndDrops,  // only for syncs: an error; the unsynced data is never written, although later syncs succeed
  };
  struct Write {
    std::size_t at;
    std::string bytes;
  };
  struct File {
    std::string durable;          // the content at the last successful sync
    std::string content;          // the content that reads return
    std::vector<Write> unsynced;  // the writes since the last successful sync, in order
    bool dropped = false;
  };
  struct Change {
    std::string name;
    int file;  // the index in `files`; -1: the name is removed
    bool dropped = false;
  };
  using Content = std::map<std::string, std::string>;
  static constexpr std::size_t kMaxUnsyncedChanges = 12;

  std::vector<File> files;
  std::map<std::string, int> names, durableNames;
  std::vector<Change> changes;
  bool locked = false;

  // The behaviour of the disk, which tests set.
  std::function<OperationResult(Operation, int number)> operationResult;  // number: count of earlier operations
  int operations = 0;
  int errorCode = EIO;
  std::size_t maxBytesPerWrite = std::string::npos;
  std::size_t capacity = std::string::npos;  // bytes in all named files

  SimulatedDisk() = default;
  /// Creates a disk with this content, all of which is durable, as after a power loss.
  explicit SimulatedDisk(const Content& found) {
    for (auto& [name, content] : found) {
      names[name] = static_cast<int>(files.size());
      files.push_back({content, content, {}, false});
    }
    // NOLINTNEXTLINE(cppcoreguidelines-prefer-member-initializer): the names are complete only here
    durableNames = names;
  }
  Content content() const {
    Content all;
    for (auto& [name, file] : names)
      all[name] = files[static_cast<std::size_t>(file)].content;
    return all;
  }
  std::size_t used() const {
    std::size_t bytes = 0;
    for (auto& [name, file] : names)
      bytes += files[static_cast<std::size_t>(file)].content.size();
    return bytes;
  }
  OperationResult begin(Operation operation) {
    const auto number = operations++;
    const auto outcome = operationResult ? operationResult(operation, number) : OperationResult::succeeds;
    if (outcome == OperationResult::powerLoss)
      throw PowerLoss{};
    return outcome;
  }
  void change(const std::string& name, int file) {
    if (file < 0)
      names.erase(name);
    else
      names[name] = file;
    changes.push_back({name, file});
  }
  void makeNamesDurable() {
    std::vector<Change> left;
    for (auto& each : changes)
      if (!each.dropped) {
        std::erase_if(left, [&](auto& older) { return older.name == each.name; });
        applyTo(durableNames, each);
      } else {
        left.push_back(each);
      }
    changes = left;
  }
  static void applyTo(std::map<std::string, int>& to, const Change& change) {
    if (change.file < 0)
      to.erase(change.name);
    else
      to[change.name] = change.file;
  }

  /// All contents that the folder may have after a power loss at this moment. Throws std::length_error if there are too
  /// many unsynced changes to enumerate, which means that the code under test does not sync.
  std::set<Content> afterPowerLoss() const {
    if (changes.size() > kMaxUnsyncedChanges)
      throw std::length_error(std::to_string(changes.size()) + " changes of names are not synced");
    std::set<std::map<std::string, int>> folders;
    for (std::uint64_t kept = 0; kept < (1ULL << changes.size()); ++kept) {
      auto folder = durableNames;
      for (std::size_t i = 0; i < changes.size(); ++i)
        if (kept >> i & 1)
          applyTo(folder, changes[i]);
      folders.insert(std::move(folder));
    }
    std::set<Content> all;
    for (auto& folder : folders)
      addContents(folder, folder.begin(), {}, all);
    return all;
  }

 private:
  void addContents(const std::map<std::string, int>& folder, std::map<std::string, int>::const_iterator next,
                   Content content, std::set<Content>& all) const {
    if (next == folder.end()) {
      all.insert(std::move(content));
      return;
    }
    const auto& [name, number] = *next++;
    for (auto& variant : variantsOf(files[static_cast<std::size_t>(number)])) {
      content[name] = variant;
      addContents(folder, next, content, all);
    }
  }
  // All contents that a file may have after a power loss: each unsynced write is complete, torn or missing,
  // independently of the others.
  static std::set<std::string> variantsOf(const File& file) {
    if (file.unsynced.size() > kMaxUnsyncedChanges)
      throw std::length_error(std::to_string(file.unsynced.size()) + " writes of a file are not synced");
    std::set<std::string> variants{file.durable};
    for (auto& write : file.unsynced) {
      std::set<std::string> longer;
      for (auto& before : variants)
        for (const auto length : {std::size_t{0}, write.bytes.size() / 2, write.bytes.size()}) {
          auto after = before;
          if (length > 0) {
            after.resize(std::max(after.size(), write.at + length), '\0');
            after.replace(write.at, length, write.bytes, 0, length);
          }
          longer.insert(std::move(after));
        }
      variants = std::move(longer);
    }
    return variants;
  }
};

/// Implements `storage::FileSystem` on a simulated disk.
class SimulatedFolder : public FileSystem {
 public:
  using Operation = SimulatedDisk::Operation;
  using OperationResult = SimulatedDisk::OperationResult;
  explicit SimulatedFolder(SimulatedDisk& disk) : disk_(disk) {}
  ~SimulatedFolder() override {
    if (holdsLock_)
      disk_.locked = false;
  }
  Result<bool> lock(const std::string&) override {
    if (failed(disk_.begin(Operation::lock)))
      return error("lock");
    if (disk_.locked)
      return false;
    return holdsLock_ = disk_.locked = true;
  }
  Result<std::vector<std::string>> list() override {
    if (failed(disk_.begin(Operation::list)))
      return error("list");
    std::vector<std::string> all;
    for (auto& [name, file] : disk_.names)
      all.push_back(name);
    return all;
  }
  Result<std::string> read(const std::string& name) override {
    if (failed(disk_.begin(Operation::read)))
      return error("read");
    if (!disk_.names.contains(name))
      return makeError(ErrorCode::ioError, "no such file", ENOENT);
    return disk_.files[static_cast<std::size_t>(disk_.names[name])].content;
  }
  Result<std::unique_ptr<WritableFile>> create(const std::string& name) override {
    const auto operationResult = disk_.begin(Operation::create);
    if (operationResult == OperationResult::failsBefore)
      return error("create");
    if (disk_.names.contains(name))
      return makeError(ErrorCode::ioError, "exists", EEXIST);
    disk_.files.emplace_back();
    const int number = static_cast<int>(disk_.files.size()) - 1;
    disk_.change(name, number);
    if (failed(operationResult))
      return error("create");
    return std::make_unique<OpenFile>(disk_, static_cast<std::size_t>(number));
  }
  Result<void> rename(const std::string& from, const std::string& to) override {
    const auto operationResult = disk_.begin(Operation::rename);
    if (operationResult == OperationResult::failsBefore)
      return error("rename");
    if (!disk_.names.contains(from))
      return makeError(ErrorCode::ioError, "no such file", ENOENT);
    const int number = disk_.names[from];
    disk_.change(from, -1);
    disk_.change(to, number);
    if (failed(operationResult))
      return error("rename");
    return {};
  }
  Result<void> remove(const std::string& name) override {
    const auto operationResult = disk_.begin(Operation::remove);
    if (operationResult == OperationResult::failsBefore)
      return error("remove");
    if (disk_.names.contains(name))
      disk_.change(name, -1);
    if (failed(operationResult))
      return error("remove");
    return {};
  }
  Result<void> syncFolder() override {
    const auto operationResult = disk_.begin(Operation::syncFolder);
    if (operationResult == OperationResult::failsAndDrops)
      for (auto& change : disk_.changes)
        change.dropped = true;
    if (operationResult == OperationResult::succeeds || operationResult == OperationResult::failsAfter)
      disk_.makeNamesDurable();
    if (failed(operationResult))
      return error("sync folder");
    return {};
  }

 private:
  class OpenFile : public WritableFile {
   public:
    OpenFile(SimulatedDisk& disk, std::size_t number) : disk_(disk), number_(number) {}
    Result<std::size_t> write(std::string_view bytes) override {
      const auto operationResult = disk_.begin(Operation::write);
      if (operationResult == OperationResult::failsBefore)
        return makeError(ErrorCode::ioError, "write", disk_.errorCode);
      const auto used = disk_.used();
      const auto space = disk_.capacity > used ? disk_.capacity - used : 0;
      if (space == 0)
        return makeError(ErrorCode::ioError, "write: no space", ENOSPC);
      auto& file = disk_.files[number_];
      const std::string written(bytes.substr(0, std::min(space, disk_.maxBytesPerWrite)));
      file.unsynced.push_back({file.content.size(), written});
      file.content += written;
      if (failed(operationResult))
        return makeError(ErrorCode::ioError, "write", disk_.errorCode);
      return written.size();
    }
    Result<void> sync() override {
      const auto operationResult = disk_.begin(Operation::syncFile);
      auto& file = disk_.files[number_];
      file.dropped = file.dropped || operationResult == OperationResult::failsAndDrops;
      if ((operationResult == OperationResult::succeeds || operationResult == OperationResult::failsAfter) &&
          !file.dropped) {
        file.durable = file.content;
        file.unsynced.clear();
      }
      if (failed(operationResult))
        return makeError(ErrorCode::ioError, "sync", disk_.errorCode);
      return {};
    }

   private:
    SimulatedDisk& disk_;
    std::size_t number_;
  };

  static bool failed(OperationResult operationResult) { return operationResult != OperationResult::succeeds; }
  tl::unexpected<Error> error(const char* operation) const {
    return makeError(ErrorCode::ioError, operation, disk_.errorCode);
  }
  SimulatedDisk& disk_;
  bool holdsLock_ = false;
};
}  // namespace zinccleat
