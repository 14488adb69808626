#include "links/EntryAddressBook.h"

#include <algorithm>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

struct Candidate {
    std::uint64_t weight = 0; // Rendezvous weight for the receiver.
    const std::string* listen = nullptr;
    const FailureDomainId* domain = nullptr;
    std::size_t rank = 0; // Position by weight in the candidate's domain.
};

/** Orders by weight, highest first. */
bool isPreferred(const Candidate& a, const Candidate& b)
{
    return a.weight != b.weight ? a.weight > b.weight : *a.listen < *b.listen;
}

/** Moves the `n` first candidates in the given order to the front, sorted, and drops the others. */
template <typename Order>
void keepFirst(std::vector<Candidate>& candidates, std::size_t n, Order order)
{
    n = std::min(n, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n), candidates.end(), order);
    candidates.resize(n);
}

} // namespace

EntryAddressBook::EntryAddressBook()
    : EntryAddressBook(Options {})
{
}

EntryAddressBook::EntryAddressBook(Options options)
    : m_options(options)
{
}

void EntryAddressBook::set(const std::string& source, std::vector<EntryAddress> addresses)
{
    dropUnusable(addresses);
    auto& entry = m_sources[source];
    entry.lostAt.reset();
    if (entry.addresses == addresses)
        return;
    entry.addresses = std::move(addresses);
    rebuild();
}

void EntryAddressBook::remove(const std::string& source)
{
    if (m_sources.erase(source) > 0)
        rebuild();
}

void EntryAddressBook::lose(const std::string& source, TimePoint now)
{
    const auto it = m_sources.find(source);
    if (it != m_sources.end() && !it->second.lostAt)
        it->second.lostAt = now;
}

void EntryAddressBook::expire(TimePoint now)
{
    const auto isOver = [&](const auto& it) { return it.second.lostAt && now - *it.second.lostAt > m_options.keepAfterLoss; };
    if (std::erase_if(m_sources, isOver) > 0)
        rebuild();
}

std::vector<EntryAddress> EntryAddressBook::listedBy(std::string_view prefix) const
{
    std::map<std::string, FailureDomainId> domains;
    for (const auto& [name, source] : m_sources) {
        if (!name.starts_with(prefix))
            continue;
        for (const auto& it : source.addresses)
            domains.try_emplace(it.listen, it.failureDomain);
    }
    std::vector<EntryAddress> addresses;
    addresses.reserve(domains.size());
    for (const auto& [listen, domain] : domains)
        addresses.push_back({ .listen = listen, .failureDomain = domain });
    return addresses;
}

void EntryAddressBook::rebuild()
{
    ++m_revision;
    m_byDomain.clear();
    for (const auto& it : listedBy({}))
        m_byDomain[it.failureDomain].push_back(it.listen);
}

std::vector<EntryAddress> EntryAddressBook::selectionFor(const std::string& listen, const FailureDomainId& ownDomain) const
{
    const auto seed = XXH64(listen.data(), listen.size(), 0);
    std::vector<Candidate> own;
    std::vector<Candidate> others;
    for (const auto& [domain, members] : m_byDomain) {
        std::vector<Candidate> candidates;
        candidates.reserve(members.size());
        for (const auto& it : members) {
            if (it != listen)
                candidates.push_back({ .weight = XXH64(it.data(), it.size(), seed), .listen = &it, .domain = &domain });
        }
        const auto isOwn = domain == ownDomain;
        keepFirst(candidates, isOwn ? m_options.ownDomainTargets : m_options.otherDomainTargets, isPreferred);
        for (std::size_t i = 0; i < candidates.size(); ++i)
            candidates[i].rank = i;
        auto& selected = isOwn ? own : others;
        selected.insert(selected.end(), candidates.begin(), candidates.end());
    }
    // The first of each domain, then the second of each, and so on: as many of each domain as the number permits.
    keepFirst(others, m_options.otherDomainTargets, [](const auto& a, const auto& b) { return a.rank != b.rank ? a.rank < b.rank : isPreferred(a, b); });
    std::vector<EntryAddress> selection;
    selection.reserve(own.size() + others.size());
    for (const auto* list : { &own, &others }) {
        for (const auto& it : *list)
            selection.push_back({ .listen = *it.listen, .failureDomain = *it.domain });
    }
    return selection;
}

} // namespace HickoryHollow
