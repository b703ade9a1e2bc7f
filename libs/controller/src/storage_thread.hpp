/// @file
/// Runs storage on a thread of its own: waiting for the disk blocks that thread alone. Messages go in, and results
/// come back on the event loop.
#pragma once
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"
#include "storage/storage.hpp"

namespace zinccleat::controller {
class StorageThread {
 public:
  /// Takes over a storage that has been loaded.
  explicit StorageThread(storage::Storage storage)
      : storage_(std::move(storage)), guard_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  /// Waits for the operations under way.
  ~StorageThread() {
    guard_.reset();
    thread_.join();
  }
  /// Appends in the order of the calls; `done` is called on the event loop, true once the record is durable. A record
  /// that failed may be appended again.
  void append(consensus::DiskRecord record, std::function<void(bool)> done) {
    asio::post(io_, [this, record = std::move(record), done = std::move(done)] {
      const auto appended = storage_.append(record);
      asio::post(runtime::EventLoop::get().io(), [done, appended] {
        if (!appended)
          log::debug("disk: " + appended.error().message);
        done(appended.has_value());
      });
      if (record.full)
        removeObsolete();
    });
  }

 private:
  // After the answer, and a few files a turn: a write that comes meanwhile waits for these few only.
  void removeObsolete() {
    asio::post(io_, [this] {
      if (storage_.removeObsolete(kRemovedATurn))
        removeObsolete();
    });
  }

  static constexpr std::size_t kRemovedATurn = 8;
  storage::Storage storage_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};
}  // namespace zinccleat::controller
