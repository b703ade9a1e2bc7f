// The disk thread: waits for the disk block it alone; in and out go messages only.
#pragma once
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

#include "runtime/event_loop.hpp"
#include "storage/storage.hpp"
namespace zc {
class StorageThread {
 public:
  explicit StorageThread(Storage s)
      : store_(std::move(s)), guard_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  ~StorageThread() {
    guard_.reset();
    thread_.join();
  }
  void keep(DiskRecord g, std::function<void(bool)> done) {
    asio::post(io_, [this, g = std::move(g), done = std::move(done)] {
      const bool ok = store_.keepInOrder(g).has_value();
      asio::post(EventLoop::get().io(), [done, ok] { done(ok); });
    });
  }

 private:
  Storage store_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};
}  // namespace zc
