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
constexpr std::string_view temporaryName = "snapshot.tmp";

class JournalErrorCategory final : public std::error_category {
public:
    const char* name() const noexcept override { return "journal"; }
    std::string message(int value) const override
    {
        return value == static_cast<int>(JournalError::Damaged) ? "bytes that were synced are damaged" : "an earlier operation on the data folder failed";
    }
};

std::string nameOf(std::string_view prefix, std::uint64_t generation)
{
    return fmt::format("{}{}", prefix, generation);
}

std::optional<std::uint64_t> generationOf(std::string_view name, std::string_view prefix)
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

Journal::Journal(FileSystem& files)
    : m_files(files)
{
}

std::error_code Journal::fail(std::error_code ec)
{
    m_hasFailed = true;
    return ec;
}

std::error_code Journal::open(Recovered& recovered)
{
    std::vector<std::string> names;
    if (const auto ec = m_files.list(names))
        return fail(ec);
    std::uint64_t generation = 0;
    for (const auto& it : names)
        generation = std::max(generation, generationOf(it, snapshotPrefix).value_or(0));
    if (const auto ec = openGeneration(generation, recovered))
        return fail(ec);
    removeOthers();
    return {};
}

std::error_code Journal::openGeneration(std::uint64_t generation, Recovered& recovered)
{
    m_generation = generation;
    if (generation > 0) {
        std::string bytes;
        if (const auto ec = m_files.read(nameOf(snapshotPrefix, generation), bytes))
            return ec;
        // The name came to be after the contents were synced, so a bad frame is damage.
        const auto payload = readFrame(bytes);
        if (!payload)
            return make_error_code(JournalError::Damaged);
        recovered.snapshot = std::string(*payload);
    }
    if (const auto ec = recoverLog(recovered))
        return ec;
    if (const auto ec = m_files.open(nameOf(logPrefix, generation), m_log))
        return ec;
    // A killed process may have left whole frames that only the system's cache holds.
    if (const auto ec = m_log->sync())
        return ec;
    return m_files.syncFolder();
}

std::error_code Journal::recoverLog(Recovered& recovered)
{
    const auto name = nameOf(logPrefix, m_generation);
    std::string bytes;
    const auto readEc = m_files.read(name, bytes);
    if (readEc == std::errc::no_such_file_or_directory)
        return {};
    if (readEc)
        return readEc;
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
    recovered.cutBytes = rest.size();
    return m_files.truncate(name, m_logBytes);
}

std::error_code Journal::append(std::string_view batch)
{
    if (m_hasFailed)
        return make_error_code(JournalError::Failed);
    const auto frame = makeFrame(batch);
    if (const auto ec = m_log->append(frame))
        return fail(ec);
    if (const auto ec = m_log->sync())
        return fail(ec);
    m_logBytes += frame.size();
    return {};
}

std::error_code Journal::writeSnapshot(std::string_view snapshot, std::uint64_t generation)
{
    const std::string temporary(temporaryName);
    // A temporary file of an earlier crash would be appended to.
    m_files.remove(temporary);
    std::unique_ptr<File> file;
    if (const auto ec = m_files.open(temporary, file))
        return ec;
    if (const auto ec = file->append(makeFrame(snapshot)))
        return ec;
    if (const auto ec = file->sync())
        return ec;
    return m_files.rename(temporary, nameOf(snapshotPrefix, generation));
}

std::error_code Journal::compact(std::string_view snapshot)
{
    if (m_hasFailed)
        return make_error_code(JournalError::Failed);
    const auto next = m_generation + 1;
    if (const auto ec = writeSnapshot(snapshot, next))
        return fail(ec);
    std::unique_ptr<File> log;
    if (const auto ec = m_files.open(nameOf(logPrefix, next), log))
        return fail(ec);
    // Both names last from here; before it the older generation is whole.
    if (const auto ec = m_files.syncFolder())
        return fail(ec);
    m_generation = next;
    m_log = std::move(log);
    m_logBytes = 0;
    removeOthers();
    return {};
}

// Files of other generations are only waste, so an error here is ignored.
void Journal::removeOthers()
{
    std::vector<std::string> names;
    if (m_files.list(names))
        return;
    for (const auto& it : names) {
        const auto snapshot = generationOf(it, snapshotPrefix);
        const auto log = generationOf(it, logPrefix);
        const auto isOld = (snapshot && *snapshot < m_generation) || (log && *log < m_generation) || it == temporaryName;
        if (isOld)
            m_files.remove(it);
    }
}

} // namespace HickoryHollow
