// A light scan of an event stream: where whole events end, and the id of the last one. Pure.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::proxy {
class EventScan {
 public:
  // Takes bytes as they come; returns those that make whole events by now.
  std::string_view feed(std::string_view bytes);
  // Bytes of an event not whole yet.
  const std::string& rest() const { return rest_; }
  void dropRest() { rest_.clear(); }
  const std::string& lastId() const { return lastId_; }
  // Whether another runner that goes on after lastId() would bring nothing twice: no event without an id came since.
  bool resumable() const { return !nameless_; }

 private:
  std::string rest_, whole_;
  std::string lastId_;
  bool nameless_ = false;
};
}  // namespace zinccleat::proxy
