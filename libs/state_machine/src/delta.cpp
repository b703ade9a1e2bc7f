#include "state_machine/delta.hpp"

#include "transport/avro.hpp"

namespace zinccleat::state_machine {
namespace {
constexpr std::size_t kMostText = 64U << 20;  // a result beyond this is no configuration
}
std::vector<std::size_t> partsOf(std::string_view s) {
  std::vector<std::size_t> ends;
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < s.size(); ++i) {
    const char c = s[i];
    if (quoted) {
      if (c == '\\')
        ++i;
      else if (c == '"')
        quoted = false;
      continue;
    }
    if (c == '"')
      quoted = true;
    else if (c == '{' || c == '[') {
      // An opened list ends a part, so that its first element is one of its own.
      if (++depth <= 2)
        ends.push_back(i + 1);
    } else if (c == '}' || c == ']') {
      if (depth-- <= 2 && i > 0)
        ends.push_back(i);
    } else if (c == ',' && depth <= 2) {
      ends.push_back(i + 1);
    }
  }
  ends.push_back(s.size());
  ends.erase(std::unique(ends.begin(), ends.end()), ends.end());
  return ends;
}
std::string deltaOf(std::string_view base, std::string_view baseDigest, std::string_view text,
                    std::string_view digest) {
  std::unordered_map<std::uint64_t, std::size_t> at;  // a part's hash -> its index in the base
  const auto ends = partsOf(base);
  auto part = [&](std::size_t i) {
    const auto from = i ? ends[i - 1] : 0;
    return base.substr(from, ends[i] - from);
  };
  at.reserve(ends.size());
  for (std::size_t i = 0; i < ends.size(); ++i)
    at.try_emplace(hash64(part(i)), i);
  Delta d;
  d.base = baseDigest;
  d.result = digest;
  d.runs.emplace_back();
  std::size_t from = 0;
  std::size_t next = ends.size();  // next: the part after the run under way
  for (const auto end : partsOf(text)) {
    const auto p = text.substr(from, end - from);
    from = end;
    if (p.empty())
      continue;
    auto& run = d.runs.back();
    // Why the neighbour first: equal parts (commas, brackets) stand in many places, a run goes on in one.
    if (next < ends.size() && run.text.empty() && part(next) == p) {
      run.length += static_cast<std::int64_t>(p.size());
      ++next;
      continue;
    }
    std::size_t i = next < ends.size() && part(next) == p ? next : ends.size();
    if (i == ends.size())
      if (const auto it = at.find(hash64(p)); it != at.end() && part(it->second) == p)
        i = it->second;
    if (i == ends.size()) {
      run.text += p;
      // What replaced a part stands in its place: the run may go on behind it.
      if (next < ends.size())
        ++next;
      continue;
    }
    if (run.length > 0 || !run.text.empty())
      d.runs.emplace_back();
    d.runs.back().from = static_cast<std::int64_t>(i ? ends[i - 1] : 0);
    d.runs.back().length = static_cast<std::int64_t>(p.size());
    next = i + 1;
  }
  return avro::encode(std::move(d));
}
namespace {
Result<std::string> resultOf(const Delta& delta, std::string_view base, std::string_view baseDigest) {
  if (delta.base != baseDigest)
    return makeError(ErrorCode::corruption, "a difference from another text");
  const auto size = static_cast<std::int64_t>(base.size());
  std::string result;
  for (auto& run : delta.runs) {
    if (run.from < 0 || run.length < 0 || run.from > size || run.length > size - run.from)
      return makeError(ErrorCode::corruption, "a difference reaches outside its base");
    if (result.size() + static_cast<std::size_t>(run.length) + run.text.size() > kMostText)
      return makeError(ErrorCode::corruption, "a difference grows beyond bounds");
    result.append(base.substr(static_cast<std::size_t>(run.from), static_cast<std::size_t>(run.length)));
    result += run.text;
  }
  if (digestOf(result) != delta.result)
    return makeError(ErrorCode::corruption, "a difference whose result is another text");
  return result;
}
}  // namespace
Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta) {
  const auto decoded = avro::decode<Delta>(delta);
  if (!decoded)
    return tl::unexpected(decoded.error());
  return resultOf(*decoded, base, baseDigest);
}
Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta,
                               std::string_view expected) {
  const auto decoded = avro::decode<Delta>(delta);
  if (!decoded)
    return tl::unexpected(decoded.error());
  if (decoded->result != expected)
    return makeError(ErrorCode::corruption, "a difference to another text than the one announced");
  return resultOf(*decoded, base, baseDigest);
}
}  // namespace zinccleat::state_machine
