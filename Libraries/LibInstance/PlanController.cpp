#include "LibInstance/PlanController.h"

#include "LibInstance/DispatchController.h"

#include <algorithm>
#include <boost/json.hpp>

namespace latchslip {

namespace {

constexpr Duration kReadBackDelay = milliseconds(100);

} // namespace

PlanController::PlanController(InstanceContext aContext, InstallFunction aInstall)
  : context_(aContext)
  , install_(std::move(aInstall))
{
}

void
PlanController::AnswerError(OperatorId aOperator,
                            unsigned aStatus,
                            std::string_view aField,
                            std::string_view aProblem)
{
  const boost::json::object body{ { "error", { { "field", aField }, { "problem", aProblem } } } };
  context_.outbox_.AnswerOperator(aOperator, { aStatus, boost::json::serialize(body) });
}

void
PlanController::OnPlan(Instant aNow, OperatorId aOperator, const std::string& aDeclaration)
{
  static_cast<void>(aNow);
  const auto requested = ParseDeclaration(aDeclaration);
  if (!requested) {
    AnswerError(aOperator, 400, requested.error().field_, requested.error().problem_);
    return;
  }
  const auto plan =
    MakePlan(context_.view_.Revision(), context_.view_.Configuration(), requested.value());
  context_.events_.Record(Event::PlanMade,
                          "plan=" + plan.Id() + " base=" + std::to_string(plan.baseRevision_) +
                            " changes=" + std::to_string(plan.changes_.size()));
  context_.outbox_.AnswerOperator(aOperator, { 200, SerializePlan(plan) });
}

void
PlanController::OnConfirm(Instant aNow, OperatorId aOperator, const std::string& aPlan)
{
  auto plan = ParsePlan(aPlan);
  if (!plan) {
    AnswerError(aOperator, 400, plan.error().field_, plan.error().problem_);
    return;
  }
  Confirmation confirmation;
  confirmation.operator_ = aOperator;
  confirmation.plan_ = std::move(plan).value();
  confirmation.token_ = MakeWriteToken(context_.membership_.Self(), NextTag());
  confirmation.startedAt_ = aNow;
  auto& kept = confirmations_[aOperator] = std::move(confirmation);
  Send(kept);
}

void
PlanController::Send(Confirmation& aConfirmation)
{
  StoreCall call;
  const std::string key(kConfigurationKey);
  call.transaction_.conditions_.push_back({ key, aConfirmation.plan_.baseRevision_ });
  call.transaction_.writes_.push_back(
    { key, SerializeConfigurationRow(aConfirmation.token_, aConfirmation.plan_.declaration_) });
  aConfirmation.tag_ = NextTag();
  aConfirmation.isReadBack_ = false;
  context_.outbox_.CallStore(aConfirmation.tag_, call);
}

void
PlanController::ReadBack(Confirmation& aConfirmation)
{
  StoreCall call;
  call.isRead_ = true;
  call.stamps_.push_back({ std::string(kConfigurationKey), 0 });
  aConfirmation.tag_ = NextTag();
  aConfirmation.isReadBack_ = true;
  context_.outbox_.CallStore(aConfirmation.tag_, call);
}

void
PlanController::OnCommitted(Instant aNow, Confirmation& aConfirmation, const Row& aRow)
{
  aConfirmation.isCommitted_ = true;
  aConfirmation.isIndeterminate_ = false;
  aConfirmation.appliedBy_.insert(context_.membership_.Self());
  context_.events_.Record(Event::PlanConfirmed,
                          "plan=" + aConfirmation.plan_.Id() +
                            " revision=" + std::to_string(aRow.version_));
  install_(aNow, aRow);
}

void
PlanController::AnswerConflict(const Confirmation& aConfirmation)
{
  context_.events_.Record(Event::PlanConflict,
                          "plan=" + aConfirmation.plan_.Id() +
                            " base=" + std::to_string(aConfirmation.plan_.baseRevision_) +
                            " standing=" + std::to_string(context_.view_.Revision()));
  const auto fresh = MakePlan(
    context_.view_.Revision(), context_.view_.Configuration(), aConfirmation.plan_.declaration_);
  const boost::json::object body{
    { "error",
      { { "field", "base_revision" },
        { "problem", "another plan was confirmed since; nothing of this plan is in force" } } },
    { "standing_revision", context_.view_.Revision() },
    { "fresh_plan", boost::json::parse(SerializePlan(fresh)) }
  };
  context_.outbox_.AnswerOperator(aConfirmation.operator_, { 409, boost::json::serialize(body) });
}

bool
PlanController::OnCurrentRow(Instant aNow, Confirmation& aConfirmation, const StoreReply& aReply)
{
  const auto* found = FindRow(aReply.rows_, kConfigurationKey);
  const auto version = found == nullptr ? 0 : found->version_;
  if (version == aConfirmation.plan_.baseRevision_) {
    // Not written yet. Repeating the write is safe, since its condition lets it take effect
    // at most once.
    Send(aConfirmation);
    return false;
  }
  if (version != 0 && TokenOfConfigurationRow(found->value_) == aConfirmation.token_) {
    OnCommitted(aNow, aConfirmation, *found);
    return false;
  }
  if (version != 0) {
    install_(aNow, *found);
  }
  // NOTE: If the current revision is higher still, this plan may have been in force in
  // between. The fresh plan in the conflict answer shows the differences that remain.
  AnswerConflict(aConfirmation);
  return true;
}

bool
PlanController::OnReply(Instant aNow, Confirmation& aConfirmation, const StoreReply& aReply)
{
  aConfirmation.tag_ = 0;
  switch (aReply.status_) {
    case StoreStatus::Done:
      if (aConfirmation.isReadBack_) {
        return OnCurrentRow(aNow, aConfirmation, aReply);
      }
      OnCommitted(
        aNow,
        aConfirmation,
        { std::string(kConfigurationKey),
          RevisionOf(aConfirmation),
          SerializeConfigurationRow(aConfirmation.token_, aConfirmation.plan_.declaration_) });
      return TryFinish(aNow, aConfirmation);
    case StoreStatus::Conflict:
      return OnCurrentRow(aNow, aConfirmation, aReply);
    case StoreStatus::Indeterminate:
      context_.events_.Record(Event::StoreUnsure, "plan=" + aConfirmation.plan_.Id());
      aConfirmation.isIndeterminate_ = true;
      aConfirmation.nextTryAt_ = aNow + kReadBackDelay;
      return false;
    case StoreStatus::Unavailable:
      break;
  }
  if (aConfirmation.isIndeterminate_) {
    aConfirmation.nextTryAt_ = aNow + kReadBackDelay;
    return false;
  }
  AnswerError(aConfirmation.operator_,
              503,
              "store",
              "the table service is unavailable; the plan is not in force");
  return true;
}

bool
PlanController::OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply)
{
  const auto found =
    std::find_if(confirmations_.begin(), confirmations_.end(), [&](const auto& aEntry) {
      return aTag != 0 && aEntry.second.tag_ == aTag;
    });
  if (found == confirmations_.end()) {
    return false;
  }
  if (OnReply(aNow, found->second, aReply)) {
    confirmations_.erase(found);
  }
  return true;
}

