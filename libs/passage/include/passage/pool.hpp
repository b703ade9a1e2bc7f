// Clean wires to runners, kept for use again. A wire with anything unasked on it is never used again.
#pragma once
#include "keel/quay.hpp"
namespace zc {
class Pool {
 public:
  std::unique_ptr<Wire> take(const std::string& id, Instant now);
  void give(const std::string& id, std::unique_ptr<Wire> w, Instant until);
  void drop(const std::string& id);
  void sweep(Instant now);

 private:
  struct Idle {
    std::unique_ptr<Wire> wire;
    Instant until;
  };
  std::unordered_map<std::string, std::vector<Idle>> idle_;
};
}  // namespace zc
