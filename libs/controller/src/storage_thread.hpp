/// @file
/// Runs storages on a thread of their own, so that only that thread waits for the disk. Records go in by messages, and
/// results come back on the event loop. The storages are used by that thread alone.
#pragma once
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

#include "append_queue.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::controller {
/// The one thread of a process that waits for the disk.
class DiskThread {
 public:
  DiskThread() : guard_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  /// Waits for the operations under way.
  ~DiskThread() {
    guard_.reset();
    thread_.join();
  }
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;
  /// Has a record appended, together with whatever else waits then. Records of one storage keep their order.
  void append(PendingAppend append) {
    asio::post(io_, [this, append = std::move(append)]() mutable {
      queue_.add(std::move(append));
      // Behind all that is posted already: what comes while the disk is busy is taken together.
      if (!std::exchange(isBatchPosted_, true))
        asio::post(io_, [this] { appendNextBatch(); });
    });
  }

 private:
  static constexpr std::size_t kMaxFilesPerRemoval = 8;
  void appendNextBatch() {
    for (auto& storage : queue_.appendNextBatch())
      removeObsolete(std::move(storage));
    isBatchPosted_ = !queue_.empty();
    if (isBatchPosted_)
      asio::post(io_, [this] { appendNextBatch(); });
  }
  // After the answer, and a few files at a time: a record that comes meanwhile waits for these few only.
  void removeObsolete(std::shared_ptr<storage::Storage> storage) {
    asio::post(io_, [this, storage = std::move(storage)] {
      if (storage->removeObsolete(kMaxFilesPerRemoval))
        removeObsolete(storage);
    });
  }

  AppendQueue queue_;           // of the thread alone
  bool isBatchPosted_ = false;  // of the thread alone
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};

/// One storage on the disk's thread; see the file's comment.
class AsyncStorage {
 public:
  using OnAppended = std::function<void(const Result<void>&)>;
  /// Takes over a storage that has been recovered. All storages of one thread are in one folder.
  AsyncStorage(std::shared_ptr<DiskThread> disk, storage::Storage storage, AppendUrgency urgency)
      : disk_(std::move(disk)), storage_(std::make_shared<storage::Storage>(std::move(storage))), urgency_(urgency) {}
  /// Appends in the order of the calls. A record that failed may be appended again.
  /// @param onAppended is called on the event loop, without an error once the record is durable.
  /// @param encodeState see `PendingAppend`.
  void append(consensus::DiskRecord record, OnAppended onAppended, std::function<std::string()> encodeState = {}) {
    auto answer = [onAppended = std::move(onAppended)](const Result<void>& appended) {
      asio::post(runtime::EventLoop::get().io(), [onAppended, appended] { onAppended(appended); });
    };
    disk_->append({storage_, std::move(record), urgency_, std::move(encodeState), std::move(answer)});
  }

 private:
  std::shared_ptr<DiskThread> disk_;
  std::shared_ptr<storage::Storage> storage_;
  AppendUrgency urgency_;
};
}  // namespace zinccleat::controller
