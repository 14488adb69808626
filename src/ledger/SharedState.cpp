#include "ledger/SharedState.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::size_t claimOverheadBytes = 400; // Memory of the container nodes that hold one claim.

std::size_t estimatedBytes(const WorkId& work, const SharedState::Claim& claim)
{
    return claimOverheadBytes + 2 * (work.workspace.value().size() + work.service.value().size() + work.key.value().size()) + claim.requestDigest.size() + claim.answer.body.size();
}

} // namespace

SharedState::SharedState(LedgerLimits limits)
    : m_limits(limits)
{
}

CommandOutcome SharedState::apply(const LedgerCommand& command, std::uint64_t index)
{
    m_time = std::max(m_time, command.time);
    expireClaims();
    return std::visit(
        [this, index](const auto& body) -> CommandOutcome {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, SubmitSettings>)
                return submit(body);
            else if constexpr (std::is_same_v<Body, ClaimWork>)
                return claim(body);
            else if constexpr (std::is_same_v<Body, CompleteWork>)
                return complete(body);
            else if constexpr (std::is_same_v<Body, AbandonOwner>)
                return abandon(body);
            else if constexpr (std::is_same_v<Body, RoutingDocument>)
                return replaceRouting(body);
            else if constexpr (std::is_same_v<Body, TakeDuties>)
                return takeDuties(body, index);
            else if constexpr (std::is_same_v<Body, FixUsage>)
                return fixUsage(body);
            else if constexpr (std::is_same_v<Body, UsageSent>) {
                m_usage.unsent.erase(body.window);
                return NoOutcome {};
            } else
                return NoOutcome {};
        },
        command.body);
}

CommandOutcome SharedState::submit(const SubmitSettings& change)
{
    const auto recorded = m_outcomes.find(change.change);
    if (recorded != m_outcomes.end())
        return recorded->second;
    if (change.expected != m_settings.version) {
        const SubmitOutcome rejected { .isAccepted = false, .version = m_settings.version, .author = m_settings.author };
        recordOutcome(change.change, rejected);
        return rejected;
    }
    m_settings = { .version = SettingsVersion(m_settings.version.value() + 1), .author = change.author, .inventory = change.inventory, .rules = change.rules };
    const SubmitOutcome accepted { .isAccepted = true, .version = m_settings.version, .author = change.author };
    recordOutcome(change.change, accepted);
    return accepted;
}

CommandOutcome SharedState::replaceRouting(const RoutingDocument& document)
{
    if (document.version > m_routing.version)
        m_routing = document;
    return RoutingOutcome { .version = m_routing.version };
}

CommandOutcome SharedState::takeDuties(const TakeDuties& command, std::uint64_t index)
{
    m_duties = { .holder = command.holder, .incarnation = command.incarnation, .token = FencingToken(index), .since = m_time };
    return NoOutcome {};
}

CommandOutcome SharedState::fixUsage(const FixUsage& command)
{
    // A replica that was restored from the snapshot of a build without duties knows neither holder nor windows. It follows what the
    // others fix, whose counts they keep, so that it goes on from there if it becomes the holder.
    const auto knowsHolder = m_duties.token.value() > 0;
    if ((knowsHolder && command.token != m_duties.token) || command.counts.window <= m_usage.newestFixed)
        return NoOutcome {};
    const auto isFirst = m_usage.newestFixed.value() == 0;
    if (command.isStart && !isFirst)
        return NoOutcome {}; // The holder lacks the windows that are fixed here. The counts of this one are empty.
    m_usage.newestFixed = command.counts.window;
    if (isFirst || !knowsHolder)
        return NoOutcome {};
    m_usage.unsent.emplace(command.counts.window, command.counts);
    if (m_usage.unsent.size() > m_limits.maxUnsentWindows)
        m_usage.unsent.erase(m_usage.unsent.begin());
    return NoOutcome {};
}

void SharedState::recordOutcome(const ChangeId& change, const SubmitOutcome& outcome)
{
    m_outcomes[change] = outcome;
    m_changes.push_back({ .change = change, .outcome = outcome });
    if (m_changes.size() <= m_limits.maxRememberedChanges)
        return;
    m_outcomes.erase(m_changes.front().change);
    m_changes.pop_front();
}

