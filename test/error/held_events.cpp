/** \file
 * Parts of events that are held until the rest of them comes, while the memory for answers is used up by others.
 */
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>
#include <list>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

/** Whole answers hold all memory for answers. */
class FullBench : public RoutedBench {
public:
    FullBench()
    {
        do {
            m_answers.emplace_back(context.answerBytes);
        } while (m_answers.back().resize(BufferBudget::maxSmallShare));
        m_answers.emplace_back(context.answerBytes);
        REQUIRE(m_answers.back().resize(BufferBudget::defaultLimit));
    }

private:
    std::list<BufferBudget::Share> m_answers;
};

} // namespace

TEST_CASE("a stream of usual events is not cut because answers of others use the memory", "[routed][memory]")
{
    FullBench bench;
    bench.upstream.scripts = { RoutedBench::streamOf({ "id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid", ": 3\ndata: c\n\n" }) };
    bench.run(RoutedBench::request("/chat/7"));
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_CASE("a long event needs room in the memory for answers", "[routed][memory]")
{
    FullBench bench;
    bench.upstream.scripts = { RoutedBench::streamOf({ "id: 1\ndata: a\n\n", "id: 2\ndata: " + std::string(2000, 'x'), "\n\n" }) };
    bench.run(RoutedBench::request("/chat/7"));
    CHECK(bench.writer.isAbandoned);
    CHECK(bench.writer.streamed == "id: 1\ndata: a\n\n");
}
