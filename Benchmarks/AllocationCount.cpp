#include "AllocationCount.h"

#include <cstdlib>
#include <new>

namespace {

latchslip::AllocationCount sCount;

} // namespace

void*
operator new(std::size_t aSize)
{
  ++sCount.count_;
  sCount.bytes_ += aSize;
  if (void* memory = std::malloc(aSize == 0 ? 1 : aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace latchslip {

AllocationCount
Allocations()
{
  return sCount;
}

} // namespace latchslip
