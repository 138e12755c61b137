#ifndef QUETZALYOKE_ADAPTERS_FLEETGUARD_H
#define QUETZALYOKE_ADAPTERS_FLEETGUARD_H

#include <string>

namespace quetzalyoke {

/// \brief Server side of the proof that a connection's caller holds the fleet's secret.
///
/// One object a connection. The caller asks for a nonce and answers with its HMAC; the secret
/// itself never crosses the wire.
class FleetGuard
{
public:
    explicit FleetGuard(std::string secret);

    /// A fresh nonce for this connection.
    const std::string &challenge();
    bool authenticate(const std::string &proof);
    bool isTrusted() const { return m_trusted; }
    /// Throws apache::thrift::TException where the caller has not proved the secret.
    void require() const;

    /// What a caller that holds \a secret answers to \a nonce.
    static std::string proofFor(const std::string &secret, const std::string &nonce);

private:
    std::string m_secret;
    std::string m_nonce;
    bool m_trusted = false;
};

} // namespace quetzalyoke

#endif
