// Pages on disk: one file a page, written aside, synced, renamed, the folder synced. Blocking; for the disk thread.
#pragma once
#include "consensus/disk_record.hpp"
namespace zc {
// The code of a fault: the disk is whole, but another version of the program wrote it. Nobody may empty it for that.
constexpr int kOtherFormat = -2;
class Storage {
 public:
  explicit Storage(std::string dir);
  // Every page still valid, in order. A torn or foreign file ends the row; one in its middle makes the disk unusable.
  Outcome<std::vector<DiskRecord>> load();
  Outcome<void> keep(const DiskRecord& g);
  // For the disk thread: pages stay in order even when one of them failed.
  Outcome<void> keepInOrder(const DiskRecord& g);

 private:
  std::string dir_;
  std::int64_t lastSeq_ = 0;
  std::vector<std::int64_t> files_;
};
std::string encodeRecord(const DiskRecord& g);
Outcome<DiskRecord> decodeRecord(std::string_view bytes);
}  // namespace zc
