/** \file
 * Collects the log lines of the process while it exists.
 */
#pragma once

#include <memory>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <sstream>
#include <string>

namespace HickoryHollow::Fakes {

class LogCapture {
public:
    LogCapture()
        : m_before(spdlog::default_logger())
    {
        auto logger = std::make_shared<spdlog::logger>("capture", std::make_shared<spdlog::sinks::ostream_sink_mt>(m_text));
        logger->set_pattern("%v");
        spdlog::set_default_logger(std::move(logger));
    }
    ~LogCapture() { spdlog::set_default_logger(m_before); }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;

    /** The first line of the event; empty if there is none. */
    std::string lineOf(int event) const
    {
        std::istringstream lines(m_text.str());
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("event=" + std::to_string(event) + " "))
                return line;
        }
        return {};
    }

private:
    std::ostringstream m_text;
    std::shared_ptr<spdlog::logger> m_before;
};

} // namespace HickoryHollow::Fakes
