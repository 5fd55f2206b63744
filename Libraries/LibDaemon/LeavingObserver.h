#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace latchslip {

// Called when a backend server announces, in a response or a permit message, that its
// incarnation aIncarnation is shutting down.
using LeavingObserver = std::function<void(const std::string& aServer, std::uint64_t aIncarnation)>;

} // namespace latchslip
