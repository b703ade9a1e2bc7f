/// @file
/// The strata in which the answers of two revisions are compared. A stratum is a route and a load class of the runner.
/// Pure functions.
///
/// A stratum is sent and stored under a name in the field for a route's label. The name is the label for idle runners,
/// and the label with a suffix for other load classes.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::rollout {
/// The load of a runner at the start of its answer.
enum class LoadClass : std::uint8_t {
  idle,  ///< less than half of its slots were in use
  busy,  ///< at least half of its slots were in use
  full,  ///< nearly all slots were in use, so the runner is slow whatever its revision
};
/// @param load number of requests at the runner, as a fraction of its slots.
LoadClass loadClassOf(double load);
/// The name of a stratum.
std::string stratumOf(const std::string& route, LoadClass load);
/// The route of a stratum.
std::string routeOf(const std::string& stratum);
LoadClass loadClassOf(const std::string& stratum);
/// Maps the stratum of full runners to that of busy runners on the same route; returns any other stratum unchanged.
std::string mergeFullIntoBusy(const std::string& stratum);
}  // namespace zinccleat::rollout
