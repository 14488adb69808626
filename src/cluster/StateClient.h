/** \file
 * Finds the leader of the replicated state and brings proposals and polls to it. Runs on one event loop.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "ledger/Commands.h"
#include "ledger/SharedState.h"
#include "net/Task.h"
#include "wire/LedgerCodec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace HickoryHollow::Wire {
class Reply;
class Request;
}

namespace HickoryHollow {

class StateClient {
public:
    struct Options {
        std::vector<InstanceId> stateInstances; ///< Nearest first.
        Duration callTimeout = std::chrono::milliseconds(700);
    };

    /** Sends a request to an instance, or serves it here when that is this instance. */
    using SendRequest = std::function<void(const InstanceId&, const Wire::Request&)>;

    StateClient(asio::io_context&, Options, SendRequest);
    ~StateClient();
    StateClient(const StateClient&) = delete;
    StateClient& operator=(const StateClient&) = delete;

    /** Proposes until an outcome is known or `patience` is over. The command must bear being proposed twice. */
    Task<std::optional<CommandOutcome>> propose(CommandBody, Duration patience);
    /** Settings from the leader as of a time after the call; without contents where `known` is the version. */
    Task<std::optional<SharedState::Settings>> poll(SettingsVersion known);
    /** A reply came in. Call on the event loop. */
    void deliver(const Wire::Reply&);

private:
    struct Waiter;

    Task<bool> call(Wire::Request&, Wire::Reply&);
    InstanceId target() const;
    void noteRedirect(const Wire::Reply&);

    asio::io_context& m_loop;
    Options m_options;
    SendRequest m_send;
    std::optional<InstanceId> m_leader; // Whom the last answer pointed to.
    std::size_t m_next = 0; // Whom to ask while no leader is known.
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters; // One for each open call.
};

} // namespace HickoryHollow
