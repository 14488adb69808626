#include "soak/StreamLedger.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <regex>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

// The bounds of the users' rules.
constexpr auto contactTime = 3s; // After a disturbance, until the rules count an instance again.
constexpr auto configurationTime = 3s; // `config-apply-ms` and 1 s, from the acknowledgement.
constexpr int countedShare = 7; // Tenths of its time after which a cut beside a configuration does not count.
constexpr std::size_t excessRuns = 3; // Attempts that may run more often than their route allows.
constexpr std::size_t fewDenials = 5;
constexpr std::size_t requestsPerDenial = 500;
constexpr auto leavingTime = 400ms;
constexpr auto leavingRoom = 100ms; // Until the close was noticed here; on a busy machine, more.
constexpr int latenessFactor = 4; // The instance and this process may each be late by more than was measured once.

constexpr unsigned ok = 200;

const char* toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Running:
        return "still runs";
    case RunEnd::Whole:
        return "whole";
    case RunEnd::BrokenOff:
        return "broken off by the server";
    case RunEnd::Left:
        return "left";
    }
    return "?";
}

const char* describeEnd(const StreamTry& it)
{
    if (it.wasLeft)
        return " (left by the caller)";
    return it.hasHead && it.status == 0 ? " (cut)" : "";
}

bool isDenial(unsigned status)
{
    return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
}

} // namespace

struct StreamLedger::Counts {
    std::map<unsigned, int> statuses;
    std::map<std::string, int> cuts;
    std::size_t tries = 0;
    std::size_t besideConfigurations = 0; // Tries that ended there.
    std::size_t whole = 0;
    std::size_t takenUp = 0;
    std::size_t goneOn = 0; // Of those taken up.
    std::size_t left = 0; // By their caller.
    std::size_t resumedRuns = 0; // Runs that went on behind another run of the same attempt.
    std::size_t excessRuns = 0;
    std::size_t denials = 0;
    std::chrono::milliseconds latestLeft {};
};

std::string streamPiece(const std::string& stream, const std::string& version, int number, std::size_t bytes)
{
    auto text = fmt::format("id: {}\ndata: {} {} {} ", number, stream, version, number);
    text.resize(std::max(text.size(), bytes), '.');
    return text + "\n\n";
}

std::size_t StreamLedger::beginRun(const std::string& attempt, const std::string& start, const std::string& version, bool isNewVersion, int after)
{
    const std::lock_guard guard(m_mutex);
    m_runs.push_back({ .attempt = attempt, .start = start, .version = version, .isNewVersion = isNewVersion, .after = after, .written = after, .silences = {}, .beganAt = Clock::now() });
    m_runsByAttempt.emplace(attempt, m_runs.size() - 1);
    return m_runs.size() - 1;
}

void StreamLedger::recordStart(const std::string& start)
{
    const std::lock_guard guard(m_mutex);
    m_starts.emplace(start, Clock::now());
}

void StreamLedger::recordAnnounced(const std::string& start)
{
    const std::lock_guard guard(m_mutex);
    m_announcements.emplace(start, Clock::now());
}

void StreamLedger::recordWritten(std::size_t run, int piece)
{
    const std::lock_guard guard(m_mutex);
    m_runs.at(run).written = piece;
}

void StreamLedger::recordUnframed(std::size_t run)
{
    const std::lock_guard guard(m_mutex);
    m_runs.at(run).isUnframed = true;
}

void StreamLedger::recordSilence(std::size_t run, std::chrono::milliseconds length)
{
    const std::lock_guard guard(m_mutex);
    m_runs.at(run).silences.emplace_back(Clock::now(), length);
}

void StreamLedger::recordEnd(std::size_t run, RunEnd end)
{
    const std::lock_guard guard(m_mutex);
    auto& ended = m_runs.at(run);
    if (ended.end != RunEnd::Running)
        return;
    ended.end = end;
    ended.endedAt = Clock::now();
}

void StreamLedger::recordRefusal(const std::string& attempt, const std::string& start, unsigned status)
{
    const std::lock_guard guard(m_mutex);
    m_refusals.emplace(attempt, fmt::format("{} by {} at {:.3f} s", status, start, std::chrono::duration<double>(Clock::now() - m_startedAt).count()));
}

