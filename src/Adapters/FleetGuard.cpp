#include "Adapters/FleetGuard.h"

#include "Adapters/Crypto.h"

#include <thrift/TApplicationException.h>

namespace quetzalyoke {

namespace {

constexpr int nonceBytes = 16;

} // namespace

FleetGuard::FleetGuard(std::string secret) : m_secret(std::move(secret)) { }

const std::string &FleetGuard::challenge()
{
    m_nonce = randomHex(nonceBytes);
    m_trusted = false;
    return m_nonce;
}

bool FleetGuard::authenticate(const std::string &proof)
{
    m_trusted = !m_nonce.empty() && equalInConstantTime(proof, proofFor(m_secret, m_nonce));
    m_nonce.clear();
    return m_trusted;
}

void FleetGuard::require() const
{
    if (m_trusted)
        return;
    throw apache::thrift::TApplicationException(
        "connection has not proved the fleet's secret; check fleet_secret_file on both sides");
}

std::string FleetGuard::proofFor(const std::string &secret, const std::string &nonce)
{
    return hmacSha256(secret, nonce);
}

} // namespace quetzalyoke
