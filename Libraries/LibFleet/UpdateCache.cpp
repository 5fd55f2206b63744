#include "LibFleet/UpdateCache.h"

#include <utility>

namespace latchslip {

namespace {

// The time between two fetches of one instance, so that a burst of fetches shares one answer.
constexpr Duration kLifetime = milliseconds(500);

} // namespace

std::shared_ptr<const std::string>
UpdateCache::Find(Instant aNow, const UpdateKey& aKey) const
{
  const bool isCurrent = answer_ != nullptr && key_ == aKey && aNow - madeAt_ < kLifetime;
  return isCurrent ? answer_ : nullptr;
}

void
UpdateCache::Put(Instant aNow, const UpdateKey& aKey, std::shared_ptr<const std::string> aAnswer)
{
  key_ = aKey;
  answer_ = std::move(aAnswer);
  madeAt_ = aNow;
}

} // namespace latchslip
