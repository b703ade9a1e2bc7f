/// @file
/// Runs storages on a thread of their own, so that only that thread waits for the disk. Records go in by messages, and
/// results come back on the event loop. The storages are used by that thread alone.
#pragma once
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

#include "runtime/event_loop.hpp"
#include "storage/storage.hpp"

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
  /// Runs `task` on the thread, after all tasks that were posted before.
  void post(std::function<void()> task) { asio::post(io_, std::move(task)); }

 private:
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};

/// One storage on the disk's thread; see the file's comment.
class StorageThread {
 public:
  using OnAppended = std::function<void(const Result<void>&)>;
  /// Takes over a storage that has been recovered.
  StorageThread(std::shared_ptr<DiskThread> disk, storage::Storage storage)
      : disk_(std::move(disk)), storage_(std::make_shared<storage::Storage>(std::move(storage))) {}
  /// Appends in the order of the calls. A record that failed may be appended again.
  /// @param onAppended is called on the event loop, without an error once the record is durable.
  void append(consensus::DiskRecord record, OnAppended onAppended) {
    disk_->post(
        [disk = disk_.get(), storage = storage_, record = std::move(record), onAppended = std::move(onAppended)] {
          auto appended = storage->append(record);
          asio::post(runtime::EventLoop::get().io(),
                     [onAppended, appended = std::move(appended)] { onAppended(appended); });
          if (record.full)
            removeObsolete(disk, storage);
        });
  }

 private:
  // After the answer, and a few files at a time: a record that comes meanwhile waits for these few only.
  static void removeObsolete(DiskThread* disk, const std::shared_ptr<storage::Storage>& storage) {
    disk->post([disk, storage] {
      if (storage->removeObsolete(kFilesRemovedAtOnce))
        removeObsolete(disk, storage);
    });
  }

  static constexpr std::size_t kFilesRemovedAtOnce = 8;
  std::shared_ptr<DiskThread> disk_;
  std::shared_ptr<storage::Storage> storage_;
};
}  // namespace zinccleat::controller
