// Fuzzes the decoder of disk records with arbitrary file contents.
#include "fuzz_target.hpp"
#include "storage/storage.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::storage;
using namespace zinccleat::transport;
constexpr std::size_t kDigestLength = 32;
/// Returns the length of the magic number of a record. An encoded record consists of the magic number, a checksum and
/// the bytes that the checksum covers; the length is found by searching for a valid checksum in an encoded empty
/// record.
std::size_t magicLength() {
  const auto record = encodeRecord(DiskRecord{});
  for (std::size_t length = 1; length + kDigestLength < record.size(); ++length)
    if (digestOf(std::string_view(record).substr(length + kDigestLength)) == record.substr(length, kDigestLength))
      return length;
  std::abort();
}
/// Decodes any bytes. The first byte of the input selects whether the checksum is corrected, so that the fuzzer also
/// reaches the code that runs after the checksum was verified.
void decodeAnyRecord(std::string_view input) {
  if (input.empty())
    return;
  const bool fixChecksum = input.front() & 1;
  std::string bytes(input.substr(1));
  static const auto kMagicLength = magicLength();
  if (fixChecksum && bytes.size() > kMagicLength + kDigestLength)
    bytes.replace(kMagicLength, kDigestLength, digestOf(std::string_view(bytes).substr(kMagicLength + kDigestLength)));
  const auto record = decodeRecord(bytes);
  if (!record)
    return;
  const auto again = decodeRecord(encodeRecord(*record));
  fuzz::require(again.has_value());
  fuzz::require(encodeRecord(*again) == encodeRecord(*record));
}
std::vector<std::string> recordExamples() {
  DiskRecord full;
  full.seq = 1, full.term = 3, full.self = "10.0.0.1#0", full.votedFor = "10.0.0.2#0", full.full = true;
  full.snapshotConfig = "config", full.state = "state";
  DiskRecord increment;
  increment.seq = 2, increment.term = 3, increment.self = full.self, increment.fromIndex = 5;
  LogEntry entry;
  entry.index = 5, entry.operationId = "operation", entry.body = "blob";
  increment.entries = {entry};
  std::vector<std::string> examples;
  for (auto& record : {full, increment})
    for (const char fixChecksum : {'\0', '\1'})
      examples.push_back(fixChecksum + encodeRecord(record));
  return examples;
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(records, decodeAnyRecord, recordExamples)
