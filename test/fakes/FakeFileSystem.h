/** \file
 * A data folder in memory that tracks written and synced data separately and injects a fault at a given operation.
 */
#pragma once

#include "base/RandomSource.h"
#include "storage/FileSystem.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace HickoryHollow::Fakes {

class FakeFileSystem final : public FileSystem {
public:
    /** What happens at the operation given to failAt(). */
    enum class Fault {
        None,
        Error, ///< Only this operation fails. An append writes the first half of its bytes.
        Crash, ///< This operation and all later ones fail, as if the process had died there. An append writes as for Error.
    };

    /** What a full disk refuses. Reading, removing and syncing the folder succeed. */
    enum class Full {
        Nothing, ///< The disk has room.
        Writes, ///< Appending, which still writes the first half of its bytes.
        Syncs, ///< Syncing and truncating a file: space is allocated only then.
        Names, ///< Creating and renaming files.
        All, ///< All of these.
    };

    /** Fills the disk, or frees it, from the next operation on. */
    void setFull(Full full) { m_full = full; }

    /**
     * Lets a failed sync drop the bytes that it did not write, as Linux does: they can be read until the power is lost, but
     * a later sync succeeds without them, and they are zeros then.
     */
    void dropUnsyncedOnFailure() { m_dropsOnFailure = true; }

    /** Injects the fault at the operation with this number, counted from now; 1 is the next one. */
    void failAt(std::uint64_t operation, Fault fault)
    {
        m_faultAt = m_operations + operation;
        m_fault = fault;
    }
    /** Number of operations so far, those of open files and failed ones included. */
    std::uint64_t operations() const { return m_operations; }

    /**
     * Simulates a power loss and restarts: names that were not synced are lost, and each file keeps its synced bytes and a
     * leading part of random length of the unsynced ones.
     */
    void losePower(RandomSource& random)
    {
        m_names = m_syncedNames;
        for (auto& [name, content] : m_names) {
            auto& bytes = content->bytes;
            for (auto i = content->droppedFrom; i < std::min(content->droppedTo, bytes.size()); ++i)
                bytes[i] = 0;
            content->droppedTo = content->droppedFrom;
            const auto durableBytes = content->synced + (bytes.size() > content->synced ? random.below(bytes.size() - content->synced + 1) : 0);
            bytes.resize(durableBytes);
            content->synced = durableBytes;
        }
        restart();
    }
    /** Simulates a restart of the process only: all written data stays, synced or not, and no fault is injected any more. */
    void restart()
    {
        m_fault = Fault::None;
        m_hasCrashed = false;
    }
    /** Returns the synced contents of all synced names, like a backup of the disk. */
    std::map<std::string, std::string> backup() const
    {
        std::map<std::string, std::string> copy;
        for (const auto& [name, content] : m_syncedNames)
            copy[name] = content->bytes.substr(0, content->synced);
        return copy;
    }
    /** Replaces the folder by these files, all of them synced. */
    void replaceWith(const std::map<std::string, std::string>& files)
    {
        m_names.clear();
        for (const auto& [name, bytes] : files)
            m_names[name] = std::make_shared<Content>(Content { .bytes = bytes, .synced = bytes.size() });
        m_syncedNames = m_names;
    }
    /** Contents of the file, synced or not, for a test to change. The file must exist. */
    std::string& bytesOf(const std::string& name) { return m_names.at(name)->bytes; }
    bool has(const std::string& name) const { return m_names.contains(name); }

