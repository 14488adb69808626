#include "cluster/ReplicatedStores.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace HickoryHollow {

namespace {

constexpr Duration claimTimeout = std::chrono::seconds(3);
constexpr Duration completeTimeout = std::chrono::seconds(1); // The caller's response is held back for this long at most.
constexpr Duration backgroundCompleteTimeout = std::chrono::minutes(4);
constexpr Duration submitTimeout = std::chrono::seconds(8);

WorkId workOf(const ClaimKey& key)
{
    return { .workspace = key.workspace, .service = key.service, .key = key.key };
}

ClaimResult resultOf(const ClaimOutcome& outcome, std::uint64_t ticket)
{
    ClaimResult result;
    result.ticket = ticket;
    switch (outcome.kind) {
    case ClaimOutcome::Kind::Granted:
        result.kind = ClaimResult::Kind::Granted;
        break;
    case ClaimOutcome::Kind::Answered:
        result.kind = outcome.answer.isBodyRecorded ? ClaimResult::Kind::Answered : ClaimResult::Kind::AnswerNotKept;
        result.answer.status = outcome.answer.status;
        result.answer.body = outcome.answer.body;
        if (!outcome.answer.contentType.empty())
            result.answer.fields.add("Content-Type", outcome.answer.contentType);
        break;
    case ClaimOutcome::Kind::InProgress:
        result.kind = ClaimResult::Kind::InProgress;
        break;
    case ClaimOutcome::Kind::OutcomeUnknown:
        result.kind = ClaimResult::Kind::OutcomeUnknown;
        break;
    case ClaimOutcome::Kind::OtherRequest:
        result.kind = ClaimResult::Kind::OtherRequest;
        break;
    case ClaimOutcome::Kind::LedgerFull:
        result.kind = ClaimResult::Kind::Unavailable;
        break;
    }
    return result;
}

} // namespace

ReplicatedLedger::ReplicatedLedger(asio::io_context& loop, StateClient& client, InstanceId self, Incarnation incarnation)
    : m_loop(loop)
    , m_client(client)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

Task<std::optional<CommandOutcome>> ReplicatedLedger::propose(CommandBody body, Duration timeout)
{
    auto task = m_client.propose(std::move(body), timeout);
    const auto [failure, outcome] = co_await asio::co_spawn(m_loop, std::move(task), asTuple);
    co_return outcome;
}

Task<ClaimResult> ReplicatedLedger::claim(const ClaimKey& key)
{
    const auto ticket = ++m_lastTicket;
    ClaimWork claim { .work = workOf(key), .requestDigest = key.requestDigest, .claimant = { .instance = m_self, .incarnation = m_incarnation, .sequence = ticket } };
    const auto outcome = co_await propose(claim, claimTimeout);
    if (outcome && std::holds_alternative<ClaimOutcome>(*outcome))
        co_return resultOf(std::get<ClaimOutcome>(*outcome), ticket);
    // The claim may still be committed. Nothing was sent to a backend server under it, so it is released as not run.
    completeInBackground({ .work = claim.work, .claimant = claim.claimant, .verdict = Verdict::NotRun, .answer = {} });
    co_return ClaimResult {};
}

Task<void> ReplicatedLedger::complete(const ClaimKey& key, std::uint64_t ticket, Verdict verdict, const HttpResponse& answer)
{
    CompleteWork completion;
    completion.work = workOf(key);
    completion.claimant.instance = m_self;
    completion.claimant.incarnation = m_incarnation;
    completion.claimant.sequence = ticket;
    completion.verdict = verdict;
    completion.answer.status = answer.status;
    completion.answer.contentType = std::string(answer.fields.find("Content-Type"));
    completion.answer.body = answer.body;
    const auto outcome = co_await propose(completion, completeTimeout);
    if (!outcome)
        completeInBackground(completion);
}

void ReplicatedLedger::completeInBackground(CompleteWork completion)
{
    asio::co_spawn(m_loop, m_client.propose(std::move(completion), backgroundCompleteTimeout), asio::detached);
}

ReplicatedSettingsStore::ReplicatedSettingsStore(asio::io_context& loop, StateClient& client)
    : m_loop(loop)
    , m_client(client)
{
}

Task<SettingsOutcome> ReplicatedSettingsStore::submit(const SettingsChange& change)
{
    SubmitSettings command;
    command.change = change.id;
    command.author = change.author;
    command.expected = change.expected;
    command.inventory = change.text.inventory;
    command.rules = change.text.rules;
    auto task = m_client.propose(std::move(command), submitTimeout);
    const auto [failure, outcome] = co_await asio::co_spawn(m_loop, std::move(task), asTuple);
    SettingsOutcome result;
    if (!outcome || !std::holds_alternative<SubmitOutcome>(*outcome))
        co_return result;
    const auto& submitted = std::get<SubmitOutcome>(*outcome);
    result.kind = submitted.isAccepted ? SettingsOutcome::Kind::Accepted : SettingsOutcome::Kind::Conflict;
    result.version = submitted.version;
    result.author = submitted.author;
    co_return result;
}

} // namespace HickoryHollow
