/** \file
 * The singleton duties of a state instance: takes them while this instance leads, fixes and sends the usage reports, and lets others
 * call the provider. Exists only where the settings name a provider. One report every few seconds.
 */
#pragma once

#include "duties/ProviderClient.h"
#include "duties/UsageSchedule.h"
#include "node/NodeSettings.h"

#include <memory>
#include <mutex>

namespace HickoryHollow {

class StateNode;
class UsageSource;

class ProviderDuties final : private DutyPermission {
public:
    struct Options {
        InstanceId self; ///< Name of this instance.
        ProviderSettings provider;
    };

    /** All functions but onFlushed() are called on `loop`. `codec` outlives the object. */
    ProviderDuties(asio::io_context& loop, const Options&, const ProviderCodec&);
    ~ProviderDuties() override;
    ProviderDuties(const ProviderDuties&) = delete;
    ProviderDuties& operator=(const ProviderDuties&) = delete;

    /** Begins to act. The node calls onFlushed() after each flush. */
    void start(StateNode&);
    /** Takes the state after a flush; called on the node's thread. */
    void onFlushed(const StateCore&);
    /** Without a source, or while it knows no true time, no window is fixed; those that were are sent. It outlives this object. */
    void setUsageSource(const UsageSource& source) { m_source = &source; }

    /** Calls the provider under this instance's permission; valid as long as this object. */
    ProviderApi& provider() { return *m_client; }
    /** Lines of the metrics page. */
    std::string metricsText() const;
    /** Holder, token and owed windows as JSON, for operators. */
    std::string toJson() const;

private:
    std::optional<FencingToken> tokenFor(const DutySubject&) override;
    bool holdsDuties() override;
    void supersede(const DutySubject&, FencingToken token) override;

    Task<void> tickLoop();
    /** Takes over the state after the last flush. */
    void refresh(TimePoint now);
    void logChange(TimePoint now);
    void takeDuties(TimePoint now);
    void fixNextWindow(FencingToken, TimePoint now);
    void recordNextAcknowledged();
    void sendDueReports(TimePoint now);
    Task<void> sendReport(UsageCounts);
    /** Logs that the oldest report is overdue, once for each window. */
    void logOverdue(TimePoint now);
    std::optional<std::chrono::milliseconds> trueTime(TimePoint now) const;
    /** Proposes the command, and calls `answered` on the loop with whether it was committed. */
    void propose(CommandBody, std::function<void(bool isCommitted)> answered);

    asio::io_context& m_loop;
    Options m_options;
    std::shared_ptr<bool> m_isAlive; // Set to false by the destructor; checked by callbacks that were posted to the loop.
    Incarnation m_incarnation;
    StateNode* m_node = nullptr; // Set by start().
    const UsageSource* m_source = nullptr;
    DutyPolicy m_policy;
    UsageSchedule m_schedule;
    std::unique_ptr<UpstreamClient> m_upstream;
    std::unique_ptr<ProviderClient> m_client;
    std::optional<FencingToken> m_loggedToken; // Of the duties that the log says are held here.
    UsageWindow m_lastOverdue; // Newest window that was logged as overdue.

    DutyState m_lastFlushed; // Used on the node's thread only.
    std::mutex m_mutex;
    DutyState m_flushed; // Guarded by m_mutex.
};

} // namespace HickoryHollow
