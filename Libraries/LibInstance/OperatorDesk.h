#pragma once

#include "LibConfig/Plan.h"
#include "LibInstance/InstanceContext.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace latchslip {

// Makes plans and confirms them. A confirmation is one write that is
// conditional on the revision the plan was made from.
class OperatorDesk
{
public:
  using InstallFunction = std::function<void(Instant, const Row&)>;

  OperatorDesk(InstanceContext aContext, InstallFunction aInstall);

  // Answers with the plan for a declaration.
  void OnPlan(Instant aNow, OperatorId aOperator, const std::string& aDeclaration);
  // Puts exactly the given plan in force, or says why not.
  void OnConfirm(Instant aNow, OperatorId aOperator, const std::string& aPlan);

  bool OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply);
  // A peer has a revision in force.
  void OnInForce(Instant aNow, const InstanceId& aPeer, RowVersion aRevision);
  void Tick(Instant aNow);

private:
  struct Confirmation
  {
    OperatorId operator_ = 0;
    Plan plan_;
    std::string token_;
    CallTag tag_ = 0;
    bool isReadBack_ = false;
    bool isUnsure_ = false;
    bool isCommitted_ = false;
    Instant startedAt_{ 0 };
    Instant nextTryAt_{ 0 };
    std::set<InstanceId> inForce_;
  };

  void Send(Confirmation& aConfirmation);
  void ReadBack(Confirmation& aConfirmation);
  void OnCommitted(Instant aNow, Confirmation& aConfirmation, const Row& aRow);
  // True when the confirmation has ended.
  bool OnReply(Instant aNow, Confirmation& aConfirmation, const StoreReply& aReply);
  bool OnStanding(Instant aNow, Confirmation& aConfirmation, const StoreReply& aReply);
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
