#pragma once

#include <memory>

#include "simulation/simulated_daemon.h"

namespace moorfold {

/// Carries messages between hollow daemons over real UDP and TCP sockets on loopback, with the
/// shipped frames and codec. The world's clock must run with the clock on the wall.
std::unique_ptr<SimulatedNetwork> MakeSocketNetwork(World& world);

}  // namespace moorfold