CommandOutcome SharedState::claim(const ClaimWork& request)
{
    const auto it = m_claims.find(request.work);
    if (it == m_claims.end()) {
        Claim claim { .requestDigest = request.requestDigest, .claimant = request.claimant, .state = Claim::State::InProgress, .answer = {}, .since = m_time };
        const auto bytes = estimatedBytes(request.work, claim) + m_limits.maxAnswerBytes;
        if (m_claimBytes + bytes > m_limits.maxClaimBytes)
            return ClaimOutcome { .kind = ClaimOutcome::Kind::LedgerFull, .answer = {} };
        m_claimBytes += estimatedBytes(request.work, claim);
        m_inProgressBySince.emplace(claim.since, request.work);
        m_claims.emplace(request.work, std::move(claim));
        return ClaimOutcome { .kind = ClaimOutcome::Kind::Granted, .answer = {} };
    }
    const auto& claim = it->second;
    if (claim.requestDigest != request.requestDigest)
        return ClaimOutcome { .kind = ClaimOutcome::Kind::OtherRequest, .answer = {} };
    switch (claim.state) {
    case Claim::State::Answered:
        return ClaimOutcome { .kind = ClaimOutcome::Kind::Answered, .answer = claim.answer };
    case Claim::State::OutcomeUnknown:
        return ClaimOutcome { .kind = ClaimOutcome::Kind::OutcomeUnknown, .answer = {} };
    case Claim::State::InProgress:
        break;
    }
    // The claimant may propose its claim again after its first outcome was lost.
    const auto isSameClaim = claim.claimant == request.claimant;
    return ClaimOutcome { .kind = isSameClaim ? ClaimOutcome::Kind::Granted : ClaimOutcome::Kind::InProgress, .answer = {} };
}

CommandOutcome SharedState::complete(const CompleteWork& request)
{
    const auto it = m_claims.find(request.work);
    if (it == m_claims.end() || it->second.claimant != request.claimant || it->second.state == Claim::State::Answered)
        return NoOutcome {};
    auto& claim = it->second;
    if (request.verdict == Verdict::NotRun && claim.state == Claim::State::InProgress) {
        erase(it);
        return NoOutcome {};
    }
    if (request.verdict != Verdict::Ran) {
        setState(request.work, claim, Claim::State::OutcomeUnknown);
        return NoOutcome {};
    }
    m_claimBytes -= estimatedBytes(request.work, claim);
    claim.answer = request.answer;
    if (claim.answer.body.size() > m_limits.maxAnswerBytes) {
        claim.answer.body.clear();
        claim.answer.isBodyRecorded = false;
    }
    m_claimBytes += estimatedBytes(request.work, claim);
    setState(request.work, claim, Claim::State::Answered);
    return NoOutcome {};
}

CommandOutcome SharedState::abandon(const AbandonOwner& request)
{
    std::vector<WorkId> abandoned;
    for (const auto& [since, work] : m_inProgressBySince) {
        const auto& claimant = m_claims.at(work).claimant;
        if (claimant.instance == request.instance && claimant.incarnation < request.before)
            abandoned.push_back(work);
    }
    for (const auto& work : abandoned)
        setState(work, m_claims.at(work), Claim::State::OutcomeUnknown);
    return NoOutcome {};
}

void SharedState::setState(const WorkId& work, Claim& claim, Claim::State state)
{
    auto& oldIndex = claim.state == Claim::State::InProgress ? m_inProgressBySince : m_finishedBySince;
    oldIndex.erase({ claim.since, work });
    claim.state = state;
    claim.since = m_time;
    auto& newIndex = state == Claim::State::InProgress ? m_inProgressBySince : m_finishedBySince;
    newIndex.emplace(m_time, work);
}

void SharedState::erase(std::map<WorkId, Claim>::iterator it)
{
    auto& index = it->second.state == Claim::State::InProgress ? m_inProgressBySince : m_finishedBySince;
    index.erase({ it->second.since, it->first });
    m_claimBytes -= estimatedBytes(it->first, it->second);
    m_claims.erase(it);
}

void SharedState::expireClaims()
{
    const auto isExpired = [this](LedgerTime since, std::uint64_t retention) { return since.value() + retention < m_time.value(); };
    while (!m_inProgressBySince.empty() && isExpired(m_inProgressBySince.begin()->first, m_limits.inProgressTimeoutMilliseconds)) {
        const auto work = m_inProgressBySince.begin()->second;
        setState(work, m_claims.at(work), Claim::State::OutcomeUnknown);
    }
    while (!m_finishedBySince.empty() && isExpired(m_finishedBySince.begin()->first, m_limits.finishedRetentionMilliseconds))
        erase(m_claims.find(m_finishedBySince.begin()->second));
}

void SharedState::restore(Settings settings, std::map<WorkId, Claim> claims, std::deque<RememberedChange> changes, LedgerTime time, RoutingDocument routing, Duties duties, Usage usage)
{
    m_duties = std::move(duties);
    m_usage = std::move(usage);
    m_routing = std::move(routing);
    m_settings = std::move(settings);
    m_claims = std::move(claims);
    m_changes = std::move(changes);
    m_time = time;
    m_outcomes.clear();
    m_inProgressBySince.clear();
    m_finishedBySince.clear();
    m_claimBytes = 0;
    for (const auto& it : m_changes)
        m_outcomes[it.change] = it.outcome;
    for (const auto& [work, claim] : m_claims) {
        m_claimBytes += estimatedBytes(work, claim);
        (claim.state == Claim::State::InProgress ? m_inProgressBySince : m_finishedBySince).emplace(claim.since, work);
    }
}

} // namespace HickoryHollow
