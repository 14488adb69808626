/** \file
 * Distributes servers over failure domains and kinds at the lowest price. Does no I/O and reads no clock.
 *
 * It answers the loss of all spot servers of a domain: enough servers for the load remain in every such case.
 */
#pragma once

#include "scaling/ServiceObservation.h"

namespace HickoryHollow {

/** Returns the number of servers that remain if the spot servers of the domain with the most of them are lost. */
std::uint32_t survivorsOf(const ServerCounts&);
std::uint32_t totalOf(const ServerCounts&);
/** Price of the servers per second. */
double priceOf(const ServerCounts&, const ScalingLimits&);

/**
 * Returns the cheapest distribution with survivorsOf() >= `level` within the limits, or the one with the most survivors if
 * there is none. A tenth of the level is ordinary servers, for the case that two domains lose their spot servers within one
 * boot time. Groups that are unavailable get no more servers than they have.
 */
ServerCounts planServers(std::uint32_t level, const ServiceObservation&);

/** Returns the highest level whose plan has at most `total` servers; at least 1. */
std::uint32_t levelForTotal(std::uint32_t total, const ServiceObservation&);

} // namespace HickoryHollow
