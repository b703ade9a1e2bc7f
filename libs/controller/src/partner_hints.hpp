/// Hints to and from the partner site: the leader alone tells, since it alone hears what all machines send.
#pragma once
#include "core_context.hpp"
#include "hints/hints.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
class PartnerHints {
 public:
  explicit PartnerHints(const CoreContext& core) : core_(core) {}
  /// Fails where the settings' secret is none. Without a partner site there is nothing to do.
  Result<void> start();
  /// As a call of the partner's brought them; the answer is our own news, sealed.
  Result<std::string> take(std::string_view body, std::string_view seal);
  /// The answer to an access machine that asks whether the partner holds an opening: where to go, or nothing.
  transport::PrefixLookupResponse onPrefixLookupRequest(TimePoint now, const transport::PrefixLookupRequest& requestId);
  const hints::HintTable* table() const { return table_ ? &*table_ : nullptr; }

 private:
  void tell();
  void tellOne();
  void takeAnswer(const std::string& from, const std::string& answer);
  const CoreContext& core_;
  std::optional<hints::HintKey> key_;
  std::optional<hints::HintTable> table_;  // none: no partner site
  bool telling_ = false;
};
}  // namespace zinccleat::controller
