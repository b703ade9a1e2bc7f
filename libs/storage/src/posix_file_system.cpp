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
constexpr std::size_t kReadBlock = std::size_t{64} * 1024;

tl::unexpected<Error> systemFault(const std::string& operation) {
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

class PosixFile : public WritableFile {
 public:
  explicit PosixFile(int descriptor) : descriptor_(descriptor) {}
  Result<std::size_t> write(std::string_view bytes) override {
    ssize_t taken = 0;
    do
      taken = ::write(descriptor_.number(), bytes.data(), bytes.size());
    while (taken < 0 && errno == EINTR);
    if (taken < 0)
      return systemFault("write");
    return static_cast<std::size_t>(taken);
  }
  Result<void> sync() override {
    if (::fsync(descriptor_.number()) != 0)
      return systemFault("fsync");
    return {};
  }

 private:
  Descriptor descriptor_;
};

class PosixFolder : public FileSystem {
 public:
  explicit PosixFolder(std::string path) : path_(std::move(path)) {}

  Result<bool> lock(const std::string& name) override {
    makeFolder();
    auto file = std::make_unique<Descriptor>(::open(at(name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
    if (!file->valid())
      return systemFault("open " + name);
    if (::flock(file->number(), LOCK_EX | LOCK_NB) != 0) {
      if (errno == EWOULDBLOCK)
        return false;
      return systemFault("lock " + name);
    }
    lock_ = std::move(file);
    return true;
  }

  Result<std::vector<std::string>> list() override {
    makeFolder();
    DIR* folder = ::opendir(path_.c_str());
    if (!folder)
      return systemFault("open the folder");
    std::vector<std::string> names;
    errno = 0;  // the only way to tell the end of the list from an error
    while (const auto* entry = ::readdir(folder)) {
      const std::string name = entry->d_name;
      if (name != "." && name != "..")
        names.push_back(name);
      errno = 0;
    }
    const int code = errno;
    ::closedir(folder);
    if (code != 0)
      return makeError(ErrorCode::ioError, std::string("list the folder: ") + std::strerror(code), code);
    return names;
  }

  Result<std::string> read(const std::string& name) override {
    const Descriptor file(::open(at(name).c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.valid())
      return systemFault("open");
    std::string content;
    std::vector<char> block(kReadBlock);
    for (;;) {
      const auto taken = ::read(file.number(), block.data(), block.size());
      if (taken < 0 && errno == EINTR)
        continue;
      if (taken < 0)
        return systemFault("read");
      if (taken == 0)
        return content;
      content.append(block.data(), static_cast<std::size_t>(taken));
    }
  }

  Result<std::unique_ptr<WritableFile>> create(const std::string& name) override {
    const int descriptor = ::open(at(name).c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644);
    if (descriptor < 0)
      return systemFault("create " + name);
    return std::make_unique<PosixFile>(descriptor);
  }

  Result<void> rename(const std::string& from, const std::string& to) override {
    if (::rename(at(from).c_str(), at(to).c_str()) != 0)
      return systemFault("rename " + from);
    return {};
  }

  Result<void> remove(const std::string& name) override {
    if (::unlink(at(name).c_str()) != 0 && errno != ENOENT)
      return systemFault("remove " + name);
    return {};
  }

  Result<void> syncFolder() override {
    const Descriptor folder(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.valid())
      return systemFault("open the folder");
    if (::fsync(folder.number()) != 0)
      return systemFault("sync the folder");
    return {};
  }

 private:
  std::string at(const std::string& name) const { return path_ + "/" + name; }
  // An error shows by itself when the folder is used.
  void makeFolder() { ::mkdir(path_.c_str(), 0755); }

  std::string path_;
  std::unique_ptr<Descriptor> lock_;
};
}  // namespace

std::unique_ptr<FileSystem> openPosixFolder(std::string path) {
  return std::make_unique<PosixFolder>(std::move(path));
}
}  // namespace zinccleat::storage
