/** \file
 * Blocking calls to the operators' interface of one instance.
 */
#pragma once

#include "base/Time.h"
#include "http/HttpMessage.h"

#include <string>

namespace HickoryHollow {

class OperatorClient {
public:
    struct Options {
        std::string address; ///< `ip:port`.
        std::string key;
        std::chrono::seconds timeout { 15 };
    };

    explicit OperatorClient(Options);

    /** Throws UserError when no answer comes. */
    HttpResponse call(const std::string& method, const std::string& target, const std::string& body = {}) const;

private:
    Options m_options;
};

} // namespace HickoryHollow
