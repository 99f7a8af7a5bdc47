#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift::http
{

/// One header field as it arrived, without the white space around its value.
struct header_field
{
    std::string name;
    std::string value;
};

/// True when two header names are equal; names have no case.
[[nodiscard]] auto equal_names(std::string_view left, std::string_view right) -> bool;

/// Header fields in the order of arrival. Messages have few, so a search is linear.
class header_list final
{
public:
    auto add(std::string_view name, std::string_view value) -> void;
    /// Value of the first field with this name.
    [[nodiscard]] auto find(std::string_view name) const -> std::optional<std::string_view>;
    [[nodiscard]] auto count(std::string_view name) const -> std::size_t;
    [[nodiscard]] auto begin() const { return this->fields.begin(); }
    [[nodiscard]] auto end() const { return this->fields.end(); }

private:
    std::vector<header_field> fields;
};

/// True when a comma-separated header value has this token.
[[nodiscard]] auto has_token(std::string_view value, std::string_view token) -> bool;

/// A non-negative decimal number without sign or white space; nothing when it is anything else.
[[nodiscard]] auto parse_number(std::string_view text) -> std::optional<std::uint64_t>;

/// How the end of a body is known.
enum class body_framing : std::uint8_t
{
    none,
    length,
    chunked,
    until_close, ///< responses only: the body ends with the connection
};

/// First part of a request.
struct request_head
{
    std::string method;
    std::string target; ///< path and query, unchanged
    header_list fields;
    body_framing framing = body_framing::none;
    bool keep_alive = true;
    bool expects_continue = false;
    bool reads_chunks = true; ///< false for HTTP/1.0, whose answers end with the connection instead
};

/// First part of a response.
struct response_head
{
    int status = 0;
    std::string reason;
    header_list fields;
    body_framing framing = body_framing::none;
    std::uint64_t content_length = 0; ///< meaningful with body_framing::length
    bool keep_alive = true;
};

/// True for fields that concern a single connection (RFC 9110, section 7.6.1) or the framing, which
/// each side of the router sets by itself. `connection` is the value of the Connection field.
[[nodiscard]] auto is_hop_by_hop_field(std::string_view name, std::string_view connection) -> bool;

/// Reason phrase of a status code.
[[nodiscard]] auto reason_phrase(int status) -> std::string_view;

/// Appends one header line.
auto append_field(std::string& out, std::string_view name, std::string_view value) -> void;
/// Appends one chunk of a chunked body. Empty bytes append nothing: they would end the body.
auto append_chunk(std::string& out, std::string_view bytes) -> void;
/// What ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace poplardrift::http
