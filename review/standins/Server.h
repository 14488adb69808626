/** \file
 * Stand-in for a server: announces itself, runs a bounded number of requests at once, queues a few more, and seals its answers. It
 * drops a request whose connection closes. Requests below /t/ get a stream of events; a stream goes on after `Last-Event-Id`.
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
        Milliseconds eventGap { 50 }; ///< Between two events of a stream.
        int eventsOfStream = 60;
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

    /** Makes the next event of every stream wait, as while the engine reads in a long prompt. */
    void pause(Milliseconds length)
    {
        m_record.line("server %s makes no event for %lld ms", m_options.id.c_str(), static_cast<long long>(length.count()));
        m_pausedUntil = Clock::now() + length;
    }
    /** Begins a planned shutdown: the next heartbeats say `draining`. It serves on until it is destroyed. */
    void leave() { m_isLeaving = true; }
    /** True once a heartbeat that says `draining` was acknowledged. */
    bool hasLeaveAcknowledged() const { return m_isLeaveAcknowledged; }
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
        if (request.word(1).starts_with("/t/")) {
            const auto isWhole = stream(socket, id, std::atoi(request.field("Last-Event-Id").c_str()));
            endRun();
            return isWhole;
        }
        auto isWanted = true;
        for (const auto end = Clock::now() + (request.word(1).find("long") == std::string::npos ? m_options.work : m_options.longWork); Clock::now() < end && isWanted && !m_isStopping; isWanted = !socket.hasPeerClosed())
            std::this_thread::sleep_for(Milliseconds(5));
        endRun();
        if (!isWanted) {
            if (m_options.logsRuns)
                m_record.line("server %s drops %s, whose connection was closed", m_options.id.c_str(), id.c_str());
            return false;
        }
        const std::string body = "answer to " + id;
        const auto isHead = request.word(0) == "HEAD";
        return socket.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nRunner-Seal: seal-" + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + (isHead ? "" : body));
    }

    void endRun()
    {
        {
            const std::lock_guard guard(m_mutex);
            --m_running;
        }
        m_slotFree.notify_all();
    }

    bool stream(const Socket& socket, const std::string& id, int last)
    {
        auto isSent = socket.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nRunner-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (auto event = last + 1; event <= m_options.eventsOfStream && isSent; ++event) {
            const auto due = Clock::now() + m_options.eventGap;
            while ((Clock::now() < due || Clock::now() < m_pausedUntil.load()) && isSent && !m_isStopping) {
                std::this_thread::sleep_for(Milliseconds(5));
                isSent = !socket.hasPeerClosed();
            }
            const auto text = "id: " + std::to_string(event) + "\ndata: " + id + " " + std::to_string(event) + "\n\n";
            char length[16];
            std::snprintf(length, sizeof(length), "%zx\r\n", text.size());
            isSent = isSent && socket.send(length + text + "\r\n");
            if (!isSent)
                m_record.line("server %s drops %s before event %d, as its connection was closed", m_options.id.c_str(), id.c_str(), event);
        }
        if (isSent)
            m_record.line("server %s ends %s with event %d", m_options.id.c_str(), id.c_str(), m_options.eventsOfStream);
        return isSent && socket.send("0\r\n\r\n");
    }

    bool reject(const Socket& socket, const std::string& id, const std::string& status)
    {
        m_record.line("server %s rejects %s: %s", m_options.id.c_str(), id.c_str(), status.c_str());
        return socket.send("HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }

    void announce()
    {
        for (auto sequence = 1; !m_isStopping; ++sequence) {
            const bool isLeaving = m_isLeaving;
            const auto isAcknowledged = m_deployment.callControl("POST", "/instances/" + m_options.id + "/heartbeat",
                "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_options.address.text() + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.slots)
                    + ",\"state\":\"" + (isLeaving ? "draining" : "ready") + "\",\"cold-left-ms\":0,\"seq\":" + std::to_string(sequence) + ",\"born\":1700000000000}",
                Milliseconds(1000));
            m_isLeaveAcknowledged = m_isLeaveAcknowledged || (isLeaving && isAcknowledged);
            for (auto i = 0; i < 12 && !m_isStopping && m_isLeaving == isLeaving; ++i)
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
    std::atomic<Clock::time_point> m_pausedUntil = Clock::time_point {};
    std::atomic<int> m_connections = 0;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_isLeaveAcknowledged = false;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace Review
