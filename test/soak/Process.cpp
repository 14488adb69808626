#include "soak/Process.h"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace HickoryHollow::Soak {

namespace {

constexpr rlim_t fullDiskBytes = 1; // No file may grow beyond it; what is there stays.

std::optional<int> codeOf(int status)
{
    return WIFEXITED(status) ? std::optional(WEXITSTATUS(status)) : std::nullopt;
}

} // namespace

Process::Process(std::string program, std::filesystem::path settings, std::filesystem::path log)
    : m_program(std::move(program))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
{
}

Process::~Process()
{
    if (!isRunning())
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    join();
}

void Process::start()
{
    m_pid = ::fork();
    if (m_pid < 0)
        throw std::runtime_error("fork failed for " + m_program);
    if (m_pid > 0)
        return;
    // Nothing outlives a soak that ends early.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // A write beyond the limit on file size shall fail with an error as on a full disk, not end the process.
    std::signal(SIGXFSZ, SIG_IGN);
    const auto log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(m_program.c_str(), m_program.c_str(), m_settings.c_str(), nullptr);
    ::_exit(127);
}

void Process::signal(int number) const
{
    if (isRunning())
        ::kill(m_pid, number);
}

std::optional<int> Process::join()
{
    if (!isRunning())
        return m_code;
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
    m_code = codeOf(status);
    return m_code;
}

bool Process::hasEnded()
{
    int status = 0;
    if (!isRunning() || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    m_code = codeOf(status);
    return true;
}

void Process::setDiskFull(bool isFull) const
{
    rlimit limit {};
    if (!isRunning() || ::prlimit(m_pid, RLIMIT_FSIZE, nullptr, &limit) != 0)
        return;
    limit.rlim_cur = isFull ? fullDiskBytes : limit.rlim_max;
    ::prlimit(m_pid, RLIMIT_FSIZE, &limit, nullptr);
}

} // namespace HickoryHollow::Soak
