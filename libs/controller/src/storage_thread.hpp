/// @file
/// Runs the storage on a thread of its own, so that only that thread waits for the disk. Records go in by messages, and
/// results come back on the event loop. The storage is used by that thread alone.
#pragma once
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

#include "runtime/event_loop.hpp"
#include "storage/storage.hpp"

namespace zinccleat::controller {
/// A storage and the thread that uses it; see the file's comment.
class StorageThread {
 public:
  using OnAppended = std::function<void(const Result<void>&)>;
  /// Takes over a storage that has been recovered.
  explicit StorageThread(storage::Storage storage)
      : storage_(std::move(storage)), guard_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  /// Waits for the operations under way.
  ~StorageThread() {
    guard_.reset();
    thread_.join();
  }
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;
  /// Appends in the order of the calls. A record that failed may be appended again.
  /// @param onAppended is called on the event loop, without an error once the record is durable.
  void append(consensus::DiskRecord record, OnAppended onAppended) {
    asio::post(io_, [this, record = std::move(record), onAppended = std::move(onAppended)] {
      auto appended = storage_.append(record);
      asio::post(runtime::EventLoop::get().io(),
                 [onAppended, appended = std::move(appended)] { onAppended(appended); });
      if (record.full)
        removeObsolete();
    });
  }

 private:
  // After the answer, and a few files at a time: a record that comes meanwhile waits for these few only.
  void removeObsolete() {
    asio::post(io_, [this] {
      if (storage_.removeObsolete(kFilesRemovedAtOnce))
        removeObsolete();
    });
  }

  static constexpr std::size_t kFilesRemovedAtOnce = 8;
  storage::Storage storage_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};
}  // namespace zinccleat::controller
