#pragma once

#include "LibBase/NameTable.h"

#include <string>

namespace latchslip {

// What a server in trouble sends without end in the place of an answer.
enum class EndlessKind
{
  // Header fields, so that the head never ends.
  Head,
  // A body without a length.
  Body,
  Chunks,
  // One chunk extension.
  ChunkExtension,
  // One extension after the other, each with a chunk of one byte.
  ChunkExtensions,
  Trailers,
  // Interim answers (status 100), which name the request.
  InterimAnswers,
  // Complete answers to another request.
  OtherAnswers,
};

inline constexpr NameTable<EndlessKind, 8> kEndlessKindNames{ { "head",
                                                                "body",
                                                                "chunks",
                                                                "chunk-extension",
                                                                "chunk-extensions",
                                                                "trailers",
                                                                "interim-answers",
                                                                "other-answers" } };

// Bytes without end: prefix_ once, then unit_ again and again.
struct EndlessAnswer
{
  std::string prefix_;
  std::string unit_;
};

// aRequest is the id of the request, which the bytes name where that kind names a request.
EndlessAnswer
MakeEndlessAnswer(EndlessKind aKind, const std::string& aRequest);

} // namespace latchslip
