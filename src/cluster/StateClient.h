/** \file
 * Client of the replicated state: finds the leader and sends proposals and settings polls to it. Runs on one event loop.
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
        std::vector<InstanceId> stateInstances; ///< Must not be empty. Tried in this order while the leader is unknown.
        Duration callTimeout = std::chrono::milliseconds(700); ///< For one request to one state instance.
    };

    /** Sends a request to an instance, or serves it locally if the target is this instance. */
    using SendRequest = std::function<void(const InstanceId&, const Wire::Request&)>;

    StateClient(asio::io_context&, Options, SendRequest);
    ~StateClient();
    StateClient(const StateClient&) = delete;
    StateClient& operator=(const StateClient&) = delete;

    /**
     * Proposes a command, again if need be, until its outcome is known or the timeout has passed. The command must be
     * idempotent, because it may be committed more than once. Without an outcome it may still be committed later.
     */
    Task<std::optional<CommandOutcome>> propose(CommandBody, Duration timeout);
    /**
     * Asks the leader once for the settings that are newest at some time after the call. If their version is
     * `knownVersion`, only the version is filled in. Returns nothing if no leader answers within the call timeout.
     */
    Task<std::optional<SharedState::Settings>> pollSettings(SettingsVersion knownVersion);
    /** Passes a reply to the call that waits for it; ignores a reply that came too late. Call on the event loop. */
    void deliver(const Wire::Reply&);

private:
    struct PendingCall;

    Task<bool> call(Wire::Request&, Wire::Reply&);
    InstanceId target() const;
    void followRedirect(const Wire::Reply&);

    asio::io_context& m_loop;
    Options m_options;
    SendRequest m_send;
    std::optional<InstanceId> m_leader; // The leader named by the last redirect.
    std::size_t m_nextIndex = 0; // Selects the state instance to ask while the leader is unknown (modulo their number).
    std::uint64_t m_lastId = 0; // Identifier of the latest request.
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> m_pendingCalls; // Calls without a reply, by request identifier.
};

} // namespace HickoryHollow
