#include "rollout/stratum.hpp"

namespace zinccleat::rollout {
namespace {
constexpr double kMinBusyLoad = 0.5;
constexpr double kMinFullLoad = 0.85;
constexpr std::string_view kBusySuffix = " (busy)";
constexpr std::string_view kFullSuffix = " (full)";

std::string_view suffixOf(LoadClass load) {
  switch (load) {
    case LoadClass::idle:
      return "";
    case LoadClass::busy:
      return kBusySuffix;
    case LoadClass::full:
      break;
  }
  return kFullSuffix;
}
}  // namespace

LoadClass loadClassOf(double load) {
  if (load < kMinBusyLoad)
    return LoadClass::idle;
  return load < kMinFullLoad ? LoadClass::busy : LoadClass::full;
}
std::string stratumOf(const std::string& route, LoadClass load) {
  return route + std::string(suffixOf(load));
}
LoadClass loadClassOf(const std::string& stratum) {
  if (stratum.ends_with(kFullSuffix))
    return LoadClass::full;
  return stratum.ends_with(kBusySuffix) ? LoadClass::busy : LoadClass::idle;
}
std::string routeOf(const std::string& stratum) {
  return stratum.substr(0, stratum.size() - suffixOf(loadClassOf(stratum)).size());
}
std::string mergeFullIntoBusy(const std::string& stratum) {
  return loadClassOf(stratum) == LoadClass::full ? stratumOf(routeOf(stratum), LoadClass::busy) : stratum;
}
}  // namespace zinccleat::rollout
