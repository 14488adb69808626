#include "duties/DutyPolicy.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// The result of a proposal may be known before the state that it led to.
constexpr Duration takeRepeatDelay = std::chrono::milliseconds(200);
// A provider that has seen the tokens of another deployment refuses all of this one's; a new token then helps nothing.
constexpr Duration minRetakeDelay = std::chrono::milliseconds(200);
constexpr Duration maxRetakeDelay = std::chrono::seconds(60);

} // namespace

std::string toString(const DutySubject& subject)
{
    return subject.service.value().empty() ? "usage" : subject.service.value() + "/" + subject.domain.value();
}

DutyPolicy::DutyPolicy(Options options)
    : m_options(std::move(options))
{
}

void DutyPolicy::update(const DutyState& state, TimePoint now)
{
    const auto wasLeading = leads(now) && m_state.term == state.term;
    if (state.duties.token != m_state.duties.token)
        m_superseded.clear();
    m_state = state;
    if (!isHolder())
        m_heldSince.reset();
    else if (!m_heldSince)
        m_heldSince = now;
    if (!leads(now))
        m_ledSince.reset();
    else if (!wasLeading)
        m_ledSince = now;
}

std::optional<FencingToken> DutyPolicy::token(TimePoint now) const
{
    return leads(now) && isHolder() ? std::optional(m_state.duties.token) : std::nullopt;
}

std::optional<FencingToken> DutyPolicy::tokenFor(const DutySubject& subject, TimePoint now) const
{
    return m_superseded.contains(subject) ? std::nullopt : token(now);
}

Duration DutyPolicy::ledFor(TimePoint now) const
{
    return leads(now) && m_ledSince ? now - *m_ledSince : Duration::zero();
}

bool DutyPolicy::shouldTake(TimePoint now) const
{
    if (!leads(now) || m_isTaking || now < m_takeAgainAt)
        return false;
    if (isHolder())
        return !m_superseded.empty() && now >= m_retakeAt;
    // A former process of this instance made the last calls, or nobody made any: the duties change no hands.
    if (m_state.duties.holder == m_options.self || m_state.duties.holder.value().empty())
        return true;
    return ledFor(now) >= m_options.lease;
}

void DutyPolicy::takeAnswered(TimePoint now)
{
    m_isTaking = false;
    m_takeAgainAt = now + takeRepeatDelay;
}

void DutyPolicy::supersede(const DutySubject& subject, FencingToken token, TimePoint now)
{
    // An answer to a call with a former token says nothing about the present one.
    if (token != m_state.duties.token || !m_superseded.insert(subject).second || m_superseded.size() > 1)
        return;
    const auto isRepeated = m_supersededAt != TimePoint {} && now - m_supersededAt < 2 * maxRetakeDelay;
    m_retakeDelay = isRepeated ? std::min(2 * m_retakeDelay, maxRetakeDelay) : minRetakeDelay;
    m_supersededAt = now;
    m_retakeAt = now + m_retakeDelay;
}

} // namespace HickoryHollow
