#ifndef QUETZALYOKE_STANDINS_ENGINE_ENGINE_H
#define QUETZALYOKE_STANDINS_ENGINE_ENGINE_H

#include "Core/StrongTypes.h"

#include <httplib.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalyoke::standins {

/// \brief Sizes and speeds of the engine stand-in.
struct EngineSettings
{
    Megabytes memory;
    std::chrono::milliseconds stepTime{5}; ///< Between two tokens.
    std::chrono::milliseconds loadTime{50}; ///< Of a model.
    std::chrono::milliseconds adapterLoadTime{7};
    bool checksFencing = true; ///< Refuses orders with an old fencing number.
};

/// \brief A model engine's HTTP face with invented answers.
///
/// Completions, load orders, a load report, and a record of everything it ran.
class Engine
{
public:
    explicit Engine(const EngineSettings &settings);

    void addRoutes(httplib::Server &server);

private:
    struct Holding
    {
        std::string version;
        Megabytes memory;
        bool adapter = false;
        bool ready = false;
    };

    void complete(const httplib::Request &req, httplib::Response &res, bool chat);
    void order(const httplib::Request &req, httplib::Response &res);
    void report(const httplib::Request &req, httplib::Response &res);
    void record(const httplib::Request &req, httplib::Response &res);
    bool isHeld(const std::string &model);
    int load(const std::string &name, const Holding &holding);

    EngineSettings m_settings;
    std::mutex m_mutex; // of the members below
    std::map<std::string, Holding> m_holdings;
    Megabytes m_used;
    std::int64_t m_fencing = 0;
    std::int64_t m_running = 0;
    Megabytes m_peak;
    bool m_overcommitted = false;
    std::vector<std::string> m_record; // one JSON object an entry
};

} // namespace quetzalyoke::standins

#endif
