// Stand-ins for the users' platform: its store, engines and the start of the gateways.
#ifndef REVIEW_STANDINS_RIG_H
#define REVIEW_STANDINS_RIG_H

#include "Net.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace review {

// Writes lines to record.txt, each with the time since the start in ms.
class Record
{
public:
    static void open(const std::string &path);
    static void line(const std::string &text);
};

// The platform's store: rows, conditional transactions and feeds, linearizable.
class Store
{
public:
    Store();
    int port() const { return m_port; }
    std::int64_t put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

private:
    struct Row
    {
        std::string value;
        std::int64_t version = 0;
        bool isDeleted = false;
    };
    void serve(int fd);
    void answer(Channel &channel, const Message &request);
    nlohmann::json rows(const std::string &table, std::int64_t after, bool withDeleted) const;

    int m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_version = 0;
    std::map<std::string, std::map<std::string, Row>> m_tables;
};

// A backend server. Behaves like a sound one unless `onRequest` does something else.
class Engine
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        bool isModelEngine = false;
        std::vector<std::string> models;
        int slots = 64;
        int receiveBuffer = 0;
    };
    // Handles a request whose head has been read. Returns whether the channel is kept.
    using Handler = std::function<bool(Engine &, Channel &, Message &)>;

    Engine(Store &store, const Settings &settings, Handler onRequest);
    void writeRow(bool isLeaving = false);
    const Settings &settings() const { return m_settings; }
    std::string fields(const Message &request);
    std::atomic<int> running{0};

private:
    void serve(int fd);
    bool handle(Channel &channel, Message &request);
    bool order(Channel &channel, Message &request);

    Store &m_store;
    const Settings m_settings;
    Handler m_onRequest;
    int m_port = 0;
    std::mutex m_mutex;
    std::set<std::string> m_loaded;
    std::int64_t m_orders = 0;
    std::int64_t m_born = 0;
};

// A gateway process, started as the deploy file says.
class Gateway
{
public:
    Gateway(const std::string &program, const std::string &folder, const std::string &name,
            const std::string &zone, int storePort, double memoryMb);
    ~Gateway();
    void start();
    void signal(int number);
    bool hasEnded(); // reaps it
    bool isReady() const;
    bool waitUntilReady(std::int64_t ms) const;
    double residentMb() const;
    int port() const { return m_callers; }
    const std::string &name() const { return m_name; }
    int pid() const { return m_pid; }

private:
    const std::string m_program;
    const std::string m_name;
    std::string m_settingsFile;
    std::string m_logFile;
    int m_callers = 0;
    int m_readiness = 0;
    int m_peers = 0;
    int m_pid = -1;
};

// The configuration of a small deployment: two services, routes of the three kinds, one tenant.
nlohmann::json smallConfiguration(const std::vector<std::string> &models);

constexpr const char *apiKey = "key-of-the-tenant";

} // namespace review

#endif