    std::error_code list(std::vector<std::string>& names) override
    {
        for (const auto& [name, content] : m_names)
            names.push_back(name);
        return beginOperation();
    }
    std::error_code read(const std::string& name, std::string& bytes) override
    {
        if (const auto ec = beginOperation())
            return ec;
        if (!m_names.contains(name))
            return std::make_error_code(std::errc::no_such_file_or_directory);
        bytes = m_names[name]->bytes;
        return {};
    }
    std::error_code open(const std::string& name, std::unique_ptr<File>& file) override
    {
        if (const auto ec = beginOperation(m_names.contains(name) ? Full::Nothing : Full::Names))
            return ec;
        auto& content = m_names[name];
        if (!content)
            content = std::make_shared<Content>();
        file = std::make_unique<FakeFile>(*this, content);
        return {};
    }
    std::error_code truncate(const std::string& name, std::size_t size) override
    {
        if (const auto ec = beginOperation(Full::Syncs))
            return ec;
        auto& content = *m_names.at(name);
        content.bytes.resize(size);
        content.synced = size;
        content.droppedTo = std::min(content.droppedTo, size);
        return {};
    }
    std::error_code rename(const std::string& from, const std::string& to) override
    {
        if (const auto ec = beginOperation(Full::Names))
            return ec;
        m_names[to] = m_names.at(from);
        m_names.erase(from);
        return {};
    }
    std::error_code remove(const std::string& name) override
    {
        if (const auto ec = beginOperation())
            return ec;
        m_names.erase(name);
        return {};
    }
    std::error_code syncFolder() override
    {
        if (const auto ec = beginOperation())
            return ec;
        m_syncedNames = m_names;
        return {};
    }

private:
    struct Content {
        std::string bytes;
        std::size_t synced = 0; // Number of leading bytes that are durable, except for dropped ones.
        std::size_t droppedFrom = 0; // First byte that a failed sync has dropped.
        std::size_t droppedTo = 0; // End of the dropped bytes; none are if it is not behind droppedFrom.

        void drop()
        {
            if (droppedTo <= droppedFrom)
                droppedFrom = synced;
            droppedTo = bytes.size();
        }
    };

    class FakeFile final : public File {
    public:
        FakeFile(FakeFileSystem& fileSystem, std::shared_ptr<Content> content)
            : m_fileSystem(fileSystem)
            , m_content(std::move(content))
        {
        }
        std::error_code append(std::string_view bytes) override
        {
            const auto wasRunning = !m_fileSystem.m_hasCrashed;
            const auto ec = m_fileSystem.beginOperation(Full::Writes);
            if (!ec)
                m_content->bytes.append(bytes);
            else if (wasRunning)
                m_content->bytes.append(bytes.substr(0, bytes.size() / 2));
            return ec;
        }
        std::error_code sync() override
        {
            const auto ec = m_fileSystem.beginOperation(Full::Syncs);
            if (!ec)
                m_content->synced = m_content->bytes.size();
            else if (m_fileSystem.m_dropsOnFailure)
                m_content->drop();
            return ec;
        }

    private:
        FakeFileSystem& m_fileSystem;
        std::shared_ptr<Content> m_content;
    };

    /** Counts an operation, which a disk that is full in this way refuses, and returns the error injected into it, if any. */
    std::error_code beginOperation(Full refusedBy = Full::Nothing)
    {
        ++m_operations;
        const auto isFaulty = m_fault != Fault::None && m_operations == m_faultAt;
        m_hasCrashed = m_hasCrashed || (isFaulty && m_fault == Fault::Crash);
        const auto isRefused = refusedBy != Full::Nothing && (m_full == Full::All || m_full == refusedBy);
        return isFaulty || isRefused || m_hasCrashed ? std::make_error_code(std::errc::no_space_on_device) : std::error_code();
    }

    std::map<std::string, std::shared_ptr<Content>> m_names;
    std::map<std::string, std::shared_ptr<Content>> m_syncedNames; // As of the last syncFolder().
    std::uint64_t m_operations = 0;
    std::uint64_t m_faultAt = 0; // Number of the operation, by m_operations.
    Fault m_fault = Fault::None;
    Full m_full = Full::Nothing;
    bool m_dropsOnFailure = false;
    bool m_hasCrashed = false;
};

} // namespace HickoryHollow::Fakes
