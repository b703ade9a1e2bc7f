#include "controller_context.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::size_t kViewSize = 12;  // number of machines
}

std::string viewNameOfController(const std::string& address) {
  return address + "/core";
}
ControllerContext::ControllerContext(config::Settings initialSettings)
    : settings(std::move(initialSettings)),
      zones(settings.ip, settings.zone),
      view(viewNameOfController(settings.ip), kViewSize, randomSeed()),
      acceptedLinks(transport::AcceptedLinkLimits::of(settings.memoryMb, settings.fdLimit)) {}
}  // namespace zinccleat::controller
