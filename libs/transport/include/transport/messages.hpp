// What the system's own processes say to each other.
#pragma once
#include "runtime/common.hpp"
namespace zc {
enum class OpKind : std::int32_t {
  takeOver = 0,
  configuration = 1,
  runner = 2,
  members = 3,
  closure = 4,
  difference = 5
};

// One numbered write: the operation and its parameters.
struct Entry {
  std::int64_t num = 0, term = 0;
  std::int32_t kind = 0;
  std::int64_t base = 0;  // configuration: the version it builds on
  std::string opId;       // a write sent again is one write
  std::string digest;     // of the body, for large writes
  std::string blob;
  bool omitted = false;  // the body went ahead from its sender
  template <class V>
  void fields(V& v) {
    v("num", num), v("term", term), v("kind", kind), v("base", base), v("opId", opId), v("digest", digest);
    v("blob", blob), v("omitted", omitted);
  }
  OpKind op() const { return static_cast<OpKind>(kind); }
};
struct Grant {  // a share of a subscriber's quota, or the demand for one
  std::string label;
  double rate = 0, burst = 0;
  template <class V>
  void fields(V& v) {
    v("label", label), v("rate", rate), v("burst", burst);
  }
};
enum class Kind : std::int32_t {
  // Between core machines; `consensus` carries an encoded ConsensusMessage in `blob`.
  consensus = 1,
  submit = 6,
  submitAck = 7,
  body = 9,
  // Towards access machines.
  state = 20,
  stateAck,
  follow,
  feed,
  challenge,
  lease,
  beats,
  draw,
  drawn,
  whereHeld,
  held,
  beatsAck
};
struct Msg {
  std::int32_t kind = 0;
  std::string from, who;
  std::int64_t term = 0, num = 0, prevTerm = 0, commit = 0, nonce = 0;
  bool ok = false, flag = false;
  std::vector<Entry> entries;
  std::vector<std::string> names;  // members
  std::vector<std::string> view;   // a shuffled part of the sender's partial view
  std::vector<Grant> grants;       // asked: the demand; answered: the shares
  std::vector<Grant> load;         // asked: a place that closes, requests at its runners, requests at its proxies
  std::vector<Grant> holds;        // asked: what the asker still holds
  std::vector<Grant> seen;         // asked: runner, attempts gone well, gone ill; answered: runner, how far set aside
  std::string blob;
  template <class V>
  void fields(V& v) {
    v("kind", kind), v("from", from), v("who", who), v("term", term), v("num", num), v("prevTerm", prevTerm);
    v("commit", commit), v("nonce", nonce), v("ok", ok), v("flag", flag), v("entries", entries);
    v("names", names), v("view", view), v("grants", grants), v("holds", holds), v("load", load), v("seen", seen),
        v("blob", blob);
  }
  Kind what() const { return static_cast<Kind>(kind); }
};
inline Msg msgOf(Kind k) {
  Msg m;
  m.kind = static_cast<std::int32_t>(k);
  return m;
}
}  // namespace zc
