// Records on their way to the disk, and the messages that may only be sent once a record is there.
#pragma once
#include "consensus/disk_record.hpp"
#include "consensus/messages.hpp"
namespace zinccleat::consensus {
// Names a record handed to the disk; tickets rise.
using PersistTicket = std::int64_t;

struct HeldMessage {
  MemberId to;
  ConsensusMessage message;
  std::int64_t term = 0;  // the sender's term when it was written; void in a later one
};
class Persistence {
 public:
  struct Pending {
    PersistTicket ticket = 0;
    DiskRecord record;
    std::int64_t lastLogIndex = 0, lastLogTerm = 0;  // the end of the log that it makes durable
    bool inFlight = false;                           // handed to the disk and not answered yet
    bool failed = false;
    TimePoint retryAt{};
    Duration waited{0};
  };
  // The next record's number on this disk.
  std::int64_t nextSequence() { return ++lastSequence_; }
  void recoveredSequence(std::int64_t sequence) { lastSequence_ = std::max(lastSequence_, sequence); }
  // Notes a record. Its `inFlight` says whether it is to be handed to the disk now: behind one that failed it waits.
  const Pending& add(DiskRecord record, std::int64_t lastLogIndex, std::int64_t lastLogTerm);
  PersistTicket newestTicket() const { return lastTicket_; }
  // Keeps a message until `ticket` is on the disk. False: it is there already, the message may go.
  bool hold(PersistTicket ticket, HeldMessage message);
  // The disk has taken a record. Nothing: an unknown ticket.
  std::optional<Pending> completed(PersistTicket ticket);
  // Messages whose records are all on the disk.
  std::vector<HeldMessage> releasedMessages();
  void failed(PersistTicket ticket, TimePoint retryAt);
  // Whether the oldest record failed, its time has come, and nothing is with the disk.
  bool retryDue(TimePoint now) const;
  // Hands the oldest record to the disk once more.
  const Pending& retryOldest();
  // Puts one full record in the place of all that wait, under the oldest one's sequence and the newest one's ticket:
  // what came while the disk refused to write is made durable by a single write.
  const Pending& replaceAll(DiskRecord full, std::int64_t lastLogIndex, std::int64_t lastLogTerm);
  // Adds `step` to the age of all records under way.
  void age(Duration step);
  bool oldestFailed() const { return !pending_.empty() && pending_.front().failed; }
  Duration oldestWait() const { return pending_.empty() ? Duration(0) : pending_.front().waited; }
  const std::deque<Pending>& pending() const { return pending_; }
  const std::vector<std::pair<PersistTicket, HeldMessage>>& held() const { return held_; }

 private:
  std::int64_t lastSequence_ = 0;
  PersistTicket lastTicket_ = 0;
  std::deque<Pending> pending_;
  std::vector<std::pair<PersistTicket, HeldMessage>> held_;
};
}  // namespace zinccleat::consensus
