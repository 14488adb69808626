/** \file
 * HTTP interface for operators, used by hickoryctl: status, state dump, backend servers, settings, and forming the
 * replicated state.
 */
#pragma once

#include "entry/ActiveSettings.h"
#include "entry/DumpSection.h"
#include "entry/SettingsStore.h"
#include "http/HttpHandler.h"
#include "http/HttpMessage.h"

#include <functional>
#include <optional>
#include <string>

namespace HickoryHollow {

class OperatorApi final : public HttpHandler {
public:
    struct Options {
        std::string keySha256; ///< SHA-256 digest, in hexadecimal, of the bearer key that every request must carry.
        std::string instance; ///< Name of this instance.
        const ActiveSettings& settings;
        SettingsStore& store;
        DumpSections sections;
        std::function<bool()> isDraining;
        std::function<std::string()> formState; ///< Initializes the replicated state; returns an error message or nothing.
    };

    explicit OperatorApi(Options);

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;

private:
    Task<HttpResponse> answer(const HttpRequest&);
    HttpResponse status() const;
    HttpResponse dump(const std::string& onlySection) const;
    HttpResponse settings() const;
    HttpResponse formState() const;
    std::optional<SettingsChange> readChange(const HttpRequest&) const;
    Task<HttpResponse> submit(const HttpRequest&);

    Options m_options;
};

} // namespace HickoryHollow