void StreamLedger::recordStream(const std::string& stream, std::size_t bytes, std::vector<StreamTry> tries)
{
    const std::lock_guard guard(m_mutex);
    m_streams[stream] = { .bytes = bytes, .tries = std::move(tries) };
}

void StreamLedger::beginDisturbance(int entry, Clock::time_point from)
{
    const std::lock_guard guard(m_mutex);
    m_disturbances.emplace(entry, Span { from, Clock::time_point::max() });
}

void StreamLedger::endDisturbance(int entry)
{
    const std::lock_guard guard(m_mutex);
    const auto [begin, end] = m_disturbances.equal_range(entry);
    for (auto it = begin; it != end; ++it)
        it->second.second = std::min(it->second.second, Clock::now() + contactTime);
}

void StreamLedger::recordLateness(std::chrono::milliseconds lateness)
{
    const std::lock_guard guard(m_mutex);
    m_lateness = std::max(m_lateness, lateness);
}

void StreamLedger::recordConfiguration(Clock::time_point sentAt, Clock::time_point acknowledgedAt)
{
    const std::lock_guard guard(m_mutex);
    m_configurations.emplace_back(sentAt, acknowledgedAt + configurationTime);
}

bool StreamLedger::isDisturbed(int entry, Clock::time_point from, Clock::time_point until) const
{
    const auto [begin, end] = m_disturbances.equal_range(entry);
    return std::any_of(begin, end, [&](const auto& it) { return it.second.first <= until && from <= it.second.second; });
}

bool StreamLedger::isBesideConfiguration(const StreamTry& it) const
{
    return std::any_of(m_configurations.begin(), m_configurations.end(), [&](const auto& span) { return span.first <= it.endedAt && it.endedAt <= span.second; });
}

std::vector<const StreamLedger::Run*> StreamLedger::runsOf(const std::string& attempt) const
{
    std::vector<const Run*> runs;
    const auto [begin, end] = m_runsByAttempt.equal_range(attempt);
    for (auto it = begin; it != end; ++it)
        runs.push_back(&m_runs[it->second]);
    return runs;
}

// Each piece that the caller kept once and in order, all by one version, and a proper end only behind the last one. What a cut left of a piece
// is the beginning of the piece that is due.
std::optional<std::string> StreamLedger::findFault(const std::string& name, const Stream& stream)
{
    auto last = 0;
    std::string version;
    for (const auto& it : stream.tries) {
        // A further try of a stream of which nothing had come begins anew.
        if (it.after + it.dropped != last)
            return fmt::format("{} was sent after piece {} with {} dropped, but {} had come", it.attempt, it.after, it.dropped, last);
        last = it.after;
        if (!it.hasHead || (it.status != ok && it.status != 0))
            continue;
        std::size_t at = 0;
        for (auto end = it.body.find("\n\n"); end != std::string::npos; end = it.body.find("\n\n", at)) {
            const auto piece = it.body.substr(at, end + 2 - at);
            at = end + 2;
            const auto data = piece.find("data: " + name + " ");
            const auto versionAt = data == std::string::npos ? data : data + 7 + name.size();
            const auto found = versionAt == std::string::npos ? std::string() : piece.substr(versionAt, piece.find(' ', versionAt) - versionAt);
            if (version.empty())
                version = found;
            if (found != version)
                return fmt::format("{} has a piece of version `{}` behind one of `{}` after piece {}", it.attempt, found, version, last);
            if (piece != streamPiece(name, version, last + 1, stream.bytes))
                return fmt::format("{} has another piece than {}: `{}`, {} bytes", it.attempt, last + 1, piece.substr(0, piece.find('\n')), piece.size());
            ++last;
        }
        const auto rest = it.body.substr(at);
        const auto due = version.empty() ? fmt::format("id: 1\ndata: {} ", name) : streamPiece(name, version, last + 1, stream.bytes);
        if (!due.starts_with(rest) && !(version.empty() && rest.starts_with(due)))
            return fmt::format("{} ends with bytes of no piece behind {}", it.attempt, last);
        if (it.status == ok && last != piecesPerStream)
            return fmt::format("{} has a proper end after piece {} of {}", it.attempt, last, piecesPerStream);
        if (it.status == ok && !rest.empty())
            return fmt::format("{} has a proper end inside a piece", it.attempt);
    }
    return {};
}

