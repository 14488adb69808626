/** \file
 * A state core on a thread of its own, because it waits for the disk. What arrives while a sync runs is synced together
 * by the next one.
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

class StateNode {
public:
    struct Options {
        StateCore::Options core;
        std::string dataFolder;
        std::size_t maxBatch = 4096; ///< Inputs that one sync may cover.
        Duration tickInterval = std::chrono::milliseconds(20);
        /** Called on the node's thread after each flush; may be empty. */
        std::function<void(const StateCore&)> onFlushed = {};
    };

    using SendMessage = std::function<void(const AgreementMessage&)>;
    using ProposalCallback = std::function<void(const ProposalResult&)>;
    /** Settings as of the call, or nothing where this instance cannot vouch for them; and who leads. */
    using PollCallback = std::function<void(std::optional<SharedState::Settings>, std::optional<InstanceId>)>;

    /** Opens the data folder; throws UserError. `send` is called on the node's thread, as the callbacks are. */
    StateNode(Options, SendMessage send);
    ~StateNode();
    StateNode(const StateNode&) = delete;
    StateNode& operator=(const StateNode&) = delete;

    void deliver(AgreementMessage);
    void propose(CommandBody, ProposalCallback);
    /** `known` is the version that the asker holds: its contents are not copied. */
    void poll(SettingsVersion known, PollCallback);
    /** Runs on the node's thread before the next flush. */
    void change(std::function<void(StateCore&, TimePoint)>);
    /** Runs on the node's thread after a flush that began after the call; the time is that of the flush's end. */
    void inspect(std::function<void(const StateCore&, TimePoint)>);
    /** Blocks for the answer; see StateCore::form. */
    std::string form();
    /** Blocks for the answer. */
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
    std::vector<Input> m_inbox; // Guarded by m_mutex.
    bool m_isStopping = false; // Guarded by m_mutex.

    // Used on the thread only.
    StateCore m_core;
    std::map<ProposalId, ProposalCallback> m_callbacks; // One for each unanswered proposal.
    std::vector<Input> m_afterFlush; // Reads, which must see the flushed state.
    std::uint64_t m_lastProposal = 0;
    std::thread m_thread;
};

} // namespace HickoryHollow
