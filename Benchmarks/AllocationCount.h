#pragma once

#include <cstdint>

namespace latchslip {

// Heap allocations of this process so far and their bytes, counted in operator new. Benchmarks
// report differences.
struct AllocationCount
{
  std::uint64_t count_ = 0;
  std::uint64_t bytes_ = 0;
};

AllocationCount
Allocations();

} // namespace latchslip