void
PlanController::OnConfigurationApplied(Instant aNow, const InstanceId& aPeer, RowVersion aRevision)
{
  static_cast<void>(aNow);
  for (auto& [id, confirmation] : confirmations_) {
    if (confirmation.isCommitted_ && aRevision >= RevisionOf(confirmation)) {
      confirmation.appliedBy_.insert(aPeer);
    }
  }
}

bool
PlanController::TryFinish(Instant aNow, const Confirmation& aConfirmation)
{
  const bool isOver = aNow - aConfirmation.startedAt_ >= context_.timing_.confirmTimeout_;
  if (aConfirmation.isIndeterminate_ && isOver) {
    AnswerError(aConfirmation.operator_,
                504,
                "store",
                "the answer of the table service was lost; the plan may be in force, see status");
    return true;
  }
  if (!aConfirmation.isCommitted_) {
    return false;
  }
  boost::json::array inForce;
  boost::json::array pending;
  for (const auto& instance : context_.membership_.LiveInstances(aNow)) {
    const bool has = aConfirmation.appliedBy_.contains(instance.id_);
    (has ? inForce : pending).emplace_back(instance.id_);
  }
  for (const auto& listed : context_.membership_.Peers()) {
    const auto id = context_.membership_.IdOfName(listed.name_);
    if (!id || !context_.membership_.IsLive(aNow, *id)) {
      pending.emplace_back(listed.name_);
    }
  }
  if (!pending.empty() && !isOver) {
    return false;
  }
  const auto waited = aNow - aConfirmation.startedAt_;
  const boost::json::object body{ { "revision", RevisionOf(aConfirmation) },
                                  { "in_force", std::move(inForce) },
                                  { "pending", std::move(pending) },
                                  { "milliseconds", waited.count() / 1000 } };
  context_.outbox_.AnswerOperator(aConfirmation.operator_, { 200, boost::json::serialize(body) });
  return true;
}

void
PlanController::Tick(Instant aNow)
{
  std::erase_if(confirmations_, [&](const auto& aEntry) { return TryFinish(aNow, aEntry.second); });
  for (auto& [id, confirmation] : confirmations_) {
    if (confirmation.isIndeterminate_ && confirmation.tag_ == 0 &&
        aNow >= confirmation.nextTryAt_) {
      ReadBack(confirmation);
    }
  }
}

} // namespace latchslip
