#include "Adapters/FleetAuthenticator.h"

#include "Adapters/Crypto.h"

#include <thrift/TApplicationException.h>

namespace quetzalyoke {

namespace {

constexpr int nonceBytes = 16;

} // namespace

FleetAuthenticator::FleetAuthenticator(std::string secret) : m_secret(std::move(secret)) { }

const std::string &FleetAuthenticator::challenge()
{
    m_nonce = randomHex(nonceBytes);
    m_authenticated = false;
    return m_nonce;
}

bool FleetAuthenticator::authenticate(const std::string &proof)
{
    m_authenticated
        = !m_nonce.empty() && equalInConstantTime(proof, computeProof(m_secret, m_nonce));
    m_nonce.clear();
    return m_authenticated;
}

void FleetAuthenticator::requireAuthenticated() const
{
    if (m_authenticated)
        return;
    throw apache::thrift::TApplicationException(
        "the connection is not authenticated with the fleet's secret; check fleet_secret_file on "
        "both sides");
}

std::string FleetAuthenticator::computeProof(const std::string &secret, const std::string &nonce)
{
    return hmacSha256(secret, nonce);
}

} // namespace quetzalyoke
