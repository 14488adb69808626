/** \file
 * Writes calls to the provider in its protocol and reads the status of its answers.
 */
#pragma once

#include "duties/ProviderApi.h"
#include "http/HttpMessage.h"

namespace HickoryHollow {

/** Accompanies each call, so that the provider can refuse a former holder. */
struct DutyCredentials {
    InstanceId holder;
    FencingToken token;
};

class ProviderCodec {
public:
    enum class Reply {
        Accepted,
        Refused, ///< A higher token was seen, or no servers are available.
        Busy, ///< The rate of calls was exceeded.
        Unusable, ///< Anything else.
    };

    virtual ~ProviderCodec() = default;

    virtual HttpRequest usageReport(const DutyCredentials&, const UsageCounts&) const = 0;
    virtual HttpRequest serverOrder(const DutyCredentials&, const ServerOrder&) const = 0;
    /** `status` is that of an HTTP response. */
    virtual Reply readReply(unsigned status) const = 0;
};

} // namespace HickoryHollow
