// Pages on disk: one file a page, written aside, synced, renamed, the folder synced. Blocking; for the disk thread.
#pragma once
#include "log/order.hpp"
namespace zc {
// The code of a fault: the disk is whole, but another version of the program wrote it. Nobody may empty it for that.
constexpr int kOtherFormat = -2;
class Store {
 public:
  explicit Store(std::string dir);
  // Every page still valid, in order. A torn or foreign file ends the row; one in its middle makes the disk unusable.
  Outcome<std::vector<Page>> load();
  Outcome<void> keep(const Page& g);
  // For the disk thread: pages stay in order even when one of them failed.
  Outcome<void> keepInOrder(const Page& g);

 private:
  std::string dir_;
  std::int64_t lastSeq_ = 0;
  std::vector<std::int64_t> files_;
};
std::string sealPage(const Page& g);
Outcome<Page> unsealPage(std::string_view bytes);
}  // namespace zc
