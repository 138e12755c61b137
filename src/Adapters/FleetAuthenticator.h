#ifndef QUETZALYOKE_ADAPTERS_FLEETAUTHENTICATOR_H
#define QUETZALYOKE_ADAPTERS_FLEETAUTHENTICATOR_H

#include <string>

namespace quetzalyoke {

/// \brief Server side of the proof that a connection's caller holds the fleet's secret.
///
/// One object a connection. The caller asks for a nonce and answers with its HMAC; the secret
/// itself never crosses the wire.
class FleetAuthenticator
{
public:
    explicit FleetAuthenticator(std::string secret);

    /// A fresh nonce for this connection.
    const std::string &challenge();
    bool authenticate(const std::string &proof);
    bool isAuthenticated() const { return m_authenticated; }
    /// Throws apache::thrift::TException where the caller has not proved the secret.
    void requireAuthenticated() const;

    /// What a caller that holds \a secret answers to \a nonce.
    static std::string computeProof(const std::string &secret, const std::string &nonce);

private:
    std::string m_secret;
    std::string m_nonce;
    bool m_authenticated = false;
};

} // namespace quetzalyoke

#endif
