#include "poplardrift/streams/event_sequencer.hpp"

#include "thread_cpu_time.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

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

/// Events of a text by the definition: each ends with a line feed after which a blank line follows.
auto split_by_definition(std::string_view text) -> std::vector<std::string>
{
    std::vector<std::string> events;
    std::size_t begin = 0;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        for (const std::string_view delimiter : {"\n\n", "\n\r\n"})
        {
            if (at >= begin && text.substr(at).starts_with(delimiter))
            {
                const auto end = at + delimiter.size();
                events.emplace_back(text.substr(begin, end - begin));
                begin = end;
            }
        }
    }
    return events;
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

TEST_CASE("events are split by their definition, whatever the bytes and the pieces")
{
    const auto seed = GENERATE(range(1U, 200U));
    std::mt19937 random(seed);
    std::string text;
    for (std::size_t count = random() % 60; count > 0; --count)
    {
        text.push_back("\n\n\r:a"[random() % 5]);
    }
    sse_splitter splitter;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < text.size();)
    {
        const auto piece = std::min<std::size_t>(text.size() - at, 1 + random() % 5);
        splitter.feed(std::string_view(text).substr(at, piece));
        at += piece;
        while (const auto event = splitter.next())
        {
            events.emplace_back(event->raw);
        }
    }
    CHECK(events == split_by_definition(text));
}

TEST_CASE("one read of an answer without end is split within the lag that callers accept")
{
    // Guards against work that grows with the square of the events in one read.
    const std::string line = GENERATE("\n", "\r\n", "\n\r\n", ":\n\n", "data:x\n\n", "a\n");
    constexpr std::size_t read_bytes = 65'536;
    std::string bytes;
    while (bytes.size() < read_bytes)
    {
        bytes += line;
    }
    sse_splitter splitter;
    std::size_t events = 0;
    const auto split_read = [&]
    {
        splitter.feed(bytes);
        while (splitter.next())
        {
            ++events;
        }
    };
    for (int reads = 0; reads < 2; ++reads)
    {
        CAPTURE(line, reads, events);
        CHECK(tests::cpu_time_of(split_read) <= tests::max_time_for_one_read);
    }
}
