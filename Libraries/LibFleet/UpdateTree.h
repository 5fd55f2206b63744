#pragma once

#include "LibBase/Result.h"
#include "LibFleet/DutyCapacity.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// An instance of the fleet as other instances see it.
struct FleetPeer
{
  // Peer address, IP address and port.
  std::string address_;
  // Data hall.
  std::string hall_;
  // Number of processors available to it, possibly a fraction; 0 if not stated.
  double processorShare_ = 0;
  // Rate of its network link in Mbit/s; 0 if not stated.
  double linkMbps_ = 0;

  // As latchslip::DutyCapacity, in processors.
  double DutyCapacity() const { return latchslip::DutyCapacity(processorShare_, linkMbps_); }
  bool operator==(const FleetPeer&) const = default;
};

// Orders instances by descending duty capacity, then by address, so that the order is the same on
// all instances.
bool
StrongerFirst(const FleetPeer& aLeft, const FleetPeer& aRight);

// One message of an update tree: its receiver and the instances that the receiver forwards it to.
struct UpdateBranch
{
  std::string to_;
  // Addresses; the first ones forward the message in turn.
  std::vector<std::string> forwardTo_;

  bool operator==(const UpdateBranch&) const = default;
};

// Plans the distribution of an update from aSelf to aReceivers. Few receivers get it directly. In a
// larger fleet one message is sent to each other hall and is forwarded within it, so that the
// number of messages one instance sends, and the number that cross halls, do not grow with the
// fleet. It does no I/O.
std::vector<UpdateBranch>
PlanUpdateTree(std::vector<FleetPeer> aReceivers, const FleetPeer& aSelf);

// Plans how a receiver of an update forwards it. A sender whose message is not accepted by a
// receiver sends it to the addresses in that receiver's branch itself.
std::vector<UpdateBranch>
SplitForwarding(const std::vector<std::string>& aForwardTo);

// An update in transit; the receiver can forward it without decoding it.
struct UpdateMessage
{
  std::vector<std::string> forwardTo_;
  std::string update_;
};

std::string
EncodeUpdateMessage(const std::vector<std::string>& aForwardTo, std::string_view aUpdate);
FieldResult<UpdateMessage>
DecodeUpdateMessage(std::string_view aText);

} // namespace latchslip
