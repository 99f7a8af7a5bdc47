#include "store_stand_in.hpp"

#include "platform/store_client.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace poplardrift::tests
{

namespace
{

using nlohmann::json;

auto to_base64(const std::string& bytes) -> std::string
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                      reinterpret_cast<const unsigned char*>(bytes.data()),
                                      static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

auto big_endian(std::uint64_t number) -> std::string
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8)
    {
        bytes.push_back(static_cast<char>(number >> static_cast<unsigned>(shift) & 0xffU));
    }
    return bytes;
}

auto number_param(const httplib::Request& request, const char* name) -> std::uint64_t
{
    return request.has_param(name) ? std::stoull(request.get_param_value(name)) : 0;
}

constexpr std::size_t page_size = 3; ///< small, so that listings span several pages
/// Connections served concurrently; each long-polling read occupies one.
constexpr std::size_t max_connections = 128;

} // namespace

store_stand_in::store_stand_in()
{
    this->server.new_task_queue = [] { return new httplib::ThreadPool(max_connections); };
    this->server.Post("/-/log-append", [this](const auto& request, auto& response)
                      { this->handle_append(request, response); });
    this->server.Get("/-/log-read", [this](const auto& request, auto& response)
                     { this->handle_read(request, response); });
    this->server.Get("/-/log-newest", [this](const auto& request, auto& response)
                     { this->handle_newest(request, response); });
    this->listening_port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

store_stand_in::~store_stand_in()
{
    this->stopping = true;
    this->records_changed.notify_all();
    this->server.stop();
    this->thread.join();
}

auto store_stand_in::put_locked(topic& target, const std::string& key,
                                const std::optional<std::string>& value) -> void
{
    const auto position = target.first_offset + target.records.size();
    target.records.push_back({key, value});
    target.newest.erase(key);
    if (value)
    {
        target.newest[key] = {position, *value};
    }
}

auto store_stand_in::put(const std::string& name, const std::string& key,
                         const std::optional<std::string>& value) -> void
{
    const std::lock_guard lock(this->mutex);
    this->put_locked(this->topics[name], key, value);
    this->records_changed.notify_all();
}

auto store_stand_in::expire(const std::string& name) -> void
{
    const std::lock_guard lock(this->mutex);
    auto& target = this->topics[name];
    target.first_offset += target.records.size();
    target.records.clear();
}

auto store_stand_in::append_during_next_listing(const std::string& key, const std::string& value)
    -> void
{
    const std::lock_guard lock(this->mutex);
    this->overtaking_change = {key, value};
}

auto store_stand_in::append_between_pages(const change_list& changes) -> void
{
    const std::lock_guard lock(this->mutex);
    this->changes_between_pages = changes;
}

auto store_stand_in::take_copy() -> void
{
    const std::lock_guard lock(this->mutex);
    this->copy = this->topics;
}

auto store_stand_in::restore() -> void
{
    const std::lock_guard lock(this->mutex);
    this->restore_locked();
}

auto store_stand_in::restore_locked() -> void
{
    this->topics = this->copy;
    ++this->era;
    this->records_changed.notify_all();
}

auto store_stand_in::state_era(const std::optional<std::string>& text) -> void
{
    const std::lock_guard lock(this->mutex);
    this->stated_era = text;
}

auto store_stand_in::append_era(httplib::Response& response) -> void
{
    const auto text =
        this->stated_era.value_or(this->era > 0 ? std::to_string(this->era) : std::string());
    if (!text.empty())
    {
        response.set_header("Store-Era", text);
    }
}

auto store_stand_in::reject_if_down(httplib::Response& response) -> bool
{
    ++this->call_count;
    {
        const std::lock_guard lock(this->mutex);
        this->append_era(response);
    }
    if (this->down)
    {
        response.status = 503;
    }
    return this->down;
}

auto store_stand_in::handle_append(const httplib::Request& request, httplib::Response& response)
    -> void
{
    if (this->reject_if_down(response))
    {
        return;
    }
    const std::lock_guard lock(this->mutex);
    auto& target = this->topics[request.get_param_value("topic")];
    const auto expected = number_param(request, "at");
    if (request.has_param("at") && expected != target.first_offset + target.records.size())
    {
        response.status = 412;
        return;
    }
    const auto& body = request.body;
    const auto key_size = static_cast<std::size_t>(static_cast<unsigned char>(body.at(4)));
    this->put_locked(target, body.substr(5, key_size), body.substr(5 + key_size));
    this->records_changed.notify_all();
    const auto end = target.first_offset + target.records.size();
    response.set_content(json{{"offset", end - 1}, {"end_offset", end}}.dump(), "application/json");
}

auto store_stand_in::handle_read(const httplib::Request& request, httplib::Response& response)
    -> void
{
    if (this->reject_if_down(response))
    {
        return;
    }
    std::unique_lock lock(this->mutex);
    const auto asked_in = this->era;
    const auto name = request.get_param_value("topic");
    const auto from = number_param(request, "from");
    const auto wait = std::chrono::milliseconds(number_param(request, "wait_ms"));
    this->records_changed.wait_for(lock, wait,
                                   [&]
                                   {
                                       const auto& target = this->topics[name];
                                       return this->stopping || this->era != asked_in ||
                                              from != target.first_offset + target.records.size();
                                   });
    const auto& target = this->topics[name];
    response.headers.erase("Store-Era"); // that of the time before the wait
    this->append_era(response);
    if (from < target.first_offset || from > target.first_offset + target.records.size())
    {
        response.status = 410;
        response.set_content(json{{"first_offset", target.first_offset}}.dump(),
                             "application/json");
        return;
    }
    auto body =
        big_endian(target.first_offset + target.records.size()) + big_endian(target.first_offset);
    for (auto index = from - target.first_offset; index < target.records.size(); ++index)
    {
        const auto& item = target.records[index];
        body += platform::encode_keyed_record(item.key, item.value);
    }
    response.set_content(body, "application/octet-stream");
}

auto store_stand_in::handle_newest(const httplib::Request& request, httplib::Response& response)
    -> void
{
    if (this->reject_if_down(response))
    {
        return;
    }
    const std::lock_guard lock(this->mutex);
    auto& target = this->topics[request.get_param_value("topic")];
    const auto after = request.has_param("after") ? request.get_param_value("after") : "";
    json items = json::array();
    auto next = after.empty() ? target.newest.begin() : target.newest.upper_bound(after);
    for (; next != target.newest.end() && items.size() < page_size; ++next)
    {
        items.push_back({{"key", next->first},
                         {"value", to_base64(next->second.second)},
                         {"offset", next->second.first}});
    }
    if (const auto change = std::exchange(this->overtaking_change, std::nullopt))
    {
        this->put_locked(target, change->first, change->second);
    }
    response.set_content(json{{"items", items},
                              {"has_more", next != target.newest.end()},
                              {"end_offset", target.first_offset + target.records.size()}}
                             .dump(),
                         "application/json");
    for (const auto& [key, value] : std::exchange(this->changes_between_pages, {}))
    {
        this->put_locked(target, key, value);
    }
    if (this->restores_between_pages.exchange(false))
    {
        this->restore_locked();
    }
}

} // namespace poplardrift::tests
