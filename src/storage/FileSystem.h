/** \file
 * The operations of one data folder that the journal needs. Nothing lasts before it is synced: a file's bytes by
 * File::sync, a file's name by FileSystem::syncFolder.
 */
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace HickoryHollow {

/** A file open for appending. */
class File {
public:
    virtual ~File() = default;

    /** Writes all bytes at the end; after an error an unknown part of them may be there. */
    virtual std::error_code append(std::string_view bytes) = 0;
    virtual std::error_code sync() = 0;
};

/** Names are plain file names within the folder. */
class FileSystem {
public:
    virtual ~FileSystem() = default;

    virtual std::error_code list(std::vector<std::string>& names) = 0;
    virtual std::error_code read(const std::string& name, std::string& bytes) = 0;
    /** Opens the file for appending and creates it where there is none. */
    virtual std::error_code open(const std::string& name, std::unique_ptr<File>& file) = 0;
    /** Cuts the file to `size` bytes and syncs it. */
    virtual std::error_code truncate(const std::string& name, std::size_t size) = 0;
    virtual std::error_code rename(const std::string& from, const std::string& to) = 0;
    virtual std::error_code remove(const std::string& name) = 0;
    virtual std::error_code syncFolder() = 0;
};

} // namespace HickoryHollow
