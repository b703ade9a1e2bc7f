/// @file
/// Finds out whether a zone from which nothing comes any more can be reached, by a new connection to one of its
/// runners.
#pragma once
#include "proxy/proxy_context.hpp"
namespace zinccleat::proxy {
/// Starts the probes that are due. To be called several times a second, on the event loop. A connection that a probe
/// has opened goes to the pool; if the zone turns out to be unreachable, repeatable attempts that wait for its runners
/// go on elsewhere at once.
/// @param context must outlive the probes.
void probeSilentZones(ProxyContext& context);
}  // namespace zinccleat::proxy
