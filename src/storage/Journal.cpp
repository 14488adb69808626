#include "storage/Journal.h"

#include "base/Check.h"
#include "storage/Frame.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view logPrefix = "log-";
constexpr std::string_view temporarySnapshotName = "snapshot.tmp";

class JournalErrorCategory final : public std::error_category {
public:
    const char* name() const noexcept override { return "journal"; }
    std::string message(int value) const override
    {
        return value == static_cast<int>(JournalError::Damaged) ? "the journal is damaged: data that had been synced has changed" : "an earlier operation on the data folder failed; the journal accepts no writes";
    }
};

std::string fileName(std::string_view prefix, std::uint64_t generation)
{
    return fmt::format("{}{}", prefix, generation);
}

/** Returns the number behind `prefix`; nothing when the name is not `prefix` followed by a decimal number only. */
std::optional<std::uint64_t> parseGeneration(std::string_view name, std::string_view prefix)
{
    if (!name.starts_with(prefix))
        return std::nullopt;
    std::uint64_t generation = 0;
    const auto digits = name.substr(prefix.size());
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), generation);
    if (result.ec != std::errc() || result.ptr != digits.data() + digits.size())
        return std::nullopt;
    return generation;
}

} // namespace

std::error_code make_error_code(JournalError error)
{
    static const JournalErrorCategory category;
    return { static_cast<int>(error), category };
}

Journal::Journal(FileSystem& fileSystem)
    : m_fileSystem(fileSystem)
{
}

std::error_code Journal::markFailed(std::error_code ec)
{
    m_hasFailed = true;
    return ec;
}

std::error_code Journal::open(Recovered& recovered)
{
    recovered = {};
    std::vector<std::string> names;
    if (const auto ec = m_fileSystem.list(names))
        return markFailed(ec);
    std::uint64_t generation = 0;
    for (const auto& it : names)
        generation = std::max(generation, parseGeneration(it, snapshotPrefix).value_or(0));
    if (const auto ec = openGeneration(generation, recovered))
        return markFailed(ec);
    removeOldGenerations();
    m_hasFailed = false;
    return {};
}

std::error_code Journal::openGeneration(std::uint64_t generation, Recovered& recovered)
{
    m_isLogDurable = m_isLogDurable && generation == m_generation;
    m_generation = generation;
    if (generation > 0) {
        std::string bytes;
        if (const auto ec = m_fileSystem.read(fileName(snapshotPrefix, generation), bytes))
            return ec;
        // The file gets this name only after its contents are synced, so an invalid frame is damage and not a torn write.
        const auto payload = readFrame(bytes);
        if (!payload)
            return make_error_code(JournalError::Damaged);
        recovered.snapshot = std::string(*payload);
    }
    if (const auto ec = recoverLog(recovered))
        return ec;
    if (const auto ec = m_fileSystem.open(fileName(logPrefix, generation), m_log))
        return ec;
    // A killed process may have left complete frames that are in the page cache but not on disk. They count as recovered
    // from here on, so they must be durable.
    if (const auto ec = m_log->sync())
        return ec;
    m_isLogDurable = true;
    return m_fileSystem.syncFolder();
}

std::error_code Journal::recoverLog(Recovered& recovered)
{
    const auto name = fileName(logPrefix, m_generation);
    std::string bytes;
    const auto readEc = m_fileSystem.read(name, bytes);
    if (readEc == std::errc::no_such_file_or_directory) {
        m_logBytes = 0;
        return {};
    }
    if (readEc)
        return readEc;
    if (m_isLogDurable && bytes.size() > m_logBytes) {
        recovered.truncatedBytes = bytes.size() - m_logBytes;
        if (const auto ec = m_fileSystem.truncate(name, m_logBytes))
            return ec;
        bytes.resize(m_logBytes);
    }
    auto rest = std::string_view(bytes);
    while (const auto payload = readFrame(rest)) {
        recovered.batches.emplace_back(*payload);
        rest.remove_prefix(frameSize(payload->size()));
    }
    m_logBytes = bytes.size() - rest.size();
    if (rest.empty())
        return {};
    if (containsFrame(rest))
        return make_error_code(JournalError::Damaged);
    recovered.truncatedBytes = rest.size();
    return m_fileSystem.truncate(name, m_logBytes);
}

std::error_code Journal::append(std::string_view batch)
{
    if (m_hasFailed)
        return make_error_code(JournalError::Failed);
    const auto frame = makeFrame(batch);
    if (const auto ec = m_log->append(frame))
        return markFailed(ec);
    if (const auto ec = m_log->sync())
        return markFailed(ec);
    m_logBytes += frame.size();
    return {};
}

std::error_code Journal::writeSnapshot(std::string_view snapshot, std::uint64_t generation)
{
    const std::string temporary(temporarySnapshotName);
    // The file is opened for appending, so one that an earlier crash left behind must be removed first.
    m_fileSystem.remove(temporary);
    std::unique_ptr<File> file;
    if (const auto ec = m_fileSystem.open(temporary, file))
        return ec;
    if (const auto ec = file->append(makeFrame(snapshot)))
        return ec;
    if (const auto ec = file->sync())
        return ec;
    return m_fileSystem.rename(temporary, fileName(snapshotPrefix, generation));
}

std::error_code Journal::compact(std::string_view snapshot)
{
    if (m_hasFailed)
        return make_error_code(JournalError::Failed);
    const auto next = m_generation + 1;
    if (const auto ec = writeSnapshot(snapshot, next))
        return markFailed(ec);
    std::unique_ptr<File> log;
    if (const auto ec = m_fileSystem.open(fileName(logPrefix, next), log))
        return markFailed(ec);
    // Until this sync the previous generation is complete on disk; after it the new one is durable.
    if (const auto ec = m_fileSystem.syncFolder())
        return markFailed(ec);
    m_generation = next;
    m_log = std::move(log);
    m_logBytes = 0;
    m_isLogDurable = true;
    removeOldGenerations();
    return {};
}

// Files of older generations only take up space, so errors are ignored. The next open() or compact() tries again.
void Journal::removeOldGenerations()
{
    std::vector<std::string> names;
    if (m_fileSystem.list(names))
        return;
    for (const auto& it : names) {
        const auto snapshot = parseGeneration(it, snapshotPrefix);
        const auto log = parseGeneration(it, logPrefix);
        const auto isOld = (snapshot && *snapshot < m_generation) || (log && *log < m_generation) || it == temporarySnapshotName;
        if (isOld)
            m_fileSystem.remove(it);
    }
}

} // namespace HickoryHollow
