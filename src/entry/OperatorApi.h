/** \file
 * The operators' interface behind hickoryctl: status, dump, backend servers, settings.
 */
#pragma once

#include "entry/DumpSection.h"
#include "entry/SettingsInForce.h"
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
        std::string keySha256;
        std::string instance;
        const SettingsInForce& settings;
        SettingsStore& store;
        DumpSections sections;
        std::function<bool()> isDraining;
        std::function<std::string()> formState; ///< Forms the replicated state for the first time; returns what went wrong, or nothing.
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
