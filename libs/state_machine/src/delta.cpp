#include "state_machine/delta.hpp"

#include "transport/avro.hpp"

namespace zinccleat::state_machine {
namespace {
constexpr std::size_t kMaxResultBytes = 64U << 20;  // no configuration is larger
constexpr int kMaxSplitDepth = 2;                   // nesting depth: the outer object and its lists

/// The parts of a text, indexed by content.
class PartIndex {
 public:
  explicit PartIndex(std::string_view text) : text_(text), ends_(partEnds(text)) {
    firstByHash_.reserve(ends_.size());
    for (std::size_t i = 0; i < ends_.size(); ++i)
      firstByHash_.try_emplace(hash64(part(i)), i);
  }
  std::size_t size() const { return ends_.size(); }
  std::size_t offset(std::size_t index) const { return index ? ends_[index - 1] : 0; }
  std::string_view part(std::size_t index) const { return text_.substr(offset(index), ends_[index] - offset(index)); }
  bool matches(std::size_t index, std::string_view content) const { return index < size() && part(index) == content; }
  /// The index of the first part with this content; `size()` if there is none.
  std::size_t find(std::string_view content) const {
    const auto found = firstByHash_.find(hash64(content));
    return found != firstByHash_.end() && part(found->second) == content ? found->second : size();
  }

 private:
  std::string_view text_;
  std::vector<std::size_t> ends_;
  std::unordered_map<std::uint64_t, std::size_t> firstByHash_;
};

/// Builds a delta's segments part by part.
class SegmentBuilder {
 public:
  explicit SegmentBuilder(const PartIndex& base) : base_(base), nextPart_(base.size()) { segments_.emplace_back(); }

  void append(std::string_view part) {
    auto& last = segments_.back();
    // The part after the last copied one takes precedence over the first equal part: equal parts (commas, brackets)
    // occur in many positions, and only the next one extends the current copied range.
    const bool continuesRange = base_.matches(nextPart_, part);
    if (continuesRange && last.literal.empty()) {
      last.copyLength += static_cast<std::int64_t>(part.size());
      ++nextPart_;
      return;
    }
    const auto source = continuesRange ? nextPart_ : base_.find(part);
    if (source == base_.size())
      appendLiteral(part);
    else
      startSegment(source, part);
  }
  std::vector<DeltaSegment> take() { return std::move(segments_); }

 private:
  void appendLiteral(std::string_view part) {
    segments_.back().literal += part;
    // A literal usually replaces one part of the base, so the next copied part is expected after that part.
    if (nextPart_ < base_.size())
      ++nextPart_;
  }
  void startSegment(std::size_t source, std::string_view part) {
    if (segments_.back().copyLength > 0 || !segments_.back().literal.empty())
      segments_.emplace_back();
    segments_.back().copyOffset = static_cast<std::int64_t>(base_.offset(source));
    segments_.back().copyLength = static_cast<std::int64_t>(part.size());
    nextPart_ = source + 1;
  }

  const PartIndex& base_;
  std::vector<DeltaSegment> segments_;
  std::size_t nextPart_;  // index of the base's part that is expected next; `base_.size()`: none
};

/// Whether the copied range lies within a base of this size. The comparison cannot overflow.
bool inBounds(const DeltaSegment& segment, std::int64_t baseSize) {
  return segment.copyOffset >= 0 && segment.copyLength >= 0 && segment.copyOffset <= baseSize &&
         segment.copyLength <= baseSize - segment.copyOffset;
}

Result<std::string> rebuild(const Delta& delta, std::string_view base, std::string_view baseDigest) {
  if (delta.baseDigest != baseDigest)
    return makeError(ErrorCode::corruption, "the delta is for another base");
  std::string result;
  for (const auto& segment : delta.segments) {
    if (!inBounds(segment, static_cast<std::int64_t>(base.size())))
      return makeError(ErrorCode::corruption, "the delta copies from outside its base");
    const auto length = static_cast<std::size_t>(segment.copyLength);
    if (result.size() + length + segment.literal.size() > kMaxResultBytes)
      return makeError(ErrorCode::corruption, "the result of the delta is too large");
    result.append(base.substr(static_cast<std::size_t>(segment.copyOffset), length));
    result += segment.literal;
  }
  if (digestOf(result) != delta.resultDigest)
    return makeError(ErrorCode::corruption, "the result of the delta does not match its digest");
  return result;
}

/// Scans a JSON text for the ends of its parts. The syntax is not validated: brackets need not match.
class PartScanner {
 public:
  explicit PartScanner(std::string_view text) : text_(text) {}

  std::vector<std::size_t> scan() {
    for (std::size_t i = 0; i < text_.size(); ++i) {
      if (!quoted_)
        visit(i);
      else if (text_[i] == '\\')
        ++i;  // skips the escaped character
      else if (text_[i] == '"')
        quoted_ = false;
    }
    ends_.push_back(text_.size());
    ends_.erase(std::unique(ends_.begin(), ends_.end()), ends_.end());
    return std::move(ends_);
  }

 private:
  void visit(std::size_t position) {
    switch (text_[position]) {
      case '"':
        quoted_ = true;
        break;
      case '{':
      case '[':
        // The part ends after the bracket, so that the first element becomes a separate part.
        if (++depth_ <= kMaxSplitDepth)
          ends_.push_back(position + 1);
        break;
      case '}':
      case ']':
        if (depth_-- <= kMaxSplitDepth && position > 0)
          ends_.push_back(position);
        break;
      case ',':
        if (depth_ <= kMaxSplitDepth)
          ends_.push_back(position + 1);
        break;
      default:
        break;
    }
  }

  std::string_view text_;
  std::vector<std::size_t> ends_;
  int depth_ = 0;
  bool quoted_ = false;
};
}  // namespace

std::vector<std::size_t> partEnds(std::string_view text) {
  return PartScanner(text).scan();
}

std::string computeDelta(std::string_view base, std::string_view baseDigest, std::string_view text,
                         std::string_view textDigest) {
  const PartIndex index(base);
  SegmentBuilder builder(index);
  std::size_t start = 0;
  for (const auto end : partEnds(text)) {
    if (end > start)
      builder.append(text.substr(start, end - start));
    start = end;
  }
  return avro::encode(Delta{std::string(baseDigest), std::string(textDigest), builder.take()});
}

Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta) {
  const auto decoded = avro::decode<Delta>(delta);
  if (!decoded)
    return tl::unexpected(decoded.error());
  return rebuild(*decoded, base, baseDigest);
}
Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta,
                               std::string_view expectedDigest) {
  const auto decoded = avro::decode<Delta>(delta);
  if (!decoded)
    return tl::unexpected(decoded.error());
  if (decoded->resultDigest != expectedDigest)
    return makeError(ErrorCode::corruption, "the delta results in another text than expected");
  return rebuild(*decoded, base, baseDigest);
}
}  // namespace zinccleat::state_machine
