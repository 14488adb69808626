/** \file
 * One real daemon, started and harmed from outside.
 */
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>

namespace HickoryHollow::Soak {

class Process {
public:
    /** `log` grows with each start. */
    Process(std::string program, std::filesystem::path settings, std::filesystem::path log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start();
    void signal(int number) const;
    /** Waits until it has ended and gives its exit code; nothing where a signal ended it. */
    std::optional<int> join();
    /** It has ended by itself; it is not waited for. */
    bool hasEnded();
    bool isRunning() const { return m_pid > 0; }
    /** Writes of files beyond their present size fail, as on a full disk; or work again. */
    void setDiskFull(bool) const;

private:
    std::string m_program;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    pid_t m_pid = 0; // 0 while it does not run.
    std::optional<int> m_code; // Of the last end.
};

} // namespace HickoryHollow::Soak
