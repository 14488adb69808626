/** \file
 * Stand-in server of the part `streams`. It frames its answers in all permitted ways, cuts them into writes at random, and falls silent, refuses
 * to go on with streams, crashes, leaves and comes back on demand.
 */
#pragma once

#include "base/SeededRandom.h"
#include "net/EventLoops.h"
#include "net/Listener.h"
#include "soak/StreamLedger.h"

#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace HickoryHollow::Soak {

struct StreamConnection;

/** Runs on one event loop. The methods that are called from other threads say so. */
class StreamServer {
public:
    struct Options {
        std::string address; ///< `ip:port`.
        std::string service;
        std::string version; ///< Of its software, at first.
        int number = 0; ///< Part of its name.
        std::uint64_t seed = 0; ///< Seed of framing, pauses and broken answers.
    };

    /** What it says of itself to the state instances. */
    struct Announcement {
        std::string name;
        std::string start; ///< Names the start, as runs do.
        std::string body; ///< Empty if nothing is due.
        bool isLast = false; ///< It leaves the service now.
    };

    /** A crash, after which the server runs again under its id. */
    struct Crash {
        std::chrono::milliseconds down {};
        std::chrono::milliseconds unannounced {}; ///< From its start to its first announcement.
        std::string version;
        bool resets = true; ///< Its connections; else they are closed in order, as the kernel does it for a process that has read all.
    };

    StreamServer(asio::io_context&, Options, StreamLedger&);

    /** Begins to listen. */
    void start();
    /** All its runs write nothing for so long. */
    void fallSilent(std::chrono::milliseconds);
    /** Takes no new connection for so long; the kernel takes one or two. */
    void stopAccepting(std::chrono::milliseconds);
    /** Answers requests that go on with a stream 503, not executed, for so long. */
    void refuseResumed(std::chrono::milliseconds);
    /** Ends the listener and all connections, and runs again. */
    void crash(Crash);
    /** Announces that it leaves, serves on for `serving` at least and until its runs have ended, and comes back under a new id. */
    void leave(std::chrono::milliseconds serving);
    /** Down or leaving. */
    bool isAway() const;
    /** Connections do not wait to be accepted. */
    bool isAccepting() const;
    const std::string& version() const { return m_version; }
    const Options& options() const { return m_options; }

    /** What is due to be said now. Callable from any thread. */
    Announcement nextAnnouncement();

private:
    struct Answer;

    Task<void> accept();
    Task<void> serve(std::shared_ptr<StreamConnection>);
    /** Returns false once the connection cannot be used any more. */
    Task<bool> handle(std::shared_ptr<StreamConnection>, const std::string& attempt, const std::string& lastId, const std::string& body);
    Task<bool> runStream(std::shared_ptr<StreamConnection>, Answer&);
    Task<bool> refuse(StreamConnection&, const std::string& attempt, unsigned status);
    /** What a crash loses before it was read counts as broken off. */
    void recordUnread(StreamConnection&);
    /** Notices that the other side closes the connection during the run. */
    Task<void> watch(std::shared_ptr<StreamConnection>, std::size_t run);
    /** Waits for the time and until the server is not silent. Returns false if the connection has ended. */
    Task<bool> pause(StreamConnection&, std::size_t run, std::chrono::milliseconds);
    Task<void> comeBack(std::chrono::milliseconds down, std::chrono::milliseconds unannounced);
    Task<void> finishLeaving(std::chrono::milliseconds serving);
    std::string name() const;
    std::string startName() const;

    asio::io_context& m_loop;
    Options m_options;
    StreamLedger& m_ledger;
    SeededRandom m_random;
    std::unique_ptr<Acceptor> m_acceptor; // Null while it is down.
    std::list<std::weak_ptr<StreamConnection>> m_connections;
    int m_runs = 0; // In progress.
    Clock::time_point m_startedAt {};
    Clock::time_point m_newVersionUntil {}; // Others may not know it before.
    Clock::time_point m_silentUntil {};
    Clock::time_point m_acceptsFrom {};
    Clock::time_point m_refusesUntil {};

    mutable std::mutex m_mutex; // Guards what announcements hold, which is written on the event loop.
    std::string m_version;
    int m_life = 1; // Counts ids.
    int m_start = 1; // Counts starts.
    std::uint64_t m_sequence = 0;
    std::uint64_t m_bornMilliseconds = 0;
    Clock::time_point m_announcedFrom {}; // The next announcement is due.
    bool m_isDown = false;
    bool m_isLeaving = false;
    bool m_hasLeft = false;
};

} // namespace HickoryHollow::Soak
