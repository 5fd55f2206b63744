#include "LibNet/PeerProof.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace latchslip {

namespace {

constexpr std::size_t kNonceBytes = 16;

// Appends a length-prefixed field, so that different hellos never serialize to the same bytes.
void
Append(std::string& aText, const std::string& aField)
{
  aText.append(std::to_string(aField.size())).append(":").append(aField);
}

} // namespace

std::string
MakeNonce()
{
  std::string nonce(kNonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), kNonceBytes);
  return nonce;
}

std::string
ComputeProof(const std::string& aSecret,
             PeerRole aRole,
             const std::string& aChallenge,
             const PeerHello& aHello)
{
  std::string text;
  Append(text, aRole == PeerRole::Initiator ? "dialler" : "acceptor");
  Append(text, aChallenge);
  Append(text, aHello.nonce_);
  Append(text, aHello.id_);
  Append(text, aHello.hall_);
  std::string proof(EVP_MAX_MD_SIZE, '\0');
  unsigned size = 0;
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       reinterpret_cast<unsigned char*>(proof.data()),
       &size);
  proof.resize(size);
  return proof;
}

bool
IsProofValid(const std::string& aExpected, const std::string& aGiven)
{
  return aExpected.size() == aGiven.size() &&
         CRYPTO_memcmp(aExpected.data(), aGiven.data(), aExpected.size()) == 0;
}

} // namespace latchslip
