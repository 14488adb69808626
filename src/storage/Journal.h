/** \file
 * A write-ahead journal: a snapshot of the state and a log of the batches appended since. Generation N consists of the
 * files `snapshot-N` and `log-N`; generation 0 has no snapshot.
 *
 * A batch is one frame with one checksum and is synced before the next batch is written, so a crash can leave only the
 * last frame of the log incomplete (a torn tail). An invalid frame that is followed by a valid one is therefore reported
 * as damage and not truncated as a torn tail.
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

/** Errors of the journal itself; other error codes are those of the file system. */
enum class JournalError {
    Damaged = 1, ///< Data that had been synced has changed since; the folder must not be used.
    Failed, ///< An earlier operation failed; the journal accepts no further ones until it is opened again.
};

std::error_code make_error_code(JournalError); // NOLINT(readability-identifier-naming)

/**
 * All operations block until their data is durable. After the first error the journal refuses every further write,
 * because the files may contain an unknown part of the failed one; opening the folder again establishes what is there.
 */
class Journal {
public:
    /** Contents of the data folder at the time of open(). */
    struct Recovered {
        std::optional<std::string> snapshot; ///< Empty when no compaction was ever completed.
        std::vector<std::string> batches; ///< Batches appended since the snapshot, oldest first.
        std::size_t truncatedBytes = 0; ///< Size of the torn tail that was truncated; 0 if the log ended with a valid frame.
    };

    /** The file system outlives the journal. */
    explicit Journal(FileSystem&);

    /**
     * Reads the newest generation, truncates a torn tail and makes the journal ready for append(). Call it before any other
     * operation, and again after a failure; a batch whose append failed is removed then. Returns JournalError::Damaged when
     * the snapshot or a frame other than the last is invalid.
     */
    std::error_code open(Recovered&);
    /**
     * Appends one batch and syncs it. After an error the journal stays failed, and the batch may or may not be found by
     * another Journal that opens the folder.
     */
    std::error_code append(std::string_view batch);
    /** Starts a new generation that consists of this snapshot and an empty log, and removes the older one. */
    std::error_code compact(std::string_view snapshot);

    /** Size of the log of the current generation in bytes, frame headers included. */
    std::uint64_t bytesSinceSnapshot() const { return m_logBytes; }

private:
    std::error_code openGeneration(std::uint64_t, Recovered&);
    std::error_code recoverLog(Recovered&);
    std::error_code writeSnapshot(std::string_view, std::uint64_t generation);
    void removeOldGenerations();
    std::error_code markFailed(std::error_code);

    FileSystem& m_fileSystem;
    std::uint64_t m_generation = 0; // Number N of the current generation.
    std::unique_ptr<File> m_log; // The file log-N; set by a successful open().
    std::uint64_t m_logBytes = 0; // Size of log-N, without frames whose append failed.
    // True once the first m_logBytes of log-N were synced. What is behind them then was never acknowledged, and may be in the
    // page cache only: a failed sync drops it, and later ones succeed without it.
    bool m_isLogDurable = false;
    bool m_hasFailed = false;
};

} // namespace HickoryHollow

template <>
struct std::is_error_code_enum<HickoryHollow::JournalError> : std::true_type {
};
