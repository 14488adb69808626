#include "duties/ProviderApi.h"

namespace HickoryHollow {

std::string_view toString(ProviderOutcome outcome)
{
    switch (outcome) {
    case ProviderOutcome::Accepted:
        return "accepted";
    case ProviderOutcome::Superseded:
        return "superseded";
    case ProviderOutcome::NoneAvailable:
        return "none-available";
    case ProviderOutcome::Busy:
        return "busy";
    case ProviderOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace HickoryHollow
