/** \file
 * Blocking HTTP client of the operator API of one instance.
 */
#pragma once

#include "base/Time.h"
#include "http/HttpMessage.h"

#include <string>

namespace HickoryHollow {

class OperatorClient {
public:
    struct Options {
        std::string address; ///< `ip:port` of the operator listener.
        std::string key; ///< Operator key, sent as a bearer token.
        std::chrono::seconds timeout { 15 }; ///< For a whole call, from connecting to the end of the answer.
    };

    explicit OperatorClient(Options);

    /** Sends one request. Throws UserError if the address is invalid or no complete answer comes within the timeout. */
    HttpResponse call(const std::string& method, const std::string& target, const std::string& body = {}) const;

private:
    Options m_options;
};

} // namespace HickoryHollow
