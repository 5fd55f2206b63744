#pragma once

#include "../../LibNet/EndlessAnswer.h"
#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace latchslip::platform {

// When a server that repeats answers sends the second copy.
enum class SecondCopy
{
  // Together with the answer.
  AtOnce,
  // Some time later, whatever the connection is used for then.
  Late,
  // In the place of the next answer on the connection, before it.
  BeforeNext,
};

inline constexpr NameTable<SecondCopy, 3> kSecondCopyNames{
  { "copy-at-once", "copy-late", "copy-before-next" }
};

// A fault of a server's answers, which its proxy adds to a share of them: a second copy, or bytes
// without end in the answer's place.
struct AnswerFault
{
  double share_ = 0;
  std::optional<SecondCopy> copy_;
  std::optional<EndlessKind> endless_;
  // Bytes without end come a few at a time.
  bool isSlow_ = false;
};

// What the proxy sends on one connection for an answer of the server.
struct SentAnswer
{
  std::string bytes_;
  // Sent some time later; empty for nothing.
  std::string late_;
  // Sent again and again after bytes_; empty for nothing.
  std::string endless_;
};

// Applies faults to the answers of one connection.
class AnswerDisturber
{
public:
  explicit AnswerDisturber(unsigned aSeed)
    : random_(aSeed)
  {
  }

  // Returns what is sent for aAnswer, bytes of the server that begin with a complete head.
  SentAnswer Apply(const AnswerFault& aFault, std::string_view aAnswer);

private:
  std::minstd_rand random_;
  std::string copyBeforeNext_;
};

} // namespace latchslip::platform
