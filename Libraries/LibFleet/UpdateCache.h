#pragma once

#include "LibBase/Time.h"
#include "LibFleet/FleetStore.h"
#include "LibFleet/FleetUpdate.h"

#include <memory>
#include <string>

namespace latchslip {

// What determines the tables in the answer to a fetch.
struct UpdateKey
{
  // The versions that the caller has.
  TableVersions callerVersions_{};
  // The versions that this instance has.
  TableVersions ownVersions_{};
  StoreReachability reachability_ = StoreReachability::NotPolling;

  bool operator==(const UpdateKey&) const = default;
};

// Keeps the last large answer to a fetch in its serialized form. Instances that start together, or
// lose the placer together, fetch the same tables at the same time.
class UpdateCache
{
public:
  // The answer for that key; null if it is not the last one, or was made too long ago.
  std::shared_ptr<const std::string> Find(Instant aNow, const UpdateKey& aKey) const;
  void Put(Instant aNow, const UpdateKey& aKey, std::shared_ptr<const std::string> aAnswer);

private:
  UpdateKey key_;
  std::shared_ptr<const std::string> answer_;
  Instant madeAt_ = Instant::min();
};

} // namespace latchslip
