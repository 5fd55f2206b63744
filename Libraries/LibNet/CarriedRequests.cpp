#include "LibNet/CarriedRequests.h"

#include <algorithm>
#include <functional>

namespace latchslip {

void
CarriedRequests::Add(Instant aNow, std::string_view aId, Instant aUntil)
{
  std::erase_if(requests_,
                [aNow](const CarriedRequest& aRequest) { return aRequest.until_ <= aNow; });
  requests_.push_back({ std::hash<std::string_view>{}(aId), aUntil });
}

bool
CarriedRequests::Contains(Instant aNow, std::string_view aId) const
{
  const auto hash = std::hash<std::string_view>{}(aId);
  return std::any_of(
    requests_.begin(), requests_.end(), [aNow, hash](const CarriedRequest& aRequest) {
      return aRequest.hash_ == hash && aNow < aRequest.until_;
    });
}

} // namespace latchslip
