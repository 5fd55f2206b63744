#pragma once

#include <cstdint>

namespace latchslip {

// Allocations and their bytes in this process so far; benchmarks take differences.
struct AllocationCount
{
  std::uint64_t count_ = 0;
  std::uint64_t bytes_ = 0;
};

AllocationCount
Allocations();

} // namespace latchslip
