#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstring>

#include "storage/file_system.hpp"

namespace zinccleat::storage {
namespace {
constexpr std::size_t kReadBlockBytes = std::size_t{64} * 1024;
constexpr mode_t kFileMode = 0644;
constexpr mode_t kFolderMode = 0755;

/// Creates an error from `errno`, right after a failed system call.
tl::unexpected<Error> systemError(const std::string& operation) {
  const int code = errno;
  return makeError(ErrorCode::ioError, operation + ": " + std::strerror(code), code);
}

/// Owns one file descriptor.
class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() {
    if (number_ >= 0)
      ::close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  bool valid() const { return number_ >= 0; }
  int number() const { return number_; }

 private:
  int number_;
};

struct CloseDirectory {
  void operator()(DIR* directory) const { ::closedir(directory); }
};
/// Owns an open directory.
using Directory = std::unique_ptr<DIR, CloseDirectory>;

/// A file of the operating system.
class PosixFile : public WritableFile {
 public:
  explicit PosixFile(int descriptor) : descriptor_(descriptor) {}
  Result<std::size_t> write(std::string_view bytes) override {
    ssize_t written = 0;
    do
      written = ::write(descriptor_.number(), bytes.data(), bytes.size());
    while (written < 0 && errno == EINTR);
    if (written < 0)
      return systemError("write");
    return static_cast<std::size_t>(written);
  }
  Result<void> sync() override {
    if (::fsync(descriptor_.number()) != 0)
      return systemError("fsync");
    return {};
  }

 private:
  Descriptor descriptor_;
};

/// A folder of the operating system; its lock is an flock(2) on the lock file.
class PosixFolder : public FileSystem {
 public:
  explicit PosixFolder(std::string path) : path_(std::move(path)) {}

  Result<bool> lock(const std::string& name) override {
    makeFolder();
    auto file = std::make_unique<Descriptor>(::open(pathOf(name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
    if (!file->valid())
      return systemError("open " + name);
    if (::flock(file->number(), LOCK_EX | LOCK_NB) != 0) {
      if (errno == EWOULDBLOCK)
        return false;
      return systemError("lock " + name);
    }
    lock_ = std::move(file);
    return true;
  }

  Result<std::vector<std::string>> list() override {
    makeFolder();
    const Directory folder(::opendir(path_.c_str()));
    if (!folder)
      return systemError("open the folder");
    std::vector<std::string> names;
    errno = 0;  // readdir returns null at the end and on an error; only an error sets errno
    while (const auto* entry = ::readdir(folder.get())) {
      const std::string name = entry->d_name;
      if (name != "." && name != "..")
        names.push_back(name);
      errno = 0;
    }
    if (errno != 0)
      return systemError("list the folder");
    return names;
  }

  Result<std::string> read(const std::string& name) override {
    const Descriptor file(::open(pathOf(name).c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.valid())
      return systemError("open");
    std::string content;
    std::vector<char> block(kReadBlockBytes);
    for (;;) {
      const auto count = ::read(file.number(), block.data(), block.size());
      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0)
        return systemError("read");
      if (count == 0)
        return content;
      content.append(block.data(), static_cast<std::size_t>(count));
    }
  }

  Result<std::unique_ptr<WritableFile>> create(const std::string& name) override {
    const int descriptor = ::open(pathOf(name).c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kFileMode);
    if (descriptor < 0)
      return systemError("create " + name);
    return std::make_unique<PosixFile>(descriptor);
  }

  Result<void> rename(const std::string& from, const std::string& to) override {
    if (::rename(pathOf(from).c_str(), pathOf(to).c_str()) != 0)
      return systemError("rename " + from);
    return {};
  }

  Result<void> remove(const std::string& name) override {
    if (::unlink(pathOf(name).c_str()) != 0 && errno != ENOENT)
      return systemError("remove " + name);
    return {};
  }

  Result<void> syncFolder() override {
    const Descriptor folder(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.valid())
      return systemError("open the folder");
    if (::fsync(folder.number()) != 0)
      return systemError("sync the folder");
    return {};
  }

 private:
  std::string pathOf(const std::string& name) const { return path_ + "/" + name; }
  // Ignores errors: the next operation on the folder reports them.
  void makeFolder() { ::mkdir(path_.c_str(), kFolderMode); }

  std::string path_;
  std::unique_ptr<Descriptor> lock_;
};
}  // namespace

std::unique_ptr<FileSystem> openPosixFolder(std::string path) {
  return std::make_unique<PosixFolder>(std::move(path));
}
}  // namespace zinccleat::storage
