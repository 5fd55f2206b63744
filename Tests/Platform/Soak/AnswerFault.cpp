#include "AnswerFault.h"

#include <utility>

namespace latchslip::platform {

namespace {

// Returns the id of the request that the answer names; empty if it names none.
std::string
RequestOf(std::string_view aAnswer)
{
  constexpr std::string_view kName = "X-Request-Id: ";
  const auto at = aAnswer.find(kName);
  if (at == std::string_view::npos) {
    return {};
  }
  const auto value = aAnswer.substr(at + kName.size());
  return std::string(value.substr(0, value.find("\r\n")));
}

} // namespace

SentAnswer
AnswerDisturber::Apply(const AnswerFault& aFault, std::string_view aAnswer)
{
  SentAnswer sent;
  sent.bytes_ = std::exchange(copyBeforeNext_, {});
  const auto request = RequestOf(aAnswer);
  const bool isDisturbed =
    !request.empty() && std::uniform_real_distribution<double>(0, 1)(random_) < aFault.share_;
  if (isDisturbed && aFault.endless_) {
    const auto endless = MakeEndlessAnswer(*aFault.endless_, request);
    sent.bytes_ += endless.prefix_;
    sent.endless_ = endless.unit_;
    return sent;
  }
  sent.bytes_ += aAnswer;
  if (!isDisturbed || !aFault.copy_) {
    return sent;
  }
  switch (*aFault.copy_) {
    case SecondCopy::AtOnce:
      sent.bytes_ += aAnswer;
      break;
    case SecondCopy::Late:
      sent.late_ = aAnswer;
      break;
    case SecondCopy::BeforeNext:
      copyBeforeNext_ = aAnswer;
      break;
  }
  return sent;
}

} // namespace latchslip::platform
