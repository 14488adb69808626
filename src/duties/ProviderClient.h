/** \file
 * Calls the provider while this instance holds the duties. The permission and the rate of calls are checked right before the first
 * byte is sent, once the connection is open. Some tens of calls a second at most.
 */
#pragma once

#include "duties/CallRate.h"
#include "duties/DutyPolicy.h"
#include "duties/ProviderCodec.h"

#include <array>
#include <functional>
#include <memory>

namespace HickoryHollow {

class UpstreamClient;

/** Says whether this instance may call the provider now. */
class DutyPermission {
public:
    virtual ~DutyPermission() = default;

    /** Token for a call on the subject; nothing without a valid permission, or if the token was refused for the subject. */
    virtual std::optional<FencingToken> tokenFor(const DutySubject&) = 0;
    virtual bool holdsDuties() = 0;
    /** The provider has seen a token higher than `token` for the subject. */
    virtual void supersede(const DutySubject&, FencingToken token) = 0;
};

class ProviderClient final : public ProviderApi {
public:
    struct Options {
        InstanceId holder; ///< Name that accompanies the calls.
        std::string address; ///< `ip:port`
        bool isFenced = false; ///< See the member of ProviderSettings with this name.
        double callsPerSecond = 1; ///< That the provider accepts from all instances together.
    };

    /** What became of calls, for metrics. */
    struct Counts {
        std::array<std::uint64_t, 5> reports {}; ///< By ProviderOutcome.
        std::array<std::uint64_t, 5> orders {};
    };

    /** The references outlive the client, and all calls end before it. */
    ProviderClient(Executor, Options, UpstreamClient&, const ProviderCodec&, DutyPermission&);

    bool holdsDuties() const override;
    Task<ProviderOutcome> reportUsage(const UsageCounts&) override;
    Task<ProviderOutcome> orderServers(const ServerOrder&) override;

    /** Another process may have made calls until now. */
    void startAfterOther(TimePoint now) { m_rate.startAfterOther(now); }
    const Counts& counts() const { return m_counts; }

private:
    struct Result {
        ProviderOutcome outcome = ProviderOutcome::Unknown; // Not Superseded or NoneAvailable if isRefused.
        bool isRefused = false;
        FencingToken token; // That accompanied the call.
    };

    using MakeRequest = std::function<HttpRequest(const DutyCredentials&)>;

    Task<Result> call(const DutySubject&, const MakeRequest&);

    Executor m_executor;
    Options m_options;
    UpstreamClient& m_upstream;
    const ProviderCodec& m_codec;
    DutyPermission& m_permission;
    CallRate m_rate;
    Duration m_timeout; // Of the next call, from its start to the header of its answer.
    Counts m_counts;
};

} // namespace HickoryHollow
