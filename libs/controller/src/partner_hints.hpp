/// @file
/// Exchanges prefix hints with the partner site. A hint tells which site has cached a long prompt prefix
/// (docs/notes-hints.md).
///
/// Only the leader sends and accepts hints, because only the leader learns what all access machines send. The hint
/// table is changed only here, on the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "hints/hints.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
/// Exchanges hints with the single partner site; see the file comment.
class PartnerHints {
 public:
  /// @param context must outlive this object.
  explicit PartnerHints(const ControllerContext& context) : context_(context) {}
  /// Starts to send hints every two seconds; does nothing if the settings name no partner site.
  /// @return an error if the secret in the settings is invalid.
  Result<void> start();
  /// Stores hints that the partner site has sent in a call.
  /// @return the sealed hints of this site, or an error: `notFound`: no partner site; `unavailable`: this controller is
  /// not the leader; `permissionDenied`: the seal is invalid.
  Result<std::string> exchange(std::string_view body, std::string_view seal);
  /// Answers a prefix lookup of an access machine with the addresses of the partner site if only the partner has cached
  /// the prefix.
  transport::PrefixLookupResponse onPrefixLookupRequest(TimePoint now, const transport::PrefixLookupRequest& request);
  /// Returns the hint table; null: no partner site.
  const hints::HintTable* table() const { return table_ ? &*table_ : nullptr; }

 private:
  /// Checks the seal and adds the hints to the table.
  Result<void> accept(std::string_view body, std::string_view seal);
  /// Returns the hints of this site, encoded for the partner.
  std::string encodedHints();
  std::string sealed(const std::string& body) const;
  void sendInBackground();
  /// Sends the hints to the first of the partner's controllers that answers, and stores the hints in its answer.
  void send();
  void onResponse(const std::string& from, const std::string& response);

  const ControllerContext& context_;
  std::optional<hints::HintKey> key_;
  std::optional<hints::HintTable> table_;
  bool sending_ = false;
};
}  // namespace zinccleat::controller
