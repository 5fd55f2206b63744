#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace latchslip {

// Limits the memory that several holders use together. A holder of few bytes always gets them, so
// that large ones cannot keep small ones out.
class ByteBudget
{
public:
  // What every holder gets, whatever the others hold.
  static constexpr std::size_t kAlwaysGranted = 64UL * 1024;

  explicit ByteBudget(std::size_t aLimit)
    : limit_(aLimit)
  {
  }

  std::size_t Used() const { return used_; }

  // The share of one holder, which is returned when it is destroyed.
  class Share
  {
  public:
    // A share of no budget, which must stay empty.
    Share() = default;
    explicit Share(std::shared_ptr<ByteBudget> aBudget)
      : budget_(std::move(aBudget))
    {
    }
    ~Share() { Release(); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    Share(Share&& aOther) noexcept
      : budget_(std::move(aOther.budget_))
      , bytes_(std::exchange(aOther.bytes_, 0))
    {
    }
    Share& operator=(Share&& aOther) noexcept
    {
      std::swap(budget_, aOther.budget_);
      std::swap(bytes_, aOther.bytes_);
      return *this;
    }

    // Changes the share to aBytes. Returns false, and leaves it as it was, if that would exceed the
    // budget.
    bool TryResize(std::size_t aBytes)
    {
      const auto used = budget_->used_ - bytes_ + aBytes;
      const bool isLarger = aBytes > bytes_;
      if (isLarger && aBytes > kAlwaysGranted && used > budget_->limit_) {
        return false;
      }
      budget_->used_ = used;
      bytes_ = aBytes;
      return true;
    }
    void Release()
    {
      if (bytes_ > 0) {
        TryResize(0);
      }
    }

  private:
    std::shared_ptr<ByteBudget> budget_;
    std::size_t bytes_ = 0;
  };

private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

} // namespace latchslip
