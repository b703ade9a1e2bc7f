// A receiver's queue: arrivals in any order, the head taken in strict order, a gap asked for before anything later.
#pragma once
#include "transport/messages.hpp"
namespace zinccleat::consensus {
class EntryQueue {
 public:
  void offer(transport::LogEntry e);
  void body(const std::string& digest, std::string blob);  // a large body ahead of its number
  std::optional<transport::LogEntry> next();               // the head, if it is the next number
  void restart(std::int64_t applied);                      // after a snapshot
  std::int64_t applied() const { return applied_; }
  bool gap() const;  // something later waits for what is missing
 private:
  std::int64_t applied_ = 0;
  std::map<std::int64_t, transport::LogEntry> waiting_;
  std::deque<std::pair<std::string, std::string>> bodies_;
};
}  // namespace zinccleat::consensus
