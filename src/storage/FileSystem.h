/** \file
 * Interface to the files of one data folder, as far as the journal needs it.
 *
 * A change survives a power loss only after a sync: File::sync makes the bytes of a file durable, FileSystem::syncFolder
 * makes created, renamed and removed names durable.
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

    /** Appends all bytes to the file. After an error, any leading part of them may have been written. */
    virtual std::error_code append(std::string_view bytes) = 0;
    /** Returns without an error only once all appended bytes are durable. */
    virtual std::error_code sync() = 0;
};

/**
 * The files directly within one data folder. A name is a file name without a path. All operations block the calling
 * thread and return the system's error.
 */
class FileSystem {
public:
    virtual ~FileSystem() = default;

    /** Appends the names of all files of the folder, in no particular order. */
    virtual std::error_code list(std::vector<std::string>& names) = 0;
    /** Replaces `bytes` by the contents of the file; std::errc::no_such_file_or_directory when it does not exist. */
    virtual std::error_code read(const std::string& name, std::string& bytes) = 0;
    /** Opens the file for appending; creates it when it does not exist. */
    virtual std::error_code open(const std::string& name, std::unique_ptr<File>& file) = 0;
    /** Truncates the file to `size` bytes and syncs it. */
    virtual std::error_code truncate(const std::string& name, std::size_t size) = 0;
    /** Replaces the file `to` atomically if it exists. */
    virtual std::error_code rename(const std::string& from, const std::string& to) = 0;
    virtual std::error_code remove(const std::string& name) = 0;
    virtual std::error_code syncFolder() = 0;
};

} // namespace HickoryHollow
