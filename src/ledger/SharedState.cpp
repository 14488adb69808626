#include "ledger/SharedState.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::size_t claimOverhead = 400; // Nodes and indexes of one claim in memory.

std::size_t sizeOf(const WorkId& work, const SharedState::Claim& claim)
{
    return claimOverhead + 2 * (work.workspace.value().size() + work.service.value().size() + work.key.value().size()) + claim.requestDigest.size() + claim.answer.body.size();
}

} // namespace

SharedState::SharedState(LedgerLimits limits)
    : m_limits(limits)
{
}

CommandOutcome SharedState::apply(const LedgerCommand& command)
{
    m_time = std::max(m_time, command.time);
    expire();
    return std::visit(
        [this](const auto& body) -> CommandOutcome {
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
            else
                return NoOutcome {};
        },
        command.body);
}

CommandOutcome SharedState::submit(const SubmitSettings& change)
{
    const auto known = m_outcomes.find(change.change);
    if (known != m_outcomes.end())
        return known->second;
    if (change.expected != m_settings.version) {
        const SubmitOutcome lost { .isAccepted = false, .version = m_settings.version, .author = m_settings.author };
        remember(change.change, lost);
        return lost;
    }
    m_settings = { .version = SettingsVersion(m_settings.version.value() + 1), .author = change.author, .inventory = change.inventory, .rules = change.rules };
    const SubmitOutcome won { .isAccepted = true, .version = m_settings.version, .author = change.author };
    remember(change.change, won);
    return won;
}

CommandOutcome SharedState::replaceRouting(const RoutingDocument& document)
{
    if (document.version > m_routing.version)
        m_routing = document;
    return RoutingOutcome { .version = m_routing.version };
}

void SharedState::remember(const ChangeId& change, const SubmitOutcome& outcome)
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
        const auto bytes = sizeOf(request.work, claim) + m_limits.maxAnswerBytes;
        if (m_claimBytes + bytes > m_limits.maxClaimBytes)
            return ClaimOutcome { .kind = ClaimOutcome::Kind::LedgerFull, .answer = {} };
        m_claimBytes += sizeOf(request.work, claim);
        m_openBySince.emplace(claim.since, request.work);
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
    // The same claim proposed again, after its first outcome was lost on the way.
    const auto isSame = claim.claimant == request.claimant;
    return ClaimOutcome { .kind = isSame ? ClaimOutcome::Kind::Granted : ClaimOutcome::Kind::InProgress, .answer = {} };
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
    m_claimBytes -= sizeOf(request.work, claim);
    claim.answer = request.answer;
    if (claim.answer.body.size() > m_limits.maxAnswerBytes) {
        claim.answer.body.clear();
        claim.answer.isKept = false;
    }
    m_claimBytes += sizeOf(request.work, claim);
    setState(request.work, claim, Claim::State::Answered);
    return NoOutcome {};
}

CommandOutcome SharedState::abandon(const AbandonOwner& request)
{
    std::vector<WorkId> abandoned;
    for (const auto& [since, work] : m_openBySince) {
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
    auto& before = claim.state == Claim::State::InProgress ? m_openBySince : m_closedBySince;
    before.erase({ claim.since, work });
    claim.state = state;
    claim.since = m_time;
    auto& after = state == Claim::State::InProgress ? m_openBySince : m_closedBySince;
    after.emplace(m_time, work);
}

void SharedState::erase(std::map<WorkId, Claim>::iterator it)
{
    auto& index = it->second.state == Claim::State::InProgress ? m_openBySince : m_closedBySince;
    index.erase({ it->second.since, it->first });
    m_claimBytes -= sizeOf(it->first, it->second);
    m_claims.erase(it);
}

void SharedState::expire()
{
    const auto isPast = [this](LedgerTime since, std::uint64_t retention) { return since.value() + retention < m_time.value(); };
    while (!m_openBySince.empty() && isPast(m_openBySince.begin()->first, m_limits.openRetentionMilliseconds)) {
        const auto work = m_openBySince.begin()->second;
        setState(work, m_claims.at(work), Claim::State::OutcomeUnknown);
    }
    while (!m_closedBySince.empty() && isPast(m_closedBySince.begin()->first, m_limits.retentionMilliseconds))
        erase(m_claims.find(m_closedBySince.begin()->second));
}

void SharedState::restore(Settings settings, std::map<WorkId, Claim> claims, std::deque<RememberedChange> changes, LedgerTime time, RoutingDocument routing)
{
    m_routing = std::move(routing);
    m_settings = std::move(settings);
    m_claims = std::move(claims);
    m_changes = std::move(changes);
    m_time = time;
    m_outcomes.clear();
    m_openBySince.clear();
    m_closedBySince.clear();
    m_claimBytes = 0;
    for (const auto& it : m_changes)
        m_outcomes[it.change] = it.outcome;
    for (const auto& [work, claim] : m_claims) {
        m_claimBytes += sizeOf(work, claim);
        (claim.state == Claim::State::InProgress ? m_openBySince : m_closedBySince).emplace(claim.since, work);
    }
}

} // namespace HickoryHollow
