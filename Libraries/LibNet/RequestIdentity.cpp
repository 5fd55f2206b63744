#include "LibNet/RequestIdentity.h"

#include <array>
#include <cstring>
#include <memory>
#include <openssl/evp.h>

namespace latchslip {

namespace {

using HashContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

// Adds a field with its length, so that different identities never hash the same bytes.
void
AddField(EVP_MD_CTX* aContext, std::string_view aField)
{
  const std::uint64_t size = aField.size();
  EVP_DigestUpdate(aContext, &size, sizeof(size));
  EVP_DigestUpdate(aContext, aField.data(), aField.size());
}

} // namespace

RequestFingerprint
ComputeFingerprint(const RequestIdentity& aIdentity)
{
  // Reused, because allocating a context costs more than hashing a small request.
  thread_local const HashContext context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  static const auto* const sha256 = EVP_sha256();
  EVP_DigestInit_ex(context.get(), sha256, nullptr);
  for (const auto field : { aIdentity.method_,
                            aIdentity.host_,
                            aIdentity.path_,
                            aIdentity.key_,
                            aIdentity.apiKey_,
                            aIdentity.body_ }) {
    AddField(context.get(), field);
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  RequestFingerprint fingerprint = kNoFingerprint;
  std::memcpy(&fingerprint, digest.data(), sizeof(fingerprint));
  return fingerprint == kNoFingerprint ? 1 : fingerprint;
}

} // namespace latchslip
