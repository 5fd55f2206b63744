#pragma once

#include "LibBase/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// An instance of the fleet, as the others know it.
struct FleetPeer
{
  // Where the others reach it, IP number and port.
  std::string address_;
  // Its data hall.
  std::string hall_;
  // What part of a processor it has; 0 when it is not told.
  double processorShare_ = 0;

  bool operator==(const FleetPeer&) const = default;
};

// The order in which instances pass news on: the strong first, and the same on all.
bool
StrongerFirst(const FleetPeer& aLeft, const FleetPeer& aRight);

// One message of news: to whom it goes, and to whom that one passes it on.
struct NewsBranch
{
  std::string to_;
  // Addresses, those that pass it on themselves first.
  std::vector<std::string> onward_;

  bool operator==(const NewsBranch&) const = default;
};

// How news reach all of these but aSelf: few receivers get them at once. In a larger
// fleet one message goes to each other hall, and on from there within it, so that what
// one instance sends, and what crosses halls, does not grow with the fleet. It does no
// I/O.
std::vector<NewsBranch>
PlanNewsTree(std::vector<FleetPeer> aReceivers, const FleetPeer& aSelf);

// How one that got news passes them on. Whoever finds that a receiver does not take its
// message sends the message to those that it should have passed it on to.
std::vector<NewsBranch>
SplitOnward(const std::vector<std::string>& aOnward);

// News as one instance sends them to another, which may pass them on unread.
struct NewsMessage
{
  std::vector<std::string> onward_;
  std::string news_;
};

std::string
EncodeNewsMessage(const std::vector<std::string>& aOnward, std::string_view aNews);
FieldResult<NewsMessage>
DecodeNewsMessage(std::string_view aText);

} // namespace latchslip
