#include "headers.hpp"

#include <charconv>
#include <span>

namespace zinccleat::proxy {
namespace {
constexpr std::size_t kMaxDigits = 12;
constexpr std::size_t kTypicalRequestHeaderBytes = 768;
constexpr std::size_t kTypicalResponseHeaderBytes = 512;
constexpr int kMaxPrecedence = 9;

// Hop-by-hop fields (RFC 9110, section 7.6.1) and fields that define the framing. They are not forwarded.
constexpr std::string_view kHopByHopFields[] = {"connection",
                                                "keep-alive",
                                                "proxy-connection",
                                                "proxy-authenticate",
                                                "proxy-authorization",
                                                "te",
                                                "trailer",
                                                "transfer-encoding",
                                                "upgrade",
                                                "content-length",
                                                "expect"};
// Fields that this proxy sets itself; the client's values are dropped. All unknown fields are forwarded, as the
// protocol requires.
constexpr std::string_view kProxyFields[] = {"x-partner-site", "x-subscriber", "x-expected-instance", "x-deadline-ms",
                                             "x-precedence"};

template <class Text>
std::string_view viewOf(const Text& text) {
  return {text.data(), text.size()};
}
char toLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}
bool isBlank(char letter) {
  return letter == ' ' || letter == '\t';
}
std::string_view trim(std::string_view text) {
  while (!text.empty() && isBlank(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && isBlank(text.back()))
    text.remove_suffix(1);
  return text;
}
bool contains(std::span<const std::string_view> names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [&](auto listed) { return equalsIgnoreCase(listed, name); });
}
bool commaListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    if (equalsIgnoreCase(trim(list.substr(0, comma)), name))
      return true;
    list.remove_prefix(std::min(list.size(), comma + 1));
  }
  return false;
}
// Whether the `Connection` field lists this name, which makes the named field hop-by-hop as well.
bool isNamedByConnection(const http::fields& fields, std::string_view name) {
  const auto [begin, end] = fields.equal_range(http::field::connection);
  return std::any_of(begin, end, [&](const auto& entry) { return commaListContains(viewOf(entry.value()), name); });
}
void appendField(std::string& header, std::string_view name, std::string_view value) {
  header += name;
  header += ": ";
  header += value;
  header += "\r\n";
}
bool isReplaced(std::string_view name, const ForwardingOptions& options) {
  if (contains(kProxyFields, name))
    return true;
  if (options.removeAuthorization && equalsIgnoreCase(name, "authorization"))
    return true;
  return !options.lastEventId.empty() && equalsIgnoreCase(name, "last-event-id");
}
// Appends all fields that are neither hop-by-hop nor dropped by `isDropped`.
template <class IsDropped>
void appendEndToEndFields(std::string& header, const http::fields& fields, IsDropped isDropped) {
  const bool hasConnection = fields.count(http::field::connection) > 0;
  for (const auto& entry : fields) {
    const auto name = viewOf(entry.name_string());
    if (contains(kHopByHopFields, name) || isDropped(name))
      continue;
    if (hasConnection && isNamedByConnection(fields, name))
      continue;
    appendField(header, name, viewOf(entry.value()));
  }
}
void appendProxyFields(std::string& header, const ForwardingOptions& options) {
  if (options.toPartner)
    appendField(header, kPartnerSiteHeader, "1");
  else
    appendField(header, "X-Expected-Instance", options.expectedInstance);
  appendField(header, "X-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, options.timeLeft.count())));
  if (!options.subscriber.empty())
    appendField(header, "X-Subscriber", options.subscriber);
  if (!options.lastEventId.empty())
    appendField(header, "Last-Event-Id", options.lastEventId);
  if (options.precedence >= 0)
    appendField(header, "X-Precedence", std::to_string(std::min(kMaxPrecedence, options.precedence)));
}
bool needsContentLength(http::verb method, std::size_t bodyBytes) {
  return bodyBytes > 0 || (method != http::verb::get && method != http::verb::head && method != http::verb::delete_);
}
}  // namespace

bool equalsIgnoreCase(std::string_view text, std::string_view other) {
  return std::equal(text.begin(), text.end(), other.begin(), other.end(),
                    [](char left, char right) { return toLower(left) == toLower(right); });
}

std::int64_t parseNumber(std::string_view text, std::int64_t fallback) {
  if (text.empty() || text.size() > kMaxDigits)
    return fallback;
  std::uint64_t number = 0;  // unsigned, so that a minus sign is rejected
  const auto* const textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, number);
  return error == std::errc{} && end == textEnd ? static_cast<std::int64_t>(number) : fallback;
}

std::string_view headerValue(const http::fields& fields, std::string_view name) {
  const auto it = fields.find({name.data(), name.size()});
  return it == fields.end() ? std::string_view{} : viewOf(it->value());
}

std::string forwardedRequestHeader(const http::request_header<>& request, const ForwardingOptions& options,
                                   std::size_t bodyBytes) {
  std::string header;
  header.reserve(kTypicalRequestHeaderBytes);
  header += viewOf(request.method_string());
  header += ' ';
  header += viewOf(request.target());
  header += " HTTP/1.1\r\n";
  appendEndToEndFields(header, request, [&](std::string_view name) { return isReplaced(name, options); });
  appendProxyFields(header, options);
  if (needsContentLength(request.method(), bodyBytes))
    appendField(header, "Content-Length", std::to_string(bodyBytes));
  header += "\r\n";
  return header;
}

std::string forwardedResponseHeader(const http::response_header<>& response) {
  std::string header;
  header.reserve(kTypicalResponseHeaderBytes);
  header += "HTTP/1.1 " + std::to_string(response.result_int()) + " ";
  header += viewOf(response.reason());
  header += "\r\n";
  appendEndToEndFields(header, response,
                       [](std::string_view name) { return equalsIgnoreCase(name, "x-instance-load"); });
  return header;
}
}  // namespace zinccleat::proxy
