#ifndef QUETZALYOKE_ADAPTERS_FLEETAUTHENTICATOR_H
#define QUETZALYOKE_ADAPTERS_FLEETAUTHENTICATOR_H

#include <string>

namespace quetzalyoke {

/// \brief Authenticates a connection on the server side, by the fleet's shared secret.
///
/// Each connection has its own object. The caller requests a nonce and sends back its HMAC; the
/// secret itself is never sent.
class FleetAuthenticator
{
public:
    explicit FleetAuthenticator(std::string secret);

    /// Returns a new nonce; the connection counts as unauthenticated until authenticate() succeeds.
    const std::string &challenge();
    /// Checks \a proof against the last nonce, which is then used up, and returns the result.
    bool authenticate(const std::string &proof);
    bool isAuthenticated() const { return m_authenticated; }
    /// Throws apache::thrift::TException if the connection is not authenticated.
    void requireAuthenticated() const;

    /// Returns the proof that a caller with \a secret sends for \a nonce.
    static std::string computeProof(const std::string &secret, const std::string &nonce);

private:
    std::string m_secret;
    std::string m_nonce;
    bool m_authenticated = false;
};

} // namespace quetzalyoke

#endif
