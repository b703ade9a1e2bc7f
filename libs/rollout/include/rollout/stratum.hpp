/// @file
/// The strata in which answers of two revisions are compared: a route, and how busy the runner was. Pure.
///
/// A stratum travels, and is stored, under a name in the place of a route's label: the label itself for idle runners,
/// and the label with a mark behind it for others.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::rollout {
/// How busy a runner was when it began to answer.
enum class LoadClass : std::uint8_t {
  idle,  ///< less than half of its slots were taken
  busy,
  full,  ///< nearly all were: it is slow whatever its revision
};
/// @param load requests at the runner, as a part of its slots.
LoadClass loadClassOf(double load);
/// The name of a stratum.
std::string stratumOf(const std::string& route, LoadClass load);
/// The route of a stratum.
std::string routeOf(const std::string& stratum);
LoadClass loadClassOf(const std::string& stratum);
/// The stratum for comparisons in which full runners count as busy ones.
std::string mergeFullIntoBusy(const std::string& stratum);
}  // namespace zinccleat::rollout
