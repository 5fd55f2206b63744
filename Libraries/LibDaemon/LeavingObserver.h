#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace latchslip {

// Told when that life of a server is heard to say that it is about to end.
using LeavingObserver = std::function<void(const std::string& aServer, std::uint64_t aIncarnation)>;

} // namespace latchslip
