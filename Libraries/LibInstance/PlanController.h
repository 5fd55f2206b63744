#pragma once

#include "LibConfig/Plan.h"
#include "LibInstance/InstanceContext.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace latchslip {

// Serves the plan and confirm calls of operators. Confirming is one compare-and-swap write of
// the configuration row, conditional on the revision that the plan was made from. The answer
// waits, up to InstanceTiming::confirmTimeout_, until all instances have applied the new
// configuration.
class PlanController
{
public:
  using InstallFunction = std::function<void(Instant, const Row&)>;

  PlanController(InstanceContext aContext, InstallFunction aInstall);

  // Answers with the plan for a declaration (200), or with the field that is invalid (400).
  void OnPlan(Instant aNow, OperatorId aOperator, const std::string& aDeclaration);
  // Puts exactly the given plan in force. Answers 200 with the revision, 409 with a fresh
  // plan if another plan was confirmed since, 503 if the store is unavailable, or 504 if the
  // outcome of the write is not known.
  void OnConfirm(Instant aNow, OperatorId aOperator, const std::string& aPlan);

  // Returns false if the tag belongs to another component.
  bool OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply);
  // A peer has applied a revision.
  void OnConfigurationApplied(Instant aNow, const InstanceId& aPeer, RowVersion aRevision);
  void Tick(Instant aNow);

private:
  struct Confirmation
  {
    OperatorId operator_ = 0;
    Plan plan_;
    std::string token_;
    CallTag tag_ = 0;
    bool isReadBack_ = false;
    bool isIndeterminate_ = false;
    bool isCommitted_ = false;
    Instant startedAt_{ 0 };
    Instant nextTryAt_{ 0 };
    std::set<InstanceId> appliedBy_;
  };

  void Send(Confirmation& aConfirmation);
  void ReadBack(Confirmation& aConfirmation);
  void OnCommitted(Instant aNow, Confirmation& aConfirmation, const Row& aRow);
  // Returns true if the confirmation is finished and has been answered.
  bool OnReply(Instant aNow, Confirmation& aConfirmation, const StoreReply& aReply);
  // Compares the configuration row that is stored now with the one of the confirmation.
  // Returns true if the confirmation is finished.
  bool OnCurrentRow(Instant aNow, Confirmation& aConfirmation, const StoreReply& aReply);
  // Answers if all instances have applied the revision, or at the timeout. Returns whether it
  // did.
  bool TryFinish(Instant aNow, const Confirmation& aConfirmation);
  void AnswerConflict(const Confirmation& aConfirmation);
  void AnswerError(OperatorId aOperator,
                   unsigned aStatus,
                   std::string_view aField,
                   std::string_view aProblem);
  RowVersion RevisionOf(const Confirmation& aConfirmation) const
  {
    return aConfirmation.plan_.baseRevision_ + 1;
  }

  InstanceContext context_;
  InstallFunction install_;
  std::map<OperatorId, Confirmation> confirmations_;
};

} // namespace latchslip
