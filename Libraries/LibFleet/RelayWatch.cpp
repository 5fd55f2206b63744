#include "LibFleet/RelayWatch.h"

namespace latchslip {

namespace {

// The longest time without an answer before the store is asked again. With the
// time that a placer takes to notice an outage it lies within the two seconds
// after which a leaving server must get no new work.
constexpr Duration kAnswerBound = milliseconds(1500);

} // namespace

void
RelayWatch::OnAnswer(Instant aNow, const TableVersions& aVersions)
{
  isAnswered_ = true;
  answeredAt_ = aNow;
  versions_ = aVersions;
}

void
RelayWatch::OnFailure()
{
  isAnswered_ = false;
}

bool
RelayWatch::IsRelayed(Instant aNow, const TableVersions& aKnown) const
{
  return isAnswered_ && aNow - answeredAt_ < kAnswerBound && !IsBehind(aKnown);
}

bool
RelayWatch::IsBehind(const TableVersions& aKnown) const
{
  for (std::size_t index = 0; index < kFleetTables; ++index) {
    if (aKnown.at(index) < versions_.at(index)) {
      return true;
    }
  }
  return false;
}

} // namespace latchslip
