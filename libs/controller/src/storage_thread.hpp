/// @file
/// Runs all storages of a process on a separate disk thread, so that only that thread blocks on the disk. Records are
/// posted to the thread, and results are posted back to the event loop. Only the disk thread uses the storages.
#pragma once
#include <boost/asio/executor_work_guard.hpp>
#include <future>
#include <thread>

#include "append_queue.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::controller {
/// The single thread of a process that blocks on the disk.
class DiskThread {
 public:
  DiskThread() : guard_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  /// Waits for the operations in progress.
  ~DiskThread() {
    guard_.reset();
    thread_.join();
  }
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;
  /// Runs a function on the thread. @return the function's result, once it has returned.
  template <class Function>
  auto run(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    asio::post(io_, std::move(task));
    return result;
  }
  /// Appends a record, batched with all other records that are waiting. Records of one storage keep their order.
  void append(PendingAppend append) {
    asio::post(io_, [this, append = std::move(append)]() mutable {
      queue_.add(std::move(append));
      // The batch is posted behind everything that is already posted, so that records arriving while the disk is busy
      // form one batch.
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
  // Obsolete files are removed after the result was reported, a few at a time. A record that arrives in the meantime
  // waits only for those few removals.
  void removeObsolete(std::shared_ptr<storage::Storage> storage) {
    asio::post(io_, [this, storage = std::move(storage)] {
      if (storage->removeObsolete(kMaxFilesPerRemoval))
        removeObsolete(storage);
    });
  }

  AppendQueue queue_;           // used only by the disk thread
  bool isBatchPosted_ = false;  // used only by the disk thread
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};

/// A storage that is accessed on the disk thread; see the file comment.
class AsyncStorage {
 public:
  using OnAppended = std::function<void(const Result<void>&)>;
  /// Takes ownership of a storage that has been recovered. All storages of one disk thread must be in the same folder.
  AsyncStorage(std::shared_ptr<DiskThread> disk, storage::Storage storage, AppendUrgency urgency)
      : disk_(std::move(disk)), storage_(std::make_shared<storage::Storage>(std::move(storage))), urgency_(urgency) {}
  /// Appends a record; records are appended in the order of the calls. A record that failed may be appended again.
  /// @param onAppended is called on the event loop: without an error once the record is durable, or with the error.
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
