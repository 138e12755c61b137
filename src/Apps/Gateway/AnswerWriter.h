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

/// \brief Hands an answer to its caller piece by piece, at the pace of the client account.
///
/// Tokens are charged just before the piece that holds them is handed over. An answer that
/// breaks off ends the connection without the closing chunk, which the caller sees as an error.
class PacedStream
{
public:
    PacedStream(std::unique_ptr<ResponseStream> response, const ParsedRequest &call,
                AccountLimits &limits);

    /// Hands over the next piece; false once the connection is of no use any more.
    bool writeNext(httplib::DataSink &sink);

private:
    bool readMore();
    bool chargeAndWritePiece(httplib::DataSink &sink);
    void findPiece();

    std::unique_ptr<ResponseStream> m_response;
    const RequestId m_request;
    const AccountId m_account;
    AccountLimits &m_limits;
    std::string m_data; // received, not handed over yet
    bool m_complete = false; // all of the answer is in m_data
    std::size_t m_pieceEnd = 0; // the next piece is m_data up to here
    Tokens m_pieceTokens;
    Tokens m_prompt; // not charged yet
};

/// Waits until the account may have \a n more tokens. False where it never may, or the caller
/// has gone.
bool waitAndCharge(AccountLimits &limits, const AccountId &account, Tokens n);

/// Writes \a refusal as the error body and headers that callers know.
void writeRefusal(const Refusal &refusal, httplib::Response &res);

/// Copies status and headers of \a response; returns its content type.
std::string writeStatusAndHeaders(const ResponseStream &response, httplib::Response &res);

} // namespace quetzalyoke

#endif
