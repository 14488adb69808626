#include "node/FeedReports.h"

#include "links/Link.h"
#include "node/UsageCodec.h"
#include "wire/AdmissionCodec.h"
#include "wire/LimitCodec.h"
#include "wire/PromptEvidenceCodec.h"
#include "wire/StartReportCodec.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

namespace {

constexpr Duration completionsInterval = std::chrono::milliseconds(100); // A report for each class takes some 40 bytes.

} // namespace

void FeedReports::send(Link& link, bool isPoll, bool isNewLink)
{
    reportUsage(link, isPoll);
    reportCachedPrefixes(link);
    reportPromptEvidence(link, isNewLink);
    reportForProvider(link, isNewLink);
    reportLimits(link, isNewLink);
    reportCompletions(link);
}

void FeedReports::reportUsage(Link& link, bool evenIfUnchanged)
{
    auto report = m_events.localUsage();
    if (!evenIfUnchanged && report == m_lastUsage)
        return;
    Wire::LinkMessage message;
    message.__set_uses(toWire(report));
    m_lastUsage = std::move(report);
    link.send(message);
}

void FeedReports::reportCachedPrefixes(Link& link)
{
    const auto prefixes = m_events.takeLocalPrefixes();
    if (prefixes.empty())
        return;
    Wire::LinkMessage message;
    message.__set_keptPrompts(toWire(prefixes));
    link.send(message);
}

void FeedReports::reportPromptEvidence(Link& link, bool isNewLink)
{
    const auto evidence = m_events.takePromptEvidence(isNewLink);
    if (evidence.isEmpty())
        return;
    Wire::LinkMessage message;
    message.__set_promptEvidence(toWire(evidence));
    link.send(message);
}

void FeedReports::reportLimits(Link& link, bool isNewLink)
{
    const auto report = m_events.takeLimitReport(isNewLink);
    if (report.isEmpty())
        return;
    Wire::LinkMessage message;
    message.__set_limitReport(toWire(report));
    link.send(message);
}

void FeedReports::reportForProvider(Link& link, bool isNewLink)
{
    if (auto starts = m_events.takeStarts(isNewLink)) {
        Wire::LinkMessage message;
        message.__set_startReport(toWire(StartReport { .counts = { std::move(*starts) }, .passOnTo = {} }));
        link.send(message);
    }
    if (const auto demand = m_events.takeDemand(isNewLink)) {
        Wire::LinkMessage message;
        message.__set_demandReport(toWire(*demand));
        link.send(message);
    }
}

void FeedReports::reportCompletions(Link& link)
{
    const auto now = monotonicNow();
    if (now - m_completionsSentAt < completionsInterval)
        return;
    const auto completions = m_events.takeCompletions();
    if (completions.empty())
        return;
    m_completionsSentAt = now;
    Wire::LinkMessage message;
    message.__set_admissionReport(toWire(completions));
    link.send(message);
}

} // namespace HickoryHollow
