#include "Apps/Entry/ServerCrashCheck.h"

namespace quetzalyoke {

namespace {

// A process that ends may close its connections a little before it stops listening.
constexpr std::chrono::milliseconds secondCheckDelay{80};
constexpr std::chrono::milliseconds connectTimeout{150};

} // namespace

struct ServerCrashCheck::Attempt
{
    explicit Attempt(asio::io_context &loop) : socket(loop), timer(loop) { }

    Tcp::socket socket;
    asio::steady_timer timer;
};

void ServerCrashCheck::start(const std::string &address, Hook done)
{
    auto &hooks = m_pending[address];
    hooks.push_back(std::move(done));
    if (hooks.size() == 1)
        connect(address, true);
}

void ServerCrashCheck::connect(const std::string &address, bool isFirst)
{
    const auto attempt = std::make_shared<Attempt>(m_loop);
    const Address peer = Address::parse(address);
    attempt->timer.expires_after(connectTimeout);
    attempt->timer.async_wait([attempt](const SystemErrorCode &ec) {
        SystemErrorCode ignored;
        if (!ec)
            attempt->socket.close(ignored);
    });
    SystemErrorCode ec;
    const Tcp::endpoint endpoint(asio::ip::make_address(peer.host, ec),
                                 static_cast<unsigned short>(peer.port));
    attempt->socket.async_connect(
        endpoint, [this, attempt, address, isFirst](const SystemErrorCode &connectEc) {
            attempt->timer.cancel();
            const bool isRefused = connectEc == asio::error::connection_refused;
            // Without an answer nothing is known; the platform's list shows a crash later.
            if (isRefused || connectEc || !isFirst) {
                finish(address, isRefused);
                return;
            }
            attempt->timer.expires_after(secondCheckDelay);
            attempt->timer.async_wait([this, attempt, address](const SystemErrorCode &) {
                SystemErrorCode ignored;
                attempt->socket.close(ignored);
                connect(address, false);
            });
        });
}

void ServerCrashCheck::finish(const std::string &address, bool isRefused)
{
    const auto pending = m_pending.extract(address);
    for (const Hook &done : pending.mapped())
        done(isRefused);
}

} // namespace quetzalyoke
