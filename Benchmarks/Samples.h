#pragma once

#include "LibInstance/InstanceCore.h"
#include "LibPlacement/Placement.h"

#include <limits>
#include <string>
#include <vector>

namespace latchslip {

// Benchmark inputs of a given size.

inline Placement
MakePlacement(std::size_t aServers, std::size_t aSlicesPerServer)
{
  Placement placement;
  placement.service_ = "rates";
  placement.placer_ = "instance-1#0123abcd";
  placement.token_ = "instance-1#0123abcd/1";
  for (std::size_t index = 0; index < aServers; ++index) {
    PlacedServer server;
    server.name_ = "rates-" + std::to_string(index);
    server.hall_ = index % 2 == 0 ? "hall-a" : "hall-b";
    server.holder_ = "instance-" + std::to_string(index % 8) + "#0123abcd";
    server.fence_ = index + 1;
    placement.servers_.push_back(std::move(server));
  }
  placement.lastFence_ = aServers;
  const std::size_t total = aServers * aSlicesPerServer;
  const KeyHash width = std::numeric_limits<KeyHash>::max() / total;
  for (std::size_t index = 0; index < total; ++index) {
    placement.slices_.push_back(
      { width * index, static_cast<ServerIndex>(index % aServers), kNoServer });
  }
  return placement;
}

inline Declaration
MakeDeclaration(std::size_t aServers)
{
  Declaration declaration;
  ServiceDeclaration service;
  service.name_ = "rates";
  service.slots_ = 4;
  service.connections_ = 130;
  for (std::size_t index = 0; index < aServers; ++index) {
    service.servers_.push_back({ "rates-" + std::to_string(index),
                                 "10.0.0.1:8080",
                                 index % 2 == 0 ? "hall-a" : "hall-b",
                                 false });
  }
  declaration.services_.push_back(std::move(service));
  SharingIntent intent;
  intent.group_ = "web";
  intent.service_ = "rates";
  intent.portion_ = 1;
  intent.maxWaiting_ = 256;
  declaration.intents_.push_back(intent);
  return declaration;
}

inline std::vector<ListedInstance>
MakeInstanceList(std::size_t aCount)
{
  std::vector<ListedInstance> list;
  for (std::size_t index = 0; index < aCount; ++index) {
    list.push_back({ "instance-" + std::to_string(index),
                     "10.0.0.2:7000",
                     index % 2 == 0 ? "hall-a" : "hall-b",
                     false });
  }
  return list;
}

} // namespace latchslip
