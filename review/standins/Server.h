/** \file
 * Stand-in for a server of a service without an engine: announces itself, runs a bounded number of requests at once, queues a few
 * more, and seals its answers. It drops a request whose connection closes.
 */
#pragma once

#include "Deployment.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace Review {

class Server {
public:
    struct Options {
        Address address;
        std::string id; ///< Its own name, in heartbeats and in `Expected-Instance`.
        std::string service;
        int slots = 6;
        std::size_t queue = 24;
        Milliseconds work { 60 };
        Milliseconds longWork { 60 }; ///< Of requests whose path contains `long`.
        bool logsRuns = true;
    };

    Server(Options options, Deployment& deployment, Record& record)
        : m_options(std::move(options))
        , m_deployment(deployment)
        , m_record(record)
        , m_listener(listenAt(m_options.address))
    {
        m_threads.emplace_back([this] { accept(); });
        m_threads.emplace_back([this] { announce(); });
    }
    ~Server()
    {
        m_isStopping = true;
        ::shutdown(m_listener.fd(), SHUT_RDWR);
        m_slotFree.notify_all();
        for (auto& it : m_threads)
            it.join();
        while (m_connections > 0)
            std::this_thread::sleep_for(Milliseconds(10));
    }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    bool isListening() const { return m_listener.isOpen(); }
    /** Number of requests of each id that have begun to run. */
    std::map<std::string, int> runs() const
    {
        const std::lock_guard guard(m_mutex);
        return m_runs;
    }

private:
    void accept()
    {
        while (!m_isStopping) {
            Socket socket(::accept(m_listener.fd(), nullptr, nullptr));
            if (!socket.isOpen())
                return;
            ++m_connections;
            std::thread([this, it = std::move(socket)] { serve(it); --m_connections; }).detach();
        }
    }

    void serve(const Socket& socket)
    {
        MessageReader reader;
        while (!m_isStopping) {
            pollfd entry { .fd = socket.fd(), .events = POLLIN, .revents = 0 };
            if (::poll(&entry, 1, 100) == 0)
                continue;
            const auto request = reader.read(socket, Clock::now() + std::chrono::seconds(20));
            if (!request || !request->isWhole || !answer(socket, *request))
                return;
        }
    }

    bool answer(const Socket& socket, const Message& request)
    {
        const auto id = request.field("Attempt-Id");
        const auto expected = request.field("Expected-Instance");
        if (!expected.empty() && expected != m_options.id)
            return reject(socket, id, "421 Misdirected Request");
        std::unique_lock lock(m_mutex);
        if (m_waiting >= m_options.queue) {
            lock.unlock();
            return reject(socket, id, "503 Service Unavailable");
        }
        ++m_waiting;
        while (m_running >= m_options.slots && !m_isStopping && !socket.hasPeerClosed())
            m_slotFree.wait_for(lock, Milliseconds(5));
        --m_waiting;
        if (m_isStopping || socket.hasPeerClosed())
            return false;
        ++m_running;
        ++m_runs[id];
        lock.unlock();
        if (m_options.logsRuns)
            m_record.line("server %s runs %s", m_options.id.c_str(), id.c_str());
        auto isWanted = true;
        for (const auto end = Clock::now() + (request.word(1).find("long") == std::string::npos ? m_options.work : m_options.longWork); Clock::now() < end && isWanted && !m_isStopping; isWanted = !socket.hasPeerClosed())
            std::this_thread::sleep_for(Milliseconds(5));
        lock.lock();
        --m_running;
        lock.unlock();
        m_slotFree.notify_all();
        if (!isWanted) {
            m_record.line("server %s drops %s, whose connection was closed", m_options.id.c_str(), id.c_str());
            return false;
        }
        const std::string body = "answer to " + id;
        const auto isHead = request.word(0) == "HEAD";
        return socket.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nRunner-Seal: seal-" + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + (isHead ? "" : body));
    }

    bool reject(const Socket& socket, const std::string& id, const std::string& status)
    {
        m_record.line("server %s rejects %s: %s", m_options.id.c_str(), id.c_str(), status.c_str());
        return socket.send("HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }

    void announce()
    {
        for (auto sequence = 1; !m_isStopping; ++sequence) {
            m_deployment.callControl("POST", "/instances/" + m_options.id + "/heartbeat",
                "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_options.address.text() + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.slots)
                    + ",\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":" + std::to_string(sequence) + ",\"born\":1700000000000}",
                Milliseconds(1000));
            for (auto i = 0; i < 12 && !m_isStopping; ++i)
                std::this_thread::sleep_for(Milliseconds(100));
        }
    }

    Options m_options;
    Deployment& m_deployment;
    Record& m_record;
    Socket m_listener;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFree;
    int m_running = 0;
    std::size_t m_waiting = 0;
    std::map<std::string, int> m_runs;
    std::atomic<int> m_connections = 0;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace Review
