/** \file
 * Durable state as a snapshot and the batches appended since, in generations of two files: `snapshot-N` and `log-N`.
 *
 * A batch is one frame with one checksum and is synced before the next is written, so a crash can tear only the last
 * frame of the log. A bad frame with a good one behind it is damage, not a torn tail.
 */
#pragma once

#include "storage/FileSystem.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace HickoryHollow {

/** Why a journal could not be opened or written. */
enum class JournalError {
    Damaged = 1, ///< Bytes that were synced changed; the data cannot be trusted.
    Failed, ///< An earlier operation failed, so nothing more is accepted before a restart.
};

std::error_code make_error_code(JournalError); // NOLINT(readability-identifier-naming)

class Journal {
public:
    /** What was durable when the journal was opened. */
    struct Recovered {
        std::optional<std::string> snapshot;
        std::vector<std::string> batches;
        std::size_t cutBytes = 0; ///< Length of the torn tail that was cut off.
    };

    explicit Journal(FileSystem&);

    /** Reads what is there and makes the journal ready for append. Call once. */
    std::error_code open(Recovered&);
    /** Appends one batch and syncs it. After an error the batch is not acknowledged and the journal stays failed. */
    std::error_code append(std::string_view batch);
    /** Starts a new generation with this snapshot and an empty log. */
    std::error_code compact(std::string_view snapshot);

    std::uint64_t bytesSinceSnapshot() const { return m_logBytes; }

private:
    std::error_code openGeneration(std::uint64_t, Recovered&);
    std::error_code recoverLog(Recovered&);
    std::error_code writeSnapshot(std::string_view, std::uint64_t generation);
    void removeOthers();
    std::error_code fail(std::error_code);

    FileSystem& m_files;
    std::uint64_t m_generation = 0; // 0 has no snapshot.
    std::unique_ptr<File> m_log;
    std::uint64_t m_logBytes = 0;
    bool m_hasFailed = false;
};

} // namespace HickoryHollow

template <>
struct std::is_error_code_enum<HickoryHollow::JournalError> : std::true_type {
};
