#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift::http
{

/// One header field as received, without the whitespace around its value.
struct header_field
{
    std::string_view name;
    std::string_view value;
};

/// Compares two header names, ignoring case.
[[nodiscard]] auto equal_names(std::string_view left, std::string_view right) -> bool;

/// Header fields in the order received. Messages have few fields, so lookup is linear. All text is
/// in one block: a head of thousands of tiny fields takes a small multiple of its size. Names and
/// values refer to the list and are valid until it is changed, moved or destroyed.
class header_list final
{
public:
    class iterator final
    {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = header_field;
        using difference_type = std::ptrdiff_t;
        using pointer = void;
        using reference = header_field;

        iterator(const header_list& list, std::size_t position) : list(&list), position(position) {}
        [[nodiscard]] auto operator*() const -> header_field
        {
            return this->list->at(this->position);
        }
        auto operator++() -> iterator&
        {
            ++this->position;
            return *this;
        }
        auto operator++(int) -> iterator
        {
            auto before = *this;
            ++this->position;
            return before;
        }
        [[nodiscard]] auto operator==(const iterator& other) const -> bool
        {
            return this->position == other.position;
        }

    private:
        const header_list* list;
        std::size_t position;
    };

    auto add(std::string_view name, std::string_view value) -> void;
    /// Value of the first field with this name.
    [[nodiscard]] auto find(std::string_view name) const -> std::optional<std::string_view>;
    [[nodiscard]] auto count(std::string_view name) const -> std::size_t;
    [[nodiscard]] auto begin() const -> iterator { return {*this, 0}; }
    [[nodiscard]] auto end() const -> iterator { return {*this, this->fields.size()}; }
    /// Memory taken by the list.
    [[nodiscard]] auto allocated_bytes() const -> std::size_t;

private:
    /// A name, directly followed by its value.
    struct extent
    {
        std::uint32_t begin = 0;
        std::uint32_t name_size = 0;
        std::uint32_t value_size = 0;
    };

    [[nodiscard]] auto at(std::size_t position) const -> header_field;

    std::string text;
    std::vector<extent> fields;
};

/// Memory that a text takes: its capacity or, of a large block, the pages that have been written.
/// The allocator maps large blocks (M_MMAP_THRESHOLD, set by the router's main function), and the
/// system provides their pages only when they are written.
[[nodiscard]] auto memory_of(const std::string& text) -> std::size_t;
inline constexpr std::size_t min_mapped_bytes = 131'072;

/// Parses a non-negative decimal number without sign or whitespace; nullopt for any other text.
[[nodiscard]] auto parse_number(std::string_view text) -> std::optional<std::uint64_t>;

/// True for a status that a response may have here: 100 to 599 (RFC 9110, section 15) except 101,
/// since no request asks for another protocol.
[[nodiscard]] constexpr auto is_valid_status(int status) -> bool
{
    constexpr int switching_protocols = 101;
    return status >= 100 && status <= 599 && status != switching_protocols;
}

/// True for a field name that consists of token characters only (RFC 9110, section 5.6.2).
[[nodiscard]] constexpr auto is_valid_field_name(std::string_view name) -> bool
{
    const auto is_token = [](char letter)
    {
        constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || marks.find(letter) != std::string_view::npos;
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), is_token);
}

/// How the end of a body is determined.
enum class body_framing : std::uint8_t
{
    none,
    length,
    chunked,
    until_close, ///< responses only: the body ends with the connection
};

/// Request line and header fields.
struct request_head
{
    std::string method;
    std::string target; ///< path and query as received
    header_list fields;
    body_framing framing = body_framing::none;
    bool keep_alive = true;
    bool expects_continue = false;
    bool reads_chunks = true; ///< false for HTTP/1.0: its responses end with the connection instead
};

/// Status line and header fields of a response.
struct response_head
{
    int status = 0;
    std::string reason;
    header_list fields;
    body_framing framing = body_framing::none;
    std::uint64_t content_length = 0; ///< valid with body_framing::length
    bool keep_alive = true;
};

/// The fields of one message that are not forwarded: hop-by-hop fields (RFC 9110, section 7.6.1),
/// those that its Connection fields name, and framing fields, which the router sets separately on
/// each side. Refers to the fields it was made from. A look-up takes logarithmic time in the number
/// of names in the Connection fields.
class hop_by_hop_fields final
{
public:
    explicit hop_by_hop_fields(const header_list& fields);
    [[nodiscard]] auto contains(std::string_view name) const -> bool;

private:
    std::vector<std::string_view> named; ///< by the Connection fields, sorted, ignoring case
};

/// Reason phrase of a status code; "Unknown" for codes that the router does not use.
[[nodiscard]] auto reason_phrase(int status) -> std::string_view;

/// Appends one header line.
auto append_field(std::string& out, std::string_view name, std::string_view value) -> void;
/// Appends one chunk of a chunked body. Empty input appends nothing, as a chunk of size zero would
/// end the body.
auto append_chunk(std::string& out, std::string_view bytes) -> void;
/// Terminator of a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace poplardrift::http
