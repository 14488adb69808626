/** \file
 * A data folder in memory that keeps apart what was written from what was synced, and fails where it is told to.
 */
#pragma once

#include "base/RandomSource.h"
#include "storage/FileSystem.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace HickoryHollow::Fakes {

class FakeFileSystem final : public FileSystem {
public:
    /** What the operation with the chosen number does. */
    enum class Fault {
        None,
        Error, ///< It fails; an append may have written a part.
        Crash, ///< It and all later ones fail, as if the process had died there.
    };

    void failAt(std::uint64_t operation, Fault fault)
    {
        m_faultAt = m_operations + operation;
        m_fault = fault;
    }
    std::uint64_t operations() const { return m_operations; }

    /** The machine loses power: what was not synced is lost, but for a random part of each file's new bytes. */
    void losePower(RandomSource& random)
    {
        m_names = m_syncedNames;
        for (auto& [name, content] : m_names) {
            auto& bytes = content->bytes;
            const auto kept = content->synced + (bytes.size() > content->synced ? random.below(bytes.size() - content->synced + 1) : 0);
            bytes.resize(kept);
            content->synced = kept;
        }
        restart();
    }
    /** The process dies and starts again; the system keeps what was written. */
    void restart()
    {
        m_fault = Fault::None;
        m_hasCrashed = false;
    }
    /** Copies all that is synced, as a backup of the disk would. */
    std::map<std::string, std::string> backup() const
    {
        std::map<std::string, std::string> copy;
        for (const auto& [name, content] : m_syncedNames)
            copy[name] = content->bytes.substr(0, content->synced);
        return copy;
    }
    void replaceWith(const std::map<std::string, std::string>& files)
    {
        m_names.clear();
        for (const auto& [name, bytes] : files)
            m_names[name] = std::make_shared<Content>(Content { .bytes = bytes, .synced = bytes.size() });
        m_syncedNames = m_names;
    }
    std::string& bytesOf(const std::string& name) { return m_names.at(name)->bytes; }
    bool has(const std::string& name) const { return m_names.contains(name); }

    std::error_code list(std::vector<std::string>& names) override
    {
        for (const auto& [name, content] : m_names)
            names.push_back(name);
        return step();
    }
    std::error_code read(const std::string& name, std::string& bytes) override
    {
        if (const auto ec = step())
            return ec;
        if (!m_names.contains(name))
            return std::make_error_code(std::errc::no_such_file_or_directory);
        bytes = m_names[name]->bytes;
        return {};
    }
    std::error_code open(const std::string& name, std::unique_ptr<File>& file) override
    {
        if (const auto ec = step())
            return ec;
        auto& content = m_names[name];
        if (!content)
            content = std::make_shared<Content>();
        file = std::make_unique<FakeFile>(*this, content);
        return {};
    }
    std::error_code truncate(const std::string& name, std::size_t size) override
    {
        if (const auto ec = step())
            return ec;
        auto& content = *m_names.at(name);
        content.bytes.resize(size);
        content.synced = size;
        return {};
    }
    std::error_code rename(const std::string& from, const std::string& to) override
    {
        if (const auto ec = step())
            return ec;
        m_names[to] = m_names.at(from);
        m_names.erase(from);
        return {};
    }
    std::error_code remove(const std::string& name) override
    {
        if (const auto ec = step())
            return ec;
        m_names.erase(name);
        return {};
    }
    std::error_code syncFolder() override
    {
        if (const auto ec = step())
            return ec;
        m_syncedNames = m_names;
        return {};
    }

private:
    struct Content {
        std::string bytes;
        std::size_t synced = 0;
    };

    class FakeFile final : public File {
    public:
        FakeFile(FakeFileSystem& files, std::shared_ptr<Content> content)
            : m_files(files)
            , m_content(std::move(content))
        {
        }
        std::error_code append(std::string_view bytes) override
        {
            const auto wasAlive = !m_files.m_hasCrashed;
            const auto ec = m_files.step();
            if (!ec)
                m_content->bytes.append(bytes);
            else if (wasAlive)
                m_content->bytes.append(bytes.substr(0, bytes.size() / 2));
            return ec;
        }
        std::error_code sync() override
        {
            const auto ec = m_files.step();
            if (!ec)
                m_content->synced = m_content->bytes.size();
            return ec;
        }

    private:
        FakeFileSystem& m_files;
        std::shared_ptr<Content> m_content;
    };

    std::error_code step()
    {
        ++m_operations;
        const auto isFaulty = m_fault != Fault::None && m_operations == m_faultAt;
        m_hasCrashed = m_hasCrashed || (isFaulty && m_fault == Fault::Crash);
        return isFaulty || m_hasCrashed ? std::make_error_code(std::errc::no_space_on_device) : std::error_code();
    }

    std::map<std::string, std::shared_ptr<Content>> m_names;
    std::map<std::string, std::shared_ptr<Content>> m_syncedNames;
    std::uint64_t m_operations = 0;
    std::uint64_t m_faultAt = 0;
    Fault m_fault = Fault::None;
    bool m_hasCrashed = false;
};

} // namespace HickoryHollow::Fakes
