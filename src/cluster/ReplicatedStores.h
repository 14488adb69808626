/** \file
 * The ledger of once-only requests and the settings store, both backed by the replicated state.
 */
#pragma once

#include "base/Ids.h"
#include "cluster/StateClient.h"
#include "entry/IdempotencyLedger.h"
#include "entry/SettingsStore.h"

#include <atomic>

namespace HickoryHollow {

class ReplicatedLedger final : public IdempotencyLedger {
public:
    /** `client` must run on `loop` and outlive the ledger. claim() and complete() may be called on any event loop. */
    ReplicatedLedger(asio::io_context& loop, StateClient& client, InstanceId self, Incarnation incarnation);

    Task<ClaimResult> claim(const ClaimKey&) override;
    Task<void> complete(const ClaimKey&, std::uint64_t ticket, Verdict, const HttpResponse& answer) override;

private:
    Task<std::optional<CommandOutcome>> propose(CommandBody, Duration timeout);
    void completeInBackground(CompleteWork);

    asio::io_context& m_loop;
    StateClient& m_client;
    InstanceId m_self;
    Incarnation m_incarnation;
    std::atomic<std::uint64_t> m_lastTicket = 0; // Sequence number of the latest claim of this process.
};

class ReplicatedSettingsStore final : public SettingsStore {
public:
    /** `client` must run on `loop` and outlive the store. submit() may be called on any event loop. */
    ReplicatedSettingsStore(asio::io_context& loop, StateClient& client);

    Task<SettingsOutcome> submit(const SettingsChange&) override;

private:
    asio::io_context& m_loop;
    StateClient& m_client;
};

} // namespace HickoryHollow
