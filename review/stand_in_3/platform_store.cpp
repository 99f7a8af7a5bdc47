#include "platform_store.hpp"

#include <nlohmann/json.hpp>

namespace review
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

/// Rates of the small deployments, for all nodes together.
constexpr int writes_per_second = 400;
constexpr int reads_per_second = 2000;
constexpr auto answer_time = 4ms;

auto to_base64(const std::string& bytes) -> std::string
{
    static const std::string letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t begin = 0; begin < bytes.size(); begin += 3)
    {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - begin);
        for (std::size_t index = 0; index < 3; ++index)
        {
            group = group << 8U |
                    (index < count ? static_cast<unsigned char>(bytes[begin + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index)
        {
            text.push_back(index <= count ? letters[group >> (18U - 6U * index) & 63U] : '=');
        }
    }
    return text;
}

auto big_endian(std::uint64_t number, int bytes) -> std::string
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    {
        text.push_back(static_cast<char>(number >> static_cast<unsigned>(shift) & 0xffU));
    }
    return text;
}

auto number_of(const message& request, const std::string& name, std::uint64_t fallback)
    -> std::uint64_t
{
    const auto text = request.parameter(name);
    return text ? std::strtoull(text->c_str(), nullptr, 10) : fallback;
}

} // namespace

platform_store::platform_store(const std::string& address)
    : listener(address, [this](connection& link) { this->serve(link); })
{
}

platform_store::~platform_store()
{
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
}

auto platform_store::put(const std::string& topic, const std::string& key,
                         const std::optional<std::string>& value) -> bool
{
    const std::lock_guard lock(this->mutex);
    if (this->away)
    {
        return false;
    }
    this->topics[topic].push_back({key, value});
    this->changed.notify_all();
    return true;
}

auto platform_store::set_away(bool is_away) -> void
{
    const std::lock_guard lock(this->mutex);
    this->away = is_away;
    this->changed.notify_all();
}

auto platform_store::expire_keys(const std::string& topic, const std::vector<std::string>& keys)
    -> void
{
    const std::lock_guard lock(this->mutex);
    for (const auto& key : keys)
    {
        this->topics[topic].push_back({key, std::nullopt});
    }
    this->changed.notify_all();
}

auto platform_store::take_copy() -> void
{
    const std::lock_guard lock(this->mutex);
    this->copy = this->topics;
}

auto platform_store::restore() -> void
{
    const std::lock_guard lock(this->mutex);
    this->topics = this->copy;
    ++this->era;
    this->changed.notify_all();
}

auto platform_store::end_of(const std::string& topic) -> std::uint64_t
{
    const std::lock_guard lock(this->mutex);
    return this->topics[topic].size();
}

auto platform_store::serve(connection& link) -> void
{
    while (const auto request = link.read(60s, false))
    {
        const auto text = this->answer(*request);
        if (!text || !link.write(*text))
        {
            return;
        }
    }
}

auto platform_store::answer(const message& request) -> std::optional<std::string>
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->away || this->stopping)
        {
            return std::nullopt;
        }
    }
    std::this_thread::sleep_for(answer_time);
    if (!this->admit(request.method() == "POST"))
    {
        ++this->rejected_count;
        return this->reply(429, "text/plain", "beyond the rate\n");
    }
    const auto path = request.target().substr(0, request.target().find('?'));
    if (path == "/-/log-append" && request.method() == "POST")
    {
        return this->append(request);
    }
    if (path == "/-/log-read")
    {
        return this->read(request);
    }
    if (path == "/-/log-newest")
    {
        return this->newest(request);
    }
    return this->reply(404, "text/plain", "no such call\n");
}

auto platform_store::admit(bool is_write) -> bool
{
    const std::lock_guard lock(this->mutex);
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(clock::now().time_since_epoch()).count();
    if (second != this->counted_second)
    {
        this->counted_second = second;
        this->reads = 0;
        this->writes = 0;
    }
    auto& calls = is_write ? this->writes : this->reads;
    return ++calls <= (is_write ? writes_per_second : reads_per_second);
}

