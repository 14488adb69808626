#include "wire/LedgerCodec.h"

#include "wire/Signed.h"
#include "wire/ThriftCodec.h"
#include "wire/WireEnum.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

namespace {

Wire::WorkId workToWire(const WorkId& work)
{
    Wire::WorkId wire;
    wire.workspace = work.workspace.value();
    wire.serviceName = work.service.value();
    wire.key = work.key.value();
    return wire;
}

WorkId workFromWire(const Wire::WorkId& wire)
{
    return { .workspace = WorkspaceId(wire.workspace), .service = ServiceId(wire.serviceName), .key = IdempotencyKey(wire.key) };
}

Wire::Claimant claimantToWire(const Claimant& claimant)
{
    Wire::Claimant wire;
    wire.instance = claimant.instance.value();
    wire.incarnation = toSigned(claimant.incarnation.value());
    wire.sequence = toSigned(claimant.sequence);
    return wire;
}

Claimant claimantFromWire(const Wire::Claimant& wire)
{
    return { .instance = InstanceId(wire.instance), .incarnation = Incarnation(toUnsigned(wire.incarnation)), .sequence = toUnsigned(wire.sequence) };
}

Wire::RecordedAnswer answerToWire(const RecordedAnswer& answer)
{
    Wire::RecordedAnswer wire;
    wire.status = static_cast<std::int32_t>(answer.status);
    wire.contentType = answer.contentType;
    wire.body = answer.body;
    wire.isKept = answer.isBodyRecorded;
    return wire;
}

RecordedAnswer answerFromWire(const Wire::RecordedAnswer& wire)
{
    return { .status = static_cast<std::uint32_t>(wire.status), .contentType = wire.contentType, .body = wire.body, .isBodyRecorded = wire.isKept };
}

Wire::SubmitOutcome submitOutcomeToWire(const SubmitOutcome& outcome)
{
    Wire::SubmitOutcome wire;
    wire.isAccepted = outcome.isAccepted;
    wire.version = toSigned(outcome.version.value());
    wire.author = outcome.author;
    return wire;
}

SubmitOutcome submitOutcomeFromWire(const Wire::SubmitOutcome& wire)
{
    return { .isAccepted = wire.isAccepted, .version = SettingsVersion(toUnsigned(wire.version)), .author = wire.author };
}

/** Visitor that sets the field of the union that belongs to the command's type. */
Wire::UsageCounts usageToWire(const UsageCounts& counts)
{
    Wire::UsageCounts wire;
    wire.window = toSigned(counts.window.value());
    for (const auto& [workspace, starts] : counts.starts)
        wire.starts.emplace(workspace.value(), toSigned(starts));
    return wire;
}

UsageCounts usageFromWire(const Wire::UsageCounts& wire)
{
    UsageCounts counts { .window = UsageWindow(toUnsigned(wire.window)), .starts = {} };
    for (const auto& [workspace, starts] : wire.starts)
        counts.starts.emplace(workspace, toUnsigned(starts));
    return counts;
}

struct CommandBodyToWire {
    Wire::CommandBody& wire;

    void operator()(const SubmitSettings& it) const
    {
        Wire::SubmitSettings encoded;
        encoded.change = it.change.value();
        encoded.author = it.author;
        encoded.expected = toSigned(it.expected.value());
        encoded.inventory = it.inventory;
        encoded.rules = it.rules;
        wire.__set_submitSettings(encoded);
    }

    void operator()(const ClaimWork& it) const
    {
        Wire::ClaimWork encoded;
        encoded.work = workToWire(it.work);
        encoded.requestDigest = it.requestDigest;
        encoded.claimant = claimantToWire(it.claimant);
        wire.__set_claimWork(encoded);
    }

    void operator()(const CompleteWork& it) const
    {
        Wire::CompleteWork encoded;
        encoded.work = workToWire(it.work);
        encoded.claimant = claimantToWire(it.claimant);
        encoded.verdict = static_cast<std::int32_t>(it.verdict);
        encoded.answer = answerToWire(it.answer);
        wire.__set_completeWork(encoded);
    }

    void operator()(const AbandonOwner& it) const
    {
        Wire::AbandonOwner encoded;
        encoded.instance = it.instance.value();
        encoded.before = toSigned(it.before.value());
        wire.__set_abandonOwner(encoded);
    }

    void operator()(const RoutingDocument& it) const { wire.__set_submitRouting(toWire(it)); }
    void operator()(const AdvanceTime&) const { wire.__set_advanceTime({}); }

    // A build that does not know the commands below applies them as AdvanceTime.
    void operator()(const TakeDuties& it) const
    {
        Wire::TakeDuties encoded;
        encoded.holder = it.holder.value();
        encoded.incarnation = toSigned(it.incarnation.value());
        wire.__set_takeDuties(encoded);
        wire.__set_advanceTime({});
    }

