// Disk records: what a file of the data folder may hold after anything.
#include "fuzz_target.hpp"
#include "storage/storage.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::storage;
using namespace zinccleat::transport;
constexpr std::size_t kDigestLength = 32;
// How long the mark before a record's checksum is: an encoded empty record holds mark, checksum, body.
std::size_t markLength() {
  const auto record = encodeRecord(DiskRecord{});
  for (std::size_t at = 1; at + kDigestLength < record.size(); ++at)
    if (digestOf(std::string_view(record).substr(at + kDigestLength)) == record.substr(at, kDigestLength))
      return at;
  std::abort();
}
// The first byte says whether the checksum is made to fit, so that what lies behind it is tried as well.
void decodeAnyRecord(std::string_view input) {
  if (input.empty())
    return;
  const bool mend = input.front() & 1;
  std::string bytes(input.substr(1));
  static const auto kMark = markLength();
  if (mend && bytes.size() > kMark + kDigestLength)
    bytes.replace(kMark, kDigestLength, digestOf(std::string_view(bytes).substr(kMark + kDigestLength)));
  const auto record = decodeRecord(bytes);
  if (!record)
    return;
  const auto again = decodeRecord(encodeRecord(*record));
  fuzz::require(again.has_value());
  fuzz::require(encodeRecord(*again) == encodeRecord(*record));
}
std::vector<std::string> recordExamples() {
  DiskRecord whole;
  whole.seq = 1, whole.term = 3, whole.self = "10.0.0.1#0", whole.votedFor = "10.0.0.2#0", whole.full = true;
  whole.snapshotConfig = "config", whole.state = "state";
  DiskRecord part;
  part.seq = 2, part.term = 3, part.self = whole.self, part.fromIndex = 5;
  LogEntry entry;
  entry.index = 5, entry.operationId = "operation", entry.body = "blob";
  part.entries = {entry};
  std::vector<std::string> examples;
  for (auto& record : {whole, part})
    for (const char mend : {'\0', '\1'})
      examples.push_back(mend + encodeRecord(record));
  return examples;
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(records, decodeAnyRecord, recordExamples)