auto platform_store::reply(int status, const std::string& type, const std::string& body)
    -> std::string
{
    return response(
        status, "Store-Era: " + std::to_string(this->era) + "\r\nContent-Type: " + type + "\r\n",
        body);
}

auto platform_store::append(const message& request) -> std::string
{
    const std::lock_guard lock(this->mutex);
    const auto topic = request.parameter("topic").value_or("");
    if (topic == "keyed.op" || topic == "keyed.servers")
    {
        return this->reply(403, "application/json", "{}");
    }
    auto& records = this->topics[topic];
    const auto offset = records.size();
    if (number_of(request, "at", offset) != offset)
    {
        return this->reply(412, "application/json", json{{"end_offset", offset}}.dump());
    }
    std::string_view body = request.body;
    while (body.size() > 4)
    {
        std::size_t length = 0;
        for (std::size_t index = 0; index < 4; ++index)
        {
            length = length << 8U | static_cast<unsigned char>(body[index]);
        }
        const auto content = body.substr(4, length);
        const auto key_size = static_cast<std::size_t>(static_cast<unsigned char>(content.at(0)));
        const auto value = std::string(content.substr(1 + key_size));
        records.push_back({std::string(content.substr(1, key_size)),
                           value.empty() ? std::nullopt : std::optional(value)});
        body.remove_prefix(4 + length);
    }
    this->changed.notify_all();
    return this->reply(200, "application/json",
                       json{{"offset", offset}, {"end_offset", records.size()}}.dump());
}

auto platform_store::read(const message& request) -> std::optional<std::string>
{
    std::unique_lock lock(this->mutex);
    const auto topic = request.parameter("topic").value_or("");
    const auto from = number_of(request, "from", 0);
    const auto wait = std::min<std::uint64_t>(number_of(request, "wait_ms", 0), 30'000);
    const auto asked_in = this->era;
    if (from <= this->topics[topic].size())
    {
        this->changed.wait_for(lock, milliseconds(wait),
                               [&]
                               {
                                   return this->away || this->stopping || this->era != asked_in ||
                                          this->topics[topic].size() > from;
                               });
    }
    if (this->away || this->stopping || this->era != asked_in)
    {
        return std::nullopt; // the connections of the store that went away have ended
    }
    const auto& records = this->topics[topic];
    if (from > records.size())
    {
        ++this->expired_count;
        return this->reply(410, "application/json", json{{"first_offset", 0}}.dump());
    }
    auto body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (auto index = from; index < records.size(); ++index)
    {
        const auto& item = records[index];
        const auto content =
            std::string(1, static_cast<char>(item.key.size())) + item.key + item.value.value_or("");
        body += big_endian(content.size(), 4) + content;
    }
    return this->reply(200, "application/octet-stream", body);
}

auto platform_store::newest(const message& request) -> std::string
{
    constexpr std::size_t page_size = 500;
    const std::lock_guard lock(this->mutex);
    const auto& records = this->topics[request.parameter("topic").value_or("")];
    std::map<std::string, std::size_t> last;
    for (std::size_t offset = 0; offset < records.size(); ++offset)
    {
        last[records[offset].key] = offset;
    }
    const auto after = request.parameter("after").value_or("");
    auto items = json::array();
    auto has_more = false;
    for (const auto& [key, offset] : last)
    {
        if (!records[offset].value || (!after.empty() && key <= after))
        {
            continue;
        }
        has_more = items.size() >= page_size;
        if (has_more)
        {
            break;
        }
        items.push_back(
            {{"key", key}, {"value", to_base64(*records[offset].value)}, {"offset", offset}});
    }
    return this->reply(
        200, "application/json",
        json{{"items", items}, {"has_more", has_more}, {"end_offset", records.size()}}.dump());
}

} // namespace review
