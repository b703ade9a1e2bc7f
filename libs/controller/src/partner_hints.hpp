/// @file
/// Exchanges prefix hints with the partner site: which long prompt prefixes are cached where (docs/notes-hints.md).
///
/// The leader alone sends and takes hints, since it alone hears of what all access machines send. The hint table is
/// changed here only, on the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "hints/hints.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
/// The exchange of hints with the one partner site; see the file's comment.
class PartnerHints {
 public:
  /// @param context must outlive this.
  explicit PartnerHints(const ControllerContext& context) : context_(context) {}
  /// Starts to send hints every two seconds; does nothing without a partner site in the settings.
  /// @return an error if the settings' secret is none.
  Result<void> start();
  /// Takes in hints that the partner has sent in a call. @return our own hints, sealed; or
  /// `notFound`: no partner site; `unavailable`: not the leader; `permissionDenied`: the seal does not fit.
  Result<std::string> exchange(std::string_view body, std::string_view seal);
  /// Answers an access machine: the partner's addresses if it has the prefix cached and this site has not.
  transport::PrefixLookupResponse onPrefixLookupRequest(TimePoint now, const transport::PrefixLookupRequest& request);
  /// Null: no partner site.
  const hints::HintTable* table() const { return table_ ? &*table_ : nullptr; }

 private:
  /// Checks the seal and adds the hints to the table.
  Result<void> accept(std::string_view body, std::string_view seal);
  /// Our hints as they go to the partner.
  std::string encodedHints();
  std::string sealed(const std::string& body) const;
  void sendInBackground();
  /// Sends to the first of the partner's controllers that answers, and takes in its answer.
  void send();
  void onResponse(const std::string& from, const std::string& response);

  const ControllerContext& context_;
  std::optional<hints::HintKey> key_;
  std::optional<hints::HintTable> table_;
  bool sending_ = false;
};
}  // namespace zinccleat::controller
