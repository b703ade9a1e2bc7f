// The disk thread: waits for the disk block it alone; in and out go messages only.
#pragma once
#include <thread>

#include <boost/asio/executor_work_guard.hpp>

#include "keel/quay.hpp"
#include "store/store.hpp"
namespace zc {
class Disk {
 public:
  explicit Disk(Store s) : store_(std::move(s)), guard_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  ~Disk() {
    guard_.reset();
    thread_.join();
  }
  void keep(Page g, std::function<void(bool)> done) {
    asio::post(io_, [this, g = std::move(g), done = std::move(done)] {
      const bool ok = store_.keepInOrder(g).has_value();
      asio::post(Quay::get().io(), [done, ok] { done(ok); });
    });
  }

 private:
  Store store_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};
}  // namespace zc
