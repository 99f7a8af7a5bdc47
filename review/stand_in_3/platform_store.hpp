#pragma once

#include "http_peer.hpp"

#include <condition_variable>

namespace review
{

/// Stand-in for the platform's store: keyed topics of one partition, with the calls log-append,
/// log-read and log-newest. It can be away, and come back from a copy that is some seconds old.
/// Thread-safe.
class platform_store final
{
public:
    explicit platform_store(const std::string& address);
    ~platform_store();

    [[nodiscard]] auto port() const -> std::uint16_t { return this->listener.port(); }
    /// Writes a record as operators and runners do; without a value it removes the key. False while
    /// the store is away.
    auto put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value) -> bool;
    /// While it is away, connections end without an answer.
    auto set_away(bool is_away) -> void;
    /// Removes the keys of a topic, as expiry does; also while the store is away.
    auto expire_keys(const std::string& topic, const std::vector<std::string>& keys) -> void;
    /// Takes the copy from which restore() comes back.
    auto take_copy() -> void;
    /// Everything written since the copy is gone, and offsets are given out again.
    auto restore() -> void;
    /// Offset after the last record of a topic.
    [[nodiscard]] auto end_of(const std::string& topic) -> std::uint64_t;
    /// Calls answered 410, and 429 as beyond its rates, since the start.
    [[nodiscard]] auto expired_reads() const -> int { return this->expired_count; }
    [[nodiscard]] auto rejected_calls() const -> int { return this->rejected_count; }

private:
    struct record
    {
        std::string key;
        std::optional<std::string> value;
    };
    using topic_map = std::map<std::string, std::vector<record>>;

    auto serve(connection& link) -> void;
    [[nodiscard]] auto answer(const message& request) -> std::optional<std::string>;
    /// False if the calls of this second are used up.
    [[nodiscard]] auto admit(bool is_write) -> bool;
    [[nodiscard]] auto append(const message& request) -> std::string;
    [[nodiscard]] auto read(const message& request) -> std::optional<std::string>;
    [[nodiscard]] auto newest(const message& request) -> std::string;
    [[nodiscard]] auto reply(int status, const std::string& type, const std::string& body)
        -> std::string;

    std::mutex mutex;
    std::condition_variable changed;
    topic_map topics;
    topic_map copy;
    bool away = false;
    bool stopping = false;
    int era = 1;
    std::int64_t counted_second = 0;
    int reads = 0;
    int writes = 0;
    std::atomic<int> expired_count{0};
    std::atomic<int> rejected_count{0};
    server listener;
};

} // namespace review
