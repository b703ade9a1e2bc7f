// Fuzzes the HTTP code of the proxy with any bytes that clients and runners may send: parsing of headers and bodies in
// reads of any length, forwarding of headers, and scanning of event streams.
#include "event_scanner.hpp"
#include "fuzz_target.hpp"
#include "headers.hpp"
#include "proxy/http.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::proxy;
constexpr std::uint32_t kHeaderLimit = 2048;
constexpr std::size_t kBodyLimit = 4096;

// A peer that sends the input in reads of a fixed length.
class InputStream {
 public:
  InputStream(std::string_view input, std::size_t readLength) : rest_(input), readLength_(readLength) {}
  std::size_t read(boost::asio::mutable_buffer buffer, boost::system::error_code& error) {
    if (rest_.empty()) {
      error = boost::asio::error::eof;
      return 0;
    }
    const auto part = rest_.substr(0, std::min(readLength_, buffer.size()));
    rest_.remove_prefix(part.size());
    std::copy(part.begin(), part.end(), static_cast<char*>(buffer.data()));
    return part.size();
  }

 private:
  std::string_view rest_;
  std::size_t readLength_;
};
// What a message may hold beside its body: the buffer, which doubles as it grows, and the fields of a header and a
// trailer section.
constexpr std::size_t kMaxOccupied =
    4 * (kHeaderLimit + kReadBytes) + std::size_t{2} * kHeaderLimit * (1 + kBytesPerHeaderField);

