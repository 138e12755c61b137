#ifndef QUETZALYOKE_APPS_GATEWAY_ANSWERWRITER_H
#define QUETZALYOKE_APPS_GATEWAY_ANSWERWRITER_H

#include "Apps/Gateway/ParsedRequest.h"
#include "Apps/Gateway/ResponseStream.h"
#include "Core/Accounts/TokenCounter.h"
#include "Core/Requests/Refusal.h"
#include "Ports/AccountLimits.h"

#include <httplib.h>

#include <memory>
#include <optional>
#include <string>

namespace quetzalyoke {

/// \brief Writes a response to its caller in pieces, at the token rate of the client account.
///
/// Tokens are charged just before the piece that contains them is written. If the response breaks
/// off, the connection ends without the final chunk, which the caller sees as an error.
class PacedStream
{
public:
    PacedStream(std::unique_ptr<ResponseStream> response, const ParsedRequest &request,
                AccountLimits &limits);

    /// Writes the next piece; returns false once the connection can no longer be used.
    bool writeNext(httplib::DataSink &sink);

private:
    bool readMore();
    bool chargeAndWritePiece(httplib::DataSink &sink);
    void findPiece();

    std::unique_ptr<ResponseStream> m_response;
    const RequestId m_request;
    const AccountId m_account;
    AccountLimits &m_limits;
    std::string m_data; // received, not yet written
    bool m_complete = false; // the end of the response has been received
    std::size_t m_pieceEnd = 0; // end of the next piece in m_data; 0: none found
    Tokens m_pieceTokens;
    Tokens m_prompt; // prompt tokens that are not yet charged
};

/// Waits until \a n tokens are charged to \a account. Returns false if the account can never have
/// that many, or if the caller has disconnected.
bool waitAndCharge(AccountLimits &limits, const AccountId &account, Tokens n);

/// Writes \a refusal to \a res as the status, headers and JSON body of an error response.
void writeRefusal(const Refusal &refusal, httplib::Response &res);

/// Copies the status and headers of \a response to \a res; returns its content type.
std::string writeStatusAndHeaders(const ResponseStream &response, httplib::Response &res);

} // namespace quetzalyoke

#endif
