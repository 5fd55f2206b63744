#include "LibStandIn/TableState.h"

namespace latchslip {

StoreReply
TableState::Apply(const Transaction& aTransaction)
{
  ++writes_;
  StoreReply reply;
  for (const auto& condition : aTransaction.conditions_) {
    const auto found = rows_.find(condition.key_);
    const RowVersion version = found == rows_.end() ? 0 : found->second.version_;
    if (version != condition.version_) {
      reply.rows_.push_back(found == rows_.end() ? Row{ condition.key_, 0, "" } : found->second);
    }
  }
  if (!reply.rows_.empty()) {
    reply.status_ = StoreStatus::Conflict;
    return reply;
  }
  for (const auto& write : aTransaction.writes_) {
    auto& row = rows_[write.key_];
    row.key_ = write.key_;
    ++row.version_;
    row.value_ = write.value_;
    reply.rows_.push_back({ row.key_, row.version_, "" });
  }
  reply.status_ = StoreStatus::Done;
  return reply;
}

StoreReply
TableState::Read(const std::vector<RowStamp>& aStamps) const
{
  ++reads_;
  StoreReply reply;
  reply.status_ = StoreStatus::Done;
  for (const auto& stamp : aStamps) {
    const auto found = rows_.find(stamp.key_);
    if (found != rows_.end() && found->second.version_ > stamp.version_) {
      reply.rows_.push_back(found->second);
    }
  }
  return reply;
}

} // namespace latchslip
