#include "poplardrift/streams/event_sequencer.hpp"

namespace poplardrift
{

auto event_sequencer::start_connection() -> void
{
    this->completion_id.clear();
    this->buffered.clear();
}

auto event_sequencer::is_from_other_completion(const sse_event& event) -> bool
{
    const auto id = find_string_member(
        event.data.substr(0, std::min<std::size_t>(event.data.size(), 256)), "\"id\"");
    if (id.empty())
    {
        return false;
    }
    if (this->completion_id.empty())
    {
        this->completion_id = id;
    }
    return id != this->completion_id;
}

auto event_sequencer::release_event(const sse_event& event, std::vector<std::string_view>& due)
    -> void
{
    due.push_back(event.raw);
    this->complete = this->complete || is_done_event(event);
    this->answer_text += find_string_member(event.data, "\"content\"");
}

auto event_sequencer::add_event(const sse_event& event, std::vector<std::string_view>& due) -> void
{
    this->released.clear();
    if (this->is_from_other_completion(event))
    {
        ++this->dropped_count;
        return;
    }
    if (!event.sequence)
    {
        // The engine does not number its events: they are released as received.
        this->release_event(event, due);
        return;
    }
    this->numbered = true;
    if (*event.sequence <= this->last_sequence)
    {
        ++this->dropped_count;
        return;
    }
    if (*event.sequence != this->last_sequence + 1)
    {
        this->buffered.emplace(*event.sequence, std::string(event.raw));
        return;
    }
    this->release_event(event, due);
    this->last_sequence = *event.sequence;
    // Buffered events that follow directly are due now.
    while (!this->buffered.empty() && this->buffered.begin()->first == this->last_sequence + 1)
    {
        auto node = this->buffered.extract(this->buffered.begin());
        this->last_sequence = node.key();
        this->released.push_back(std::move(node.mapped()));
    }
    for (const auto& raw : this->released)
    {
        sse_splitter splitter;
        splitter.feed(raw);
        const auto parsed = splitter.next();
        this->complete = this->complete || is_done_event(*parsed);
        this->answer_text += find_string_member(parsed->data, "\"content\"");
        due.push_back(raw);
    }
}

} // namespace poplardrift