std::string StreamLedger::causeOfCut(const StreamTry& it, const IsRelayed& isRelayed) const
{
    const auto runs = runsOf(it.attempt);
    if (!it.hasHead && runs.empty())
        return "not passed on";
    if (isDisturbed(it.entry, it.sentAt, it.endedAt))
        return "the instance was paused or at the end of a stop";
    if (std::any_of(runs.begin(), runs.end(), [](const auto* run) { return run->end == RunEnd::BrokenOff; }))
        return "a server crashed or broke off";
    if (std::any_of(runs.begin(), runs.end(), [](const auto* run) { return run->isNewVersion && run->after > 0; }))
        return "a server had just come back as another version";
    if ((it.endedAt - it.sentAt) * 10 >= it.limit * countedShare)
        return "most of its time had passed";
    if (std::any_of(m_disturbances.begin(), m_disturbances.end(), [&](const auto& other) { return isDisturbed(other.first, it.sentAt, it.endedAt) && isRelayed(it, other.first); }))
        return "another instance on its way was paused or at the end of a stop";
    return isBesideConfiguration(it) ? "!beside a configuration" : "!at other times";
}

void StreamLedger::checkRuns(const std::string& name, const Stream& stream, Counts& counts, GuaranteeChecker& checker) const
{
    for (const auto& it : stream.tries) {
        const auto runs = runsOf(it.attempt);
        const auto ended = static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [](const auto* run) { return run->end == RunEnd::BrokenOff; }));
        if (runs.size() - ended > static_cast<std::size_t>(it.maxAttempts)) {
            ++counts.excessRuns;
            std::cout << fmt::format("{} ran {} times, allowed {}\n{}", it.attempt, runs.size() - ended, it.maxAttempts, describe(name, stream));
        }
        if (runs.size() > 1)
            counts.resumedRuns += runs.size() - 1;
        for (std::size_t i = 1; i < runs.size(); ++i) {
            const auto& before = *runs[i - 1];
            const auto& next = *runs[i];
            if (before.end == RunEnd::Running || next.end == RunEnd::Running || isDisturbed(it.entry, it.sentAt, it.endedAt))
                continue;
            const auto both = std::chrono::duration_cast<std::chrono::milliseconds>(std::min(before.endedAt, next.endedAt) - next.beganAt);
            counts.latestLeft = std::max(counts.latestLeft, both);
            if (both > leavingTime + std::max<std::chrono::milliseconds>(leavingRoom, m_lateness * latenessFactor))
                checker.recordViolation("a server is left once another one runs its stream", fmt::format("{} ran at two servers for {} ms\n{}", it.attempt, both.count(), describe(name, stream)));
        }
    }
}

std::string StreamLedger::describe(const std::string& name, const Stream& stream) const
{
    const auto seconds = [this](Clock::time_point at) { return std::chrono::duration<double>(at - m_startedAt).count(); };
    static const std::regex pieceId("id: ([0-9]+)\n");
    auto text = fmt::format("  stream {}\n", name);
    for (const auto& it : stream.tries) {
        std::string numbers;
        for (std::sregex_iterator piece(it.body.begin(), it.body.end(), pieceId), end; piece != end; ++piece)
            numbers += ' ' + (*piece)[1].str();
        text += fmt::format("  caller: {} at entry instance {} after piece {}, {:.3f} to {:.3f} s, status {}{}, pieces{}\n", it.attempt, it.entry, it.after, seconds(it.sentAt), seconds(it.endedAt), it.status, describeEnd(it), numbers);
        for (const auto* run : runsOf(it.attempt)) {
            const auto startedAt = m_starts.find(run->start);
            const auto announcedAt = m_announcements.find(run->start);
            const auto age = startedAt == m_starts.end() ? std::string("lost") : fmt::format("started at {:.3f} s, announced {}", seconds(startedAt->second), announcedAt == m_announcements.end() ? std::string("never") : fmt::format("at {:.3f} s", seconds(announcedAt->second)));
            text += fmt::format("  server: {} {} ({}) after piece {} wrote up to {}, {:.3f} to {:.3f} s, {}{}", run->start, run->version, age, run->after, run->written, seconds(run->beganAt), run->end == RunEnd::Running ? 0 : seconds(run->endedAt), toString(run->end), run->isUnframed ? ", unframed" : "");
            for (const auto& [at, length] : run->silences)
                text += fmt::format(", silent for {} ms from {:.3f} s", length.count(), seconds(at));
            text += '\n';
        }
        const auto [begin, end] = m_refusals.equal_range(it.attempt);
        for (auto refusal = begin; refusal != end; ++refusal)
            text += fmt::format("  refused: {}\n", refusal->second);
    }
    return text;
}

