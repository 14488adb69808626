/** \file
 * Runs a StateCore on a thread of its own, because disk syncs block. Inputs that arrive during one sync are made durable
 * together by the next one.
 */
#pragma once

#include "state/StateCore.h"

#include <boost/json/value.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace HickoryHollow {

/** Member functions may be called from any thread, but form() and dump() not from the node's own. */
class StateNode {
public:
    struct Options {
        StateCore::Options core;
        std::string dataFolder;
        std::size_t maxBatch = 4096; ///< Maximum number of inputs handled before each flush.
        Duration tickInterval = std::chrono::milliseconds(20); ///< Longest time between two calls of StateCore::tick.
        /** Called on the node's thread after each flush; may be empty. */
        std::function<void(const StateCore&)> onFlushed = {};
    };

    using SendMessage = std::function<void(const AgreementMessage&)>;
    using ProposalCallback = std::function<void(const ProposalResult&)>;
    /** Receives the current settings, or nothing if this instance cannot confirm that they are current; and the leader, if
     *  known. */
    using PollCallback = std::function<void(std::optional<SharedState::Settings>, std::optional<InstanceId>)>;

    /** Opens the data folder. Throws UserError if it cannot be opened or locked, is damaged or belongs to a different
     *  instance. After any other error the node tries again. `send` and all callbacks are called on the node's thread. */
    StateNode(Options, SendMessage send);
    ~StateNode();
    StateNode(const StateNode&) = delete;
    StateNode& operator=(const StateNode&) = delete;

    /** Passes a message from another state instance to the core. */
    void deliver(AgreementMessage);
    /** Proposes a command; see StateCore::propose. The callback is called once, unless the node is destroyed first. */
    void propose(CommandBody, ProposalCallback);
    /** Reads the current settings. If their version is `known`, the result holds only the version. */
    void pollSettings(SettingsVersion known, PollCallback);
    /** Calls the function on the node's thread, before the next flush. */
    void runBeforeFlush(std::function<void(StateCore&, TimePoint)>);
    /** Calls the function on the node's thread after a flush that begins after this call, with the time after that flush. */
    void runAfterFlush(std::function<void(const StateCore&, TimePoint)>);
    /** Calls StateCore::form on the node's thread and waits for its result. */
    std::string form();
    /** Returns the state of the replica and of the state machine as JSON, for operators. Waits for the node's thread. */
    boost::json::value dump();

private:
    using Input = std::function<void(TimePoint)>;

    void post(Input);
    void runThread();
    void runBatch(std::vector<Input>&);
    boost::json::value describe(TimePoint) const;

    Options m_options;
    SendMessage m_send;
    std::unique_ptr<FileSystem> m_files;
    std::unique_ptr<RandomSource> m_random;

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Input> m_inbox; // Functions to run before the next flush. Guarded by m_mutex.
    bool m_isStopping = false; // Guarded by m_mutex.

    // Used on the node's thread only.
    StateCore m_core;
    std::map<ProposalId, ProposalCallback> m_callbacks; // One for each proposal without a result.
    std::vector<Input> m_readsAfterFlush; // Functions to run after the next flush, because they read the flushed state.
    std::uint64_t m_lastProposal = 0;
    std::thread m_thread;
};

} // namespace HickoryHollow
