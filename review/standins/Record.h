/** \file
 * The record of a case: one line for each request that was sent, answered or run, and for each event at a process.
 */
#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace Review {

using Clock = std::chrono::steady_clock;

inline double secondsBetween(Clock::time_point from, Clock::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

class Record {
public:
    explicit Record(const std::string& file)
        : m_file(std::fopen(file.c_str(), "w"))
    {
    }
    ~Record()
    {
        if (m_file)
            std::fclose(m_file);
    }
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    /** Writes one line, with the seconds since the start of the case. */
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard guard(m_mutex);
        std::FILE* files[] = { m_file, stdout };
        for (auto* it : files) {
            if (it)
                std::fprintf(it, "%9.3f s  %s\n", secondsBetween(m_start, Clock::now()), text);
        }
        if (m_file)
            std::fflush(m_file);
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    Clock::time_point m_start = Clock::now();
};

} // namespace Review
