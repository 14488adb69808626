/** \file
 * What an entry instance reports to the state instance that its StateFeed is attached to: usage, cached prefixes, observations of
 * prompts, limits, completions, and what the provider has to know.
 */
#pragma once

#include "node/StateFeed.h"

namespace HickoryHollow {

class Link;

class FeedReports {
public:
    /** `events` outlives the reports. */
    explicit FeedReports(const StateFeed::Events& events)
        : m_events(events)
    {
    }

    /** Sends what is due. With a poll, unchanged usage is sent as well; a new link is sent all that the instance at its end may not know. */
    void send(Link&, bool isPoll, bool isNewLink);

private:
    void reportUsage(Link&, bool evenIfUnchanged);
    void reportCachedPrefixes(Link&);
    void reportPromptEvidence(Link&, bool isNewLink);
    void reportLimits(Link&, bool isNewLink);
    void reportForProvider(Link&, bool isNewLink);
    void reportCompletions(Link&);

    const StateFeed::Events& m_events;
    UsageReport m_lastUsage; // That was sent last.
    TimePoint m_completionsSentAt {};
};

} // namespace HickoryHollow