std::vector<std::pair<std::string, int>> StreamLedger::check(GuaranteeChecker& checker, const IsRelayed& isRelayed) const
{
    const std::lock_guard guard(m_mutex);
    Counts counts;
    std::vector<std::pair<std::string, int>> faulty;
    for (const auto& [name, stream] : m_streams) {
        if (const auto fault = findFault(name, stream)) {
            for (const auto& it : stream.tries)
                faulty.emplace_back(it.attempt, it.entry);
            checker.recordViolation("streams are in order", fmt::format("{}\n{}", *fault, describe(name, stream)));
        }
        checkRuns(name, stream, counts, checker);
        for (const auto& it : stream.tries) {
            ++counts.tries;
            counts.besideConfigurations += isBesideConfiguration(it) ? 1 : 0;
            ++counts.statuses[it.status];
            counts.whole += it.status == ok ? 1 : 0;
            counts.denials += isDenial(it.status) && !isDisturbed(it.entry, it.sentAt, it.endedAt) ? 1 : 0;
            counts.takenUp += it.after > 0 ? 1 : 0;
            counts.goneOn += it.after > 0 && (it.status == ok || (it.status == 0 && !it.body.empty())) ? 1 : 0;
            counts.left += it.wasLeft ? 1 : 0;
            if (it.status != 0 || it.wasLeft)
                continue;
            const auto cause = causeOfCut(it, isRelayed);
            ++counts.cuts[cause];
            if (!cause.starts_with('!'))
                continue;
            // The users' rule LOST allows none around a stop, and beside a configuration three times as many as at other times, when nothing
            // here excuses one either.
            faulty.emplace_back(it.attempt, it.entry);
            checker.recordViolation("no stream is cut without a reason", fmt::format("{} ({})\n{}", it.attempt, cause.substr(1), describe(name, stream)));
        }
    }
    std::cout << fmt::format("streams: {}, {} tries, {} whole, {} left by their callers, {} taken up of which {} went on; {} runs, {} behind another one of their attempt, both ran for {} ms at most, event loop late by {} ms\n", m_streams.size(), counts.tries, counts.whole, counts.left, counts.takenUp, counts.goneOn, m_runs.size(), counts.resumedRuns, counts.latestLeft.count(), m_lateness.count());
    for (const auto& [status, n] : counts.statuses)
        std::cout << fmt::format("  status {}: {}\n", status, n);
    for (const auto& [cause, n] : counts.cuts)
        std::cout << fmt::format("  cut, {}: {}\n", cause, n);
    std::cout << fmt::format("  {} of {} tries ended beside a configuration\n", counts.besideConfigurations, counts.tries);
    if (counts.excessRuns > excessRuns)
        checker.recordViolation("attempts run no more often than their route allows", fmt::format("{} did, {} allowed", counts.excessRuns, excessRuns));
    if (counts.denials > fewDenials + counts.tries / requestsPerDenial)
        checker.recordViolation("valid requests are not denied", fmt::format("{} of {} tries were", counts.denials, counts.tries));
    return faulty;
}

} // namespace HickoryHollow::Soak