// Parses a message from the stream. Returns true if the complete message was read.
template <class Parser>
bool parse(Parser& parser, InputStream stream) {
  parser.header_limit(kHeaderLimit);
  parser.body_limit(kBodyLimit);
  parser.eager(true);
  Buffer buffer;
  MessageFeed<Parser, InputStream> feed(stream, buffer, parser, kHeaderLimit);
  boost::system::error_code error;
  const auto isBounded = [&] {
    fuzz::require(feed.headerMemory() <= kMaxOccupied);
    return true;
  };
  feed.run(false, isBounded, error);
  return !error && parser.is_done();
}
template <class Parser>
bool parseInReads(Parser& parser, std::string_view input, std::size_t readLength) {
  return parse(parser, InputStream(input, readLength));
}
// A peer that sends the last part of the input without end: whatever state the parser is in, what it holds is bounded.
void readWithoutEnd(std::string_view input, std::size_t readLength) {
  constexpr std::size_t kRepeats = 400;
  constexpr std::size_t kMaxTail = 64;
  const auto tail = input.substr(input.size() - std::min(input.size(), kMaxTail));
  std::string endless(input);
  for (std::size_t i = 0; i < kRepeats; ++i)
    endless += tail;
  RequestParser request;
  (void)parse(request, InputStream(endless, readLength));
  http::response_parser<http::string_body> response;
  (void)parse(response, InputStream(endless, readLength));
}
std::size_t count(std::string_view text, std::string_view part) {
  std::size_t found = 0;
  for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + part.size()))
    ++found;
  return found;
}
// Checks the header that the proxy forwards for a request: it contains exactly one empty line, at its end, every line
// ends with CR LF, and parsing it yields the same method, target and body, framed by Content-Length.
void checkForwardedHeader(const RequestParser::value_type& request) {
  ForwardingOptions options;
  options.expectedInstance = "i-1";
  options.timeLeft = Duration(500);
  const auto header = forwardedRequestHeader(request, options, request.body().size());
  fuzz::require(header.size() >= 4 && header.substr(header.size() - 4) == "\r\n\r\n");
  fuzz::require(count(header, "\r\n\r\n") == 1);
  fuzz::require(count(header, "\n") == count(header, "\r\n"));
  RequestParser again;
  again.header_limit(64 * 1024);
  again.body_limit(kBodyLimit);
  const auto message = header + request.body();
  boost::system::error_code error;
  again.eager(true);
  std::string_view rest = message;
  while (!rest.empty() && !again.is_done() && !error) {
    const auto used = again.put(asio::buffer(rest), error);
    rest.remove_prefix(used);
    if (used == 0)
      break;
  }
  fuzz::require(!error && again.is_done() && rest.empty());
  fuzz::require(again.get().method_string() == request.method_string());
  fuzz::require(again.get().target() == request.target());
  fuzz::require(again.get().body() == request.body());
  fuzz::require(!again.get().chunked());
}
void readAnyRequest(std::string_view input, std::size_t readLength) {
  RequestParser parser;
  if (!parseInReads(parser, input, readLength))
    return;
  fuzz::require(parser.get().body().size() <= kBodyLimit);
  checkForwardedHeader(parser.get());
}
void readAnyResponse(std::string_view input, std::size_t readLength) {
  http::response_parser<http::string_body> parser;
  if (!parseInReads(parser, input, readLength))
    return;
  const auto header = forwardedResponseHeader(parser.get());
  fuzz::require(count(header, "\r\n\r\n") <= 1);
  fuzz::require(count(header, "\n") == count(header, "\r\n"));
}
// The bytes that the scanner returned and the bytes that it buffers must together be the input. After an empty line the
// whole input must be returned, and the last event id must not depend on how the stream was split into reads. (A
// redundant empty line may be returned with the event before or the event after it.)
void scanEvents(std::string_view input, std::size_t readLength) {
  constexpr std::string_view kEmptyLine = "\n\n";
  EventScanner scan;
  std::string out;
  for (auto rest = input; !rest.empty();) {
    const auto read = rest.substr(0, readLength);
    rest.remove_prefix(read.size());
    out += scan.feed(read);
  }
  fuzz::require(out + scan.partialEvent() == input);
  out += scan.feed(kEmptyLine);
  fuzz::require(out == std::string(input) + std::string(kEmptyLine) && scan.partialEvent().empty());
  EventScanner atOnce;
  fuzz::require(atOnce.feed(std::string(input) + std::string(kEmptyLine)) == out);
  fuzz::require(atOnce.lastEventId() == scan.lastEventId());
}
// The first byte of the input selects the length of the reads.
void fuzzRequests(std::string_view input) {
  if (input.empty())
    return;
  const auto readLength = 1 + static_cast<std::size_t>(static_cast<unsigned char>(input.front()));
  input.remove_prefix(1);
  readAnyRequest(input, readLength);
  readWithoutEnd(input, readLength);
  readAnyResponse(input, readLength);
  scanEvents(input, readLength);
}
std::vector<std::string> requestExamples() {
  const std::string longReads(1, '\xff');
  const std::string singleByteReads(1, '\0');
  return {longReads +
              "POST /p/x?q=1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Attempt-Id: a-1\r\n"
              "X-Deadline-Ms: 900\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\nContent-Length: 4\r\n\r\nbody",
          singleByteReads +
              "POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"
              "4\r\nbody\r\n3;x=y\r\nabc\r\n0\r\nTrailer: t\r\n\r\n",
          // Without an end: trailers, a trailer field, a chunk extension, and zeros in the size of a chunk.
          longReads + "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nT: t\r\nT: t\r\n",
          longReads + "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nT: " + std::string(64, 't'),
          longReads + "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(64, 'e'),
          longReads + "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(64, '0'),
          singleByteReads + "POST / HTTP/1.1\r\na:\r\na:\r\na:\r\na:\r\n", longReads + "GET / HTTP/1.0\r\n\r\n",
          longReads + "GET http://h/p HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
          longReads + "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok",
          singleByteReads +
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
              "10\r\nid: 1\ndata: x\n\n\n\r\n0\r\n\r\n",
          singleByteReads + "id: 1\ndata: x\n\nid: 22\r\ndata: y\r\n\r\n: comment\n\nid: 3\rdata"};
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(requests, fuzzRequests, requestExamples)
