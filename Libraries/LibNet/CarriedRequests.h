#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace latchslip {

// The requests that a connection has carried and that may still be sent again. A server may send a
// response twice, and the second copy names the same request as the first. If that request is sent
// again over the same connection, the copy cannot be distinguished from the response to the repeat.
class CarriedRequests
{
public:
  // Adds a request by its id. It may be sent again until aUntil.
  void Add(Instant aNow, std::string_view aId, Instant aUntil);

  // Whether the request with that id was added and may still be sent again. May also return true
  // for another id, with negligible probability.
  bool Contains(Instant aNow, std::string_view aId) const;

  // Returns the number of requests that are remembered.
  std::size_t Size() const { return requests_.size(); }

private:
  struct CarriedRequest
  {
    std::size_t hash_;
    Instant until_;
  };

  std::vector<CarriedRequest> requests_;
};

} // namespace latchslip
