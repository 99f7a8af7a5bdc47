#include "poplardrift/streams/event_sequencer.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;

namespace
{

auto event_text(int number, const std::string& id, const std::string& content) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: {\"id\":\"" + id +
           "\",\"choices\":[{\"delta\":{\"content\":\"" + content + "\"}}]}\n\n";
}

/// Feeds a text in pieces of `step` bytes and returns the released events.
auto run(event_sequencer& sequencer, const std::string& text, std::size_t step) -> std::string
{
    sse_splitter splitter;
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += step)
    {
        splitter.feed(std::string_view(text).substr(at, step));
        while (const auto event = splitter.next())
        {
            std::vector<std::string_view> due;
            sequencer.add_event(*event, due);
            for (const auto& raw : due)
            {
                result += raw;
            }
        }
    }
    return result;
}

} // namespace

TEST_CASE("events are split correctly for any size of the received pieces")
{
    const auto text =
        event_text(1, "a", "x") + event_text(2, "a", "y") + "id: 3\r\ndata: [DONE]\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step)
    {
        event_sequencer sequencer;
        CHECK(run(sequencer, text, step) == text);
        CHECK(sequencer.is_complete());
        CHECK(sequencer.text() == "xy");
    }
}

TEST_CASE("duplicate, foreign and out-of-order events are released once and in order")
{
    event_sequencer sequencer;
    const auto one = event_text(1, "a", "1");
    const auto two = event_text(2, "a", "2");
    const auto three = event_text(3, "a", "3");
    const auto text = one + three + one + event_text(2, "other", "X") + two + three;
    CHECK(run(sequencer, text, 7) == one + two + three);
    CHECK(sequencer.text() == "123");
    CHECK(sequencer.last() == 3);
    CHECK(sequencer.dropped() == 3);
}

TEST_CASE("a resumed response continues after the last event with another completion id")
{
    event_sequencer sequencer;
    const auto first = event_text(1, "a", "1");
    const auto second = event_text(2, "b", "2");
    CHECK(run(sequencer, first, 100) == first);
    sequencer.start_connection();
    CHECK(run(sequencer, event_text(1, "b", "1") + second, 100) == second);
}

TEST_CASE("has_lost_event is true when too many events follow a missing one")
{
    event_sequencer sequencer;
    std::string text = event_text(1, "a", "1");
    for (int number = 3; number < 80; ++number)
    {
        text += event_text(number, "a", "x");
    }
    run(sequencer, text, 1000);
    CHECK(sequencer.last() == 1);
    CHECK(sequencer.has_lost_event());
}
