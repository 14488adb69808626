/** \file
 * Calls to the provider, the outside system that sells servers and takes usage reports. They are singleton duties: an
 * implementation sends them only while this instance holds the duties, and checks that right before the first byte.
 */
#pragma once

#include "ledger/Commands.h"
#include "net/Task.h"

#include <string_view>

namespace HickoryHollow {

/** Result of a call to the provider. */
enum class ProviderOutcome {
    Accepted,
    Superseded, ///< A higher fencing token was used for the subject, or this instance does not hold the duties any more.
    NoneAvailable, ///< No servers of that kind can be had there at the moment.
    Busy, ///< The provider takes no more calls at the moment; it did nothing.
    Unknown, ///< No usable answer came. The call may have been carried out, or may be later, after newer calls.
};

/** Name of the outcome in log lines and metrics, such as `none-available`. */
std::string_view toString(ProviderOutcome);

/** Sets the number of servers of one kind; repeating an order does no harm. */
struct ServerOrder {
    ServiceId service;
    FailureDomainId domain;
    bool isReclaimable = false; ///< For spot servers, which are counted apart from ordinary ones.
    std::uint32_t servers = 0;

    bool operator==(const ServerOrder&) const = default;
};

class ProviderApi {
public:
    virtual ~ProviderApi() = default;

    /** True while this instance holds the duties and its permission has not run out. */
    virtual bool holdsDuties() const = 0;
    virtual Task<ProviderOutcome> reportUsage(const UsageCounts&) = 0;
    virtual Task<ProviderOutcome> orderServers(const ServerOrder&) = 0;
};

} // namespace HickoryHollow
