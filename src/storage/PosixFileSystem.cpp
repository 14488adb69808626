#include "storage/PosixFileSystem.h"

#include "base/Check.h"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace HickoryHollow {

namespace {

constexpr mode_t fileMode = 0600;

std::error_code lastError()
{
    return { errno, std::generic_category() };
}

/** Owns a file descriptor and closes it. A negative number stands for a file that could not be opened. */
class FileDescriptor {
public:
    explicit FileDescriptor(int fd)
        : m_fd(fd)
    {
    }
    ~FileDescriptor()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;

    int get() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }

private:
    int m_fd;
};

class PosixFile final : public File {
public:
    explicit PosixFile(int fd)
        : m_descriptor(fd)
    {
    }

    std::error_code append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const auto n = ::write(m_descriptor.get(), bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                return lastError();
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return {};
    }

    std::error_code sync() override
    {
        return ::fdatasync(m_descriptor.get()) == 0 ? std::error_code() : lastError();
    }

private:
    FileDescriptor m_descriptor;
};

class PosixFileSystem final : public FileSystem {
public:
    PosixFileSystem(std::string folder, int folderDescriptor)
        : m_folder(std::move(folder))
        , m_folderDescriptor(folderDescriptor)
    {
    }

    std::error_code list(std::vector<std::string>& names) override
    {
        std::error_code ec;
        for (const auto& it : std::filesystem::directory_iterator(m_folder, ec))
            names.push_back(it.path().filename().string());
        return ec;
    }

    std::error_code read(const std::string& name, std::string& bytes) override
    {
        const FileDescriptor file(::openat(m_folderDescriptor.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
        if (!file.isOpen())
            return lastError();
        bytes.clear();
        constexpr std::size_t readChunkBytes = 1 << 20;
        // Without it the string doubles as it grows, and a large log is held three times for a moment.
        struct stat status { };
        if (::fstat(file.get(), &status) == 0)
            bytes.reserve(static_cast<std::size_t>(status.st_size) + readChunkBytes);
        for (;;) {
            const auto before = bytes.size();
            bytes.resize(before + readChunkBytes);
            const auto n = ::read(file.get(), bytes.data() + before, readChunkBytes);
            bytes.resize(before + static_cast<std::size_t>(n < 0 ? 0 : n));
            if (n == 0)
                return {};
            if (n < 0 && errno != EINTR)
                return lastError();
        }
    }

    std::error_code open(const std::string& name, std::unique_ptr<File>& file) override
    {
        const auto fd = ::openat(m_folderDescriptor.get(), name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
        if (fd < 0)
            return lastError();
        file = std::make_unique<PosixFile>(fd);
        return {};
    }

    std::error_code truncate(const std::string& name, std::size_t size) override
    {
        const FileDescriptor file(::openat(m_folderDescriptor.get(), name.c_str(), O_WRONLY | O_CLOEXEC));
        if (!file.isOpen() || ::ftruncate(file.get(), static_cast<off_t>(size)) != 0 || ::fsync(file.get()) != 0)
            return lastError();
        return {};
    }

    std::error_code rename(const std::string& from, const std::string& to) override
    {
        const auto result = ::renameat(m_folderDescriptor.get(), from.c_str(), m_folderDescriptor.get(), to.c_str());
        return result == 0 ? std::error_code() : lastError();
    }

    std::error_code remove(const std::string& name) override
    {
        return ::unlinkat(m_folderDescriptor.get(), name.c_str(), 0) == 0 ? std::error_code() : lastError();
    }

    std::error_code syncFolder() override
    {
        return ::fsync(m_folderDescriptor.get()) == 0 ? std::error_code() : lastError();
    }

private:
    std::string m_folder;
    FileDescriptor m_folderDescriptor; // Open on the folder itself; holds its flock() lock.
};

} // namespace

std::unique_ptr<FileSystem> openDataFolder(const std::string& folder)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    const auto fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        throw UserError(fmt::format("data folder {}: {}", folder, lastError().message()));
    if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
        ::close(fd);
        throw UserError(fmt::format("data folder {} is locked by another process", folder));
    }
    return std::make_unique<PosixFileSystem>(folder, fd);
}

} // namespace HickoryHollow
