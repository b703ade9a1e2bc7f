#include "storage/storage.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "transport/avro.hpp"

namespace zc {
namespace {
constexpr std::string_view kMark = "zcpage3 ", kAnyMark = "zcpage";
std::string nameOf(std::int64_t seq) {
  char b[40];
  std::snprintf(b, sizeof b, "page-%012lld", static_cast<long long>(seq));
  return b;
}
Outcome<void> sysFault(const char* what) {
  return fault(errno, std::string(what) + ": " + std::strerror(errno));
}
Outcome<void> writeSynced(const std::string& path, std::string_view s) {
  const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0)
    return sysFault("open");
  while (!s.empty()) {
    const auto n = ::write(fd, s.data(), s.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0) {
      auto f = sysFault("write");
      ::close(fd);
      return f;
    }
    s.remove_prefix(static_cast<std::size_t>(n));
  }
  if (::fsync(fd) != 0) {
    auto f = sysFault("fsync");
    ::close(fd);
    return f;
  }
  if (::close(fd) != 0)
    return sysFault("close");
  return {};
}
Outcome<void> syncFolder(const std::string& dir) {
  const int fd = ::open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    return sysFault("open folder");
  const int r = ::fsync(fd);
  ::close(fd);
  if (r != 0)
    return sysFault("fsync folder");
  return {};
}
Outcome<std::string> slurp(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    return fault(errno, "open: " + std::string(std::strerror(errno)));
  std::string out;
  std::vector<char> buf(64 * 1024);
  for (;;) {
    const auto n = ::read(fd, buf.data(), buf.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0) {
      ::close(fd);
      return fault(errno, "read: " + std::string(std::strerror(errno)));
    }
    if (n == 0)
      break;
    out.append(buf.data(), static_cast<std::size_t>(n));
  }
  ::close(fd);
  return out;
}
}  // namespace

std::string encodeRecord(const DiskRecord& g) {
  auto body = avro::encode(g);
  return std::string(kMark) + digestOf(body) + body;
}
Outcome<DiskRecord> decodeRecord(std::string_view b) {
  if (b.size() >= kMark.size() && b.substr(0, kAnyMark.size()) == kAnyMark && b.substr(0, kMark.size()) != kMark)
    return fault(kOtherFormat, "a page in the format of another version of this program");
  if (b.size() < kMark.size() + 32 || b.substr(0, kMark.size()) != kMark)
    return fault(0, "no page of ours");
  const auto sum = b.substr(kMark.size(), 32);
  const auto body = b.substr(kMark.size() + 32);
  if (digestOf(body) != sum)
    return fault(0, "page torn");
  return avro::decode<DiskRecord>(body);
}

Storage::Storage(std::string dir) : dir_(std::move(dir)) {}
Outcome<std::vector<DiskRecord>> Storage::load() {
  ::mkdir(dir_.c_str(), 0755);
  DIR* d = ::opendir(dir_.c_str());
  if (!d)
    return fault(errno, "cannot open folder '" + dir_ + "': " + std::strerror(errno));
  std::vector<std::int64_t> seqs;
  std::vector<std::string> asides;
  while (auto* e = ::readdir(d)) {
    long long seq = 0;
    char tail = 0;
    const std::string name = e->d_name;
    if (std::sscanf(name.c_str(), "page-%lld%c", &seq, &tail) == 1)
      seqs.push_back(seq);
    else if (name.rfind("aside-", 0) == 0)
      asides.push_back(name);
  }
  ::closedir(d);
  for (auto& a : asides)
    ::unlink((dir_ + "/" + a).c_str());
  std::sort(seqs.begin(), seqs.end());
  std::vector<DiskRecord> pages;
  for (std::size_t i = 0; i < seqs.size(); ++i) {
    auto bytes = slurp(dir_ + "/" + nameOf(seqs[i]));
    auto g = bytes ? decodeRecord(*bytes) : Outcome<DiskRecord>(tl::unexpected(bytes.error()));
    if (!g && g.error().code == kOtherFormat)
      return tl::unexpected(g.error());
    if (!g || g->seq != seqs[i])
      return fault(0, "page " + std::to_string(seqs[i]) + " is damaged");
    if (g->full)
      pages.clear();
    else if (pages.empty() || pages.back().seq + 1 != g->seq) {
      // Old pages below a whole one may linger half removed; what counts starts at the whole one.
      if (!pages.empty())
        return fault(0, "page missing before " + std::to_string(seqs[i]));
      continue;
    }
    pages.push_back(std::move(*g));
  }
  files_ = seqs;
  lastSeq_ = pages.empty() ? 0 : pages.back().seq;
  if (pages.empty() && !seqs.empty())
    return fault(0, "no whole page on the disk");
  return pages;
}
Outcome<void> Storage::keep(const DiskRecord& g) {
  const auto aside = dir_ + "/aside-" + std::to_string(g.seq);
  if (auto r = writeSynced(aside, encodeRecord(g)); !r) {
    ::unlink(aside.c_str());
    return r;
  }
  if (::rename(aside.c_str(), (dir_ + "/" + nameOf(g.seq)).c_str()) != 0)
    return sysFault("rename");
  if (auto r = syncFolder(dir_); !r)
    return r;
  // Only now, with the whole page safe, may what lies below it go.
  if (g.full) {
    for (auto s : files_)
      ::unlink((dir_ + "/" + nameOf(s)).c_str());
    files_.clear();
  }
  files_.push_back(g.seq);
  return {};
}
Outcome<void> Storage::keepInOrder(const DiskRecord& g) {
  if (g.seq != lastSeq_ + 1)
    return fault(0, "page out of order");
  auto r = keep(g);
  if (r)
    lastSeq_ = g.seq;
  return r;
}
}  // namespace zc