    void operator()(const FixUsage& it) const
    {
        Wire::FixUsage encoded;
        encoded.counts = usageToWire(it.counts);
        encoded.token = toSigned(it.token.value());
        if (it.isStart)
            encoded.__set_isStart(true);
        wire.__set_fixUsage(encoded);
        wire.__set_advanceTime({});
    }

    void operator()(const UsageSent& it) const
    {
        Wire::UsageSent encoded;
        encoded.window = toSigned(it.window.value());
        wire.__set_usageSent(encoded);
        wire.__set_advanceTime({});
    }
};

Wire::Claim claimToWire(const WorkId& work, const SharedState::Claim& claim)
{
    Wire::Claim wire;
    wire.work = workToWire(work);
    wire.requestDigest = claim.requestDigest;
    wire.claimant = claimantToWire(claim.claimant);
    wire.state = static_cast<std::int32_t>(claim.state);
    wire.answer = answerToWire(claim.answer);
    wire.since = toSigned(claim.since.value());
    return wire;
}

SharedState::Claim claimFromWire(const Wire::Claim& wire)
{
    return {
        .requestDigest = wire.requestDigest,
        .claimant = claimantFromWire(wire.claimant),
        .state = enumFromWire(wire.state, SharedState::Claim::State::OutcomeUnknown, SharedState::Claim::State::OutcomeUnknown),
        .answer = answerFromWire(wire.answer),
        .since = LedgerTime(toUnsigned(wire.since)),
    };
}

} // namespace

Wire::CommandBody toWire(const CommandBody& body)
{
    Wire::CommandBody wire;
    std::visit(CommandBodyToWire { wire }, body);
    return wire;
}

std::optional<CommandBody> fromWire(const Wire::CommandBody& wire)
{
    const auto& isset = wire.__isset;
    if (isset.submitSettings) {
        const auto& it = wire.submitSettings;
        return SubmitSettings { .change = ChangeId(it.change), .author = it.author, .expected = SettingsVersion(toUnsigned(it.expected)), .inventory = it.inventory, .rules = it.rules };
    }
    if (isset.claimWork) {
        const auto& it = wire.claimWork;
        return ClaimWork { .work = workFromWire(it.work), .requestDigest = it.requestDigest, .claimant = claimantFromWire(it.claimant) };
    }
    if (isset.completeWork) {
        const auto& it = wire.completeWork;
        return CompleteWork { .work = workFromWire(it.work), .claimant = claimantFromWire(it.claimant), .verdict = enumFromWire(it.verdict, Verdict::Ran, Verdict::MayHaveRun), .answer = answerFromWire(it.answer) };
    }
    if (isset.abandonOwner)
        return AbandonOwner { .instance = InstanceId(wire.abandonOwner.instance), .before = Incarnation(toUnsigned(wire.abandonOwner.before)) };
    if (isset.submitRouting)
        return fromWire(wire.submitRouting);
    if (isset.takeDuties)
        return TakeDuties { .holder = InstanceId(wire.takeDuties.holder), .incarnation = Incarnation(toUnsigned(wire.takeDuties.incarnation)) };
    if (isset.fixUsage)
        return FixUsage { .counts = usageFromWire(wire.fixUsage.counts), .token = FencingToken(toUnsigned(wire.fixUsage.token)), .isStart = wire.fixUsage.__isset.isStart && wire.fixUsage.isStart };
    if (isset.usageSent)
        return UsageSent { .window = UsageWindow(toUnsigned(wire.usageSent.window)) };
    if (isset.advanceTime)
        return AdvanceTime {};
    return std::nullopt;
}

Wire::CommandOutcome toWire(const CommandOutcome& outcome)
{
    Wire::CommandOutcome wire;
    if (const auto* submit = std::get_if<SubmitOutcome>(&outcome)) {
        wire.__set_submit(submitOutcomeToWire(*submit));
    } else if (const auto* claim = std::get_if<ClaimOutcome>(&outcome)) {
        Wire::ClaimOutcome encoded;
        encoded.kind = static_cast<std::int32_t>(claim->kind);
        encoded.answer = answerToWire(claim->answer);
        wire.__set_claim(encoded);
    } else if (const auto* routing = std::get_if<RoutingOutcome>(&outcome)) {
        Wire::RoutingOutcome encoded;
        encoded.version = toSigned(routing->version.value());
        wire.__set_routing(encoded);
    }
    return wire;
}

CommandOutcome fromWire(const Wire::CommandOutcome& wire)
{
    if (wire.__isset.submit)
        return submitOutcomeFromWire(wire.submit);
    if (wire.__isset.claim)
        return ClaimOutcome { .kind = enumFromWire(wire.claim.kind, ClaimOutcome::Kind::LedgerFull, ClaimOutcome::Kind::OutcomeUnknown), .answer = answerFromWire(wire.claim.answer) };
    if (wire.__isset.routing)
        return RoutingOutcome { .version = RoutingVersion(toUnsigned(wire.routing.version)) };
    return NoOutcome {};
}

Wire::RoutingDocument toWire(const RoutingDocument& document)
{
    Wire::RoutingDocument wire;
    wire.version = toSigned(document.version.value());
    wire.text = document.text;
    return wire;
}

RoutingDocument fromWire(const Wire::RoutingDocument& wire)
{
    return { .version = RoutingVersion(toUnsigned(wire.version)), .text = wire.text };
}

Wire::Settings toWire(const SharedState::Settings& settings)
{
    Wire::Settings wire;
    wire.version = toSigned(settings.version.value());
    wire.author = settings.author;
    wire.inventory = settings.inventory;
    wire.rules = settings.rules;
    return wire;
}

SharedState::Settings fromWire(const Wire::Settings& wire)
{
    return { .version = SettingsVersion(toUnsigned(wire.version)), .author = wire.author, .inventory = wire.inventory, .rules = wire.rules };
}

std::string encodeCommand(const LedgerCommand& command)
{
    Wire::Command wire;
    wire.time = toSigned(command.time.value());
    wire.body = toWire(command.body);
    return encodeThrift(wire);
}

std::optional<LedgerCommand> decodeCommand(std::string_view bytes)
{
    const auto wire = decodeThrift<Wire::Command>(bytes);
    if (!wire)
        return std::nullopt;
    auto body = fromWire(wire->body);
    if (!body)
        return std::nullopt;
    return LedgerCommand { .time = LedgerTime(toUnsigned(wire->time)), .body = std::move(*body) };
}

std::string encodeState(const SharedState& state)
{
    Wire::SharedState wire;
    wire.settings = toWire(state.settings());
    wire.time = toSigned(state.time().value());
    for (const auto& [work, claim] : state.claims())
        wire.claims.push_back(claimToWire(work, claim));
    for (const auto& it : state.changes()) {
        auto& encoded = wire.changes.emplace_back();
        encoded.change = it.change.value();
        encoded.outcome = submitOutcomeToWire(it.outcome);
    }
    wire.__set_routing(toWire(state.routing()));
    if (const auto& duties = state.duties(); !duties.holder.value().empty()) {
        Wire::DutyGrant grant;
        grant.holder = duties.holder.value();
        grant.incarnation = toSigned(duties.incarnation.value());
        grant.token = toSigned(duties.token.value());
        grant.since = toSigned(duties.since.value());
        wire.__set_duties(grant);
    }
    if (const auto& usage = state.usage(); usage.newestFixed.value() > 0) {
        Wire::UsageLedger ledger;
        ledger.newestFixed = toSigned(usage.newestFixed.value());
        for (const auto& [window, counts] : usage.unsent)
            ledger.unsent.push_back(usageToWire(counts));
        wire.__set_usage(ledger);
    }
    return encodeThrift(wire);
}

bool decodeState(std::string_view bytes, SharedState& state)
{
    const auto wire = decodeThrift<Wire::SharedState>(bytes);
    if (!wire)
        return false;
    std::map<WorkId, SharedState::Claim> claims;
    for (const auto& it : wire->claims)
        claims.emplace(workFromWire(it.work), claimFromWire(it));
    std::deque<SharedState::RememberedChange> changes;
    for (const auto& it : wire->changes)
        changes.push_back({ .change = ChangeId(it.change), .outcome = submitOutcomeFromWire(it.outcome) });
    SharedState::Duties duties;
    if (wire->__isset.duties)
        duties = { .holder = InstanceId(wire->duties.holder), .incarnation = Incarnation(toUnsigned(wire->duties.incarnation)), .token = FencingToken(toUnsigned(wire->duties.token)), .since = LedgerTime(toUnsigned(wire->duties.since)) };
    SharedState::Usage usage { .newestFixed = UsageWindow(toUnsigned(wire->usage.newestFixed)), .unsent = {} };
    for (const auto& it : wire->usage.unsent)
        usage.unsent.emplace(UsageWindow(toUnsigned(it.window)), usageFromWire(it));
    state.restore(fromWire(wire->settings), std::move(claims), std::move(changes), LedgerTime(toUnsigned(wire->time)), fromWire(wire->routing), std::move(duties), std::move(usage));
    return true;
}

} // namespace HickoryHollow
