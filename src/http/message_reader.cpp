#include "http/message_reader.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <optional>

namespace poplardrift::http
{

namespace
{

namespace beast = boost::beast;

constexpr std::size_t max_response_head_bytes = 65'536; ///< at least what common servers accept
/// Beast needs a finite limit for bodies with a length. Response bodies are not limited here.
constexpr std::uint64_t unbounded_body = std::uint64_t{1} << 40;

/// Bytes of a body after which it is given room for its whole length; shorter ones have it at once.
constexpr std::size_t reserve_from_bytes = 65'536;

auto to_view(beast::string_view text) -> std::string_view
{
    return {text.data(), text.size()};
}

/// True for control characters except a tab (RFC 5234, appendix B.1).
auto is_control(char letter) -> bool
{
    constexpr char delete_character = 0x7f;
    const auto code = static_cast<unsigned char>(letter);
    return (code < ' ' && letter != '\t') || letter == delete_character;
}

/// Stores the head and body found by Beast's parser. Fields after the head are trailers and are
/// dropped.
template <bool IsRequest, class Head>
class collecting_parser final : public beast::http::basic_parser<IsRequest>
{
public:
    Head head;
    std::string body;
    std::size_t length = 0; ///< of a request's whole body, if the head says so
    int version = 0;        ///< of a response's HTTP: 10 for HTTP/1.0, 11 for HTTP/1.1
    bool head_done = false;
    /// Begin of a response's trailers, after the size and extensions of the last chunk. Set by the
    /// put that completes the response, and valid until the bytes of that put are consumed.
    const char* trailers = nullptr;

private:
    using text = beast::string_view;
    using code = beast::error_code;

    auto on_request_impl(beast::http::verb, text method, text target, int version, code&)
        -> void override
    {
        if constexpr (IsRequest)
        {
            this->head.method = to_view(method);
            this->head.target = to_view(target);
            this->head.reads_chunks = version >= 11;
        }
    }
    auto on_response_impl(int status, text reason, int response_version, code& error)
        -> void override
    {
        if constexpr (!IsRequest)
        {
            // The parser accepts any three digits.
            if (!is_valid_status(status))
            {
                error = beast::http::error::bad_status;
                return;
            }
            this->head.status = status;
            this->head.reason = to_view(reason);
            this->version = response_version;
        }
    }
    auto on_field_impl(beast::http::field, text name, text value, code&) -> void override
    {
        if (!this->head_done)
        {
            this->head.fields.add(to_view(name), to_view(value));
        }
    }
    auto on_header_impl(code&) -> void override { this->head_done = true; }
    auto on_body_init_impl(const boost::optional<std::uint64_t>& length, code&) -> void override
    {
        if constexpr (IsRequest)
        {
            this->length = static_cast<std::size_t>(length.value_or(0));
        }
    }
    auto on_body_impl(text bytes, code&) -> std::size_t override
    {
        // A body that grows in steps is copied. What is only announced takes no memory until the
        // body has shown that it comes.
        const auto is_coming =
            this->length <= reserve_from_bytes || this->body.size() >= reserve_from_bytes;
        if (this->length > this->body.capacity() && is_coming)
        {
            this->body.reserve(this->length);
        }
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    auto on_chunk_header_impl(std::uint64_t size, text extensions, code& error) -> void override
    {
        if constexpr (!IsRequest)
        {
            this->trailers = size == 0 ? extensions.data() + extensions.size() : nullptr;
            // The parser takes any byte within a quoted string.
            if (std::any_of(extensions.begin(), extensions.end(), is_control))
            {
                error = beast::http::error::bad_chunk_extension;
            }
        }
    }
    auto on_chunk_body_impl(std::uint64_t, text bytes, code&) -> std::size_t override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    auto on_finish_impl(code&) -> void override {}
};

using request_parser = collecting_parser<true, request_head>;
using response_parser = collecting_parser<false, response_head>;

auto to_read_error(const beast::error_code& code) -> read_error
{
    if (code == beast::http::error::header_limit)
    {
        return read_error::head_too_large;
    }
    if (code == beast::http::error::body_limit)
    {
        return read_error::body_too_large;
    }
    return read_error::malformed;
}

/// Most bytes of one element between body bytes, such as a chunk's header with extensions.
constexpr std::size_t max_element_bytes = 65'536;

/// Bytes that wait to be parsed. Consuming moves the rest to the front only when it is no longer
/// than what has been consumed, so the cost of many small messages is linear in their bytes.
class pending_bytes final
{
public:
    auto append(std::string_view more) -> void { this->bytes.append(more); }
    auto consume(std::size_t count) -> void
    {
        this->consumed += count;
        if (this->consumed == this->bytes.size() && this->bytes.capacity() > max_kept_bytes)
        {
            this->bytes = {};
            this->consumed = 0;
        }
        else if (this->consumed >= this->size())
        {
            this->bytes.erase(0, this->consumed);
            this->consumed = 0;
        }
    }
    [[nodiscard]] auto capacity() const -> std::size_t { return this->bytes.capacity(); }
    [[nodiscard]] auto data() const -> const char* { return this->bytes.data() + this->consumed; }
    [[nodiscard]] auto size() const -> std::size_t { return this->bytes.size() - this->consumed; }
    [[nodiscard]] auto empty() const -> bool { return this->size() == 0; }

private:
    /// An empty buffer that is larger gives its memory back, so that idle connections hold little.
    static constexpr std::size_t max_kept_bytes = 4096;

    std::string bytes;
    std::size_t consumed = 0;
};

/// True if a line of these fields continues the one before it. The parser joins such lines, so a
/// name that begins with a blank becomes part of the value before it.
auto has_continued_line(std::string_view fields) -> bool
{
    return fields.find("\n ") != std::string_view::npos ||
           fields.find("\n\t") != std::string_view::npos;
}

/// Feeds the bytes of a source to a parser. What it does not take stays in the source.
template <class Parser, class Source>
auto advance(Parser& parser, Source& source) -> read_error
{
    while (!source.empty() && !parser.is_done())
    {
        beast::error_code code;
        // A parser that is not eager takes no bytes of the body together with the last fields.
        const auto is_in_fields = !parser.eager();
        const auto consumed =
            parser.put(boost::asio::const_buffer(source.data(), source.size()), code);
        const auto* const fields = is_in_fields       ? source.data()
                                   : parser.is_done() ? parser.trailers
                                                      : nullptr;
        const auto* const end = source.data() + consumed;
        if (fields != nullptr &&
            has_continued_line({fields, static_cast<std::size_t>(end - fields)}))
        {
            return read_error::malformed;
        }
        source.consume(consumed);
        parser.eager(!is_in_fields || parser.head_done);
        if (code == beast::http::error::need_more)
        {
            return source.size() <= max_element_bytes ? read_error::none : read_error::malformed;
        }
        if (code)
        {
            return to_read_error(code);
        }
        if (consumed == 0 && !parser.is_done())
        {
            return read_error::none;
        }
    }
    return read_error::none;
}

/// Bytes that were just received, parsed where they are.
class received_bytes final
{
public:
    explicit received_bytes(std::string_view bytes) : bytes(bytes) {}
    auto consume(std::size_t count) -> void { this->bytes.remove_prefix(count); }
    [[nodiscard]] auto data() const -> const char* { return this->bytes.data(); }
    [[nodiscard]] auto size() const -> std::size_t { return this->bytes.size(); }
    [[nodiscard]] auto empty() const -> bool { return this->bytes.empty(); }

private:
    std::string_view bytes;
};

template <class Head>
auto framing_of(const Head& head, bool chunked, bool has_length) -> std::optional<body_framing>
{
    const auto coding = head.fields.find("Transfer-Encoding");
    if (coding)
    {
        // Any other coding would have to be decoded; senders here never use one.
        return chunked && equal_names(*coding, "chunked") ? std::optional(body_framing::chunked)
                                                          : std::nullopt;
    }
    return has_length ? body_framing::length : body_framing::none;
}

} // namespace

class request_reader::implementation final
{
public:
    explicit implementation(reader_limits limits) { this->restart(limits); }

    auto restart(reader_limits limits) -> void
    {
        this->parser.emplace();
        this->parser->eager(true);
        this->parser->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
        this->parser->body_limit(limits.body_bytes);
        this->failure = read_error::none;
        this->checked = false;
    }

    /// Copies only what the parser cannot take yet.
    auto feed(std::string_view bytes) -> void
    {
        if (!this->pending.empty())
        {
            this->pending.append(bytes);
            this->advance_parser(this->pending);
            return;
        }
        received_bytes received(bytes);
        this->advance_parser(received);
        this->pending.append({received.data(), received.size()});
    }

    template <class Source>
    auto advance_parser(Source& source) -> void
    {
        if (this->failure != read_error::none)
        {
            return;
        }
        this->failure = advance(*this->parser, source);
        if (this->failure == read_error::none && this->parser->head_done && !this->checked)
        {
            this->check_head();
        }
    }

    auto check_head() -> void
    {
        this->checked = true;
        auto& head = this->parser->head;
        const auto framing =
            framing_of(head, this->parser->chunked(), this->parser->content_length().has_value());
        if (!framing)
        {
            this->failure = read_error::unsupported_coding;
            return;
        }
        head.framing = *framing;
        head.keep_alive = this->parser->keep_alive();
        const auto expect = head.fields.find("Expect");
        head.expects_continue = head.reads_chunks && expect && equal_names(*expect, "100-continue");
        const auto hosts = head.fields.count("Host");
        const auto host_is_valid = hosts == 1 || (hosts == 0 && !head.reads_chunks);
        // HTTP/1.0 has no transfer codings: with one, the end of the message is ambiguous.
        const auto coding_is_supported = head.reads_chunks || framing != body_framing::chunked;
        if (!host_is_valid || !coding_is_supported)
        {
            this->failure = read_error::malformed;
        }
    }

    std::optional<request_parser> parser;
    pending_bytes pending;
    read_error failure = read_error::none;
    bool checked = false;
};

request_reader::request_reader(reader_limits limits)
    : self(std::make_unique<implementation>(limits))
{
}
request_reader::~request_reader() = default;
request_reader::request_reader(request_reader&&) noexcept = default;
auto request_reader::operator=(request_reader&&) noexcept -> request_reader& = default;

auto request_reader::feed(std::string_view bytes) -> void
{
    this->self->feed(bytes);
}

auto request_reader::next(reader_limits limits) -> void
{
    this->self->restart(limits);
    this->self->advance_parser(this->self->pending);
}

auto request_reader::error() const -> read_error
{
    return this->self->failure;
}
auto request_reader::has_head() const -> bool
{
    return this->self->parser->head_done;
}
auto request_reader::is_complete() const -> bool
{
    return this->self->failure == read_error::none && this->self->parser->is_done();
}
auto request_reader::has_begun() const -> bool
{
    return this->self->parser->got_some() || !this->self->pending.empty();
}
auto request_reader::bytes_ahead() const -> std::size_t
{
    return this->self->pending.size();
}
auto request_reader::head() const -> const request_head&
{
    return this->self->parser->head;
}
auto request_reader::body_size() const -> std::size_t
{
    return this->self->parser->body.size();
}
auto request_reader::body_memory() const -> std::size_t
{
    return memory_of(this->self->parser->body);
}
auto request_reader::other_memory() const -> std::size_t
{
    const auto& head = this->self->parser->head;
    return this->self->pending.capacity() + head.fields.allocated_bytes() + head.target.capacity() +
           head.method.capacity();
}
auto request_reader::take_body() -> std::string
{
    return std::exchange(this->self->parser->body, {});
}

class response_reader::implementation final
{
public:
    implementation() { this->restart(); }

    auto restart() -> void
    {
        this->parser.emplace();
        this->parser->eager(false);
        this->parser->header_limit(max_response_head_bytes);
        this->parser->body_limit(unbounded_body);
        this->parser->skip(this->to_head_request);
        this->failure = read_error::none;
        this->checked = false;
    }

    auto advance_parser() -> void
    {
        while (this->failure == read_error::none)
        {
            const auto pending_before = this->pending.size();
            this->failure = advance(*this->parser, this->pending);
            if (this->failure != read_error::none || !this->parser->head_done)
            {
                return;
            }
            if (this->announces_forbidden_body())
            {
                this->failure = read_error::malformed;
                return;
            }
            if (this->parser->head.status / 100 == 1)
            {
                this->interim_bytes += pending_before - this->pending.size();
                this->restart();
                this->failure = this->interim_bytes > max_response_head_bytes
                                    ? read_error::head_too_large
                                    : read_error::none;
                continue;
            }
            if (!this->checked)
            {
                this->check_head();
            }
            return;
        }
    }

    /// True if the fields announce a body although the status has none. What the upstream sends as
    /// that body would be read as the next response.
    [[nodiscard]] auto announces_forbidden_body() const -> bool
    {
        constexpr int no_content = 204;
        const auto& head = this->parser->head;
        const auto has_no_body = head.status / 100 == 1 || head.status == no_content;
        return has_no_body && (this->parser->content_length().value_or(0) > 0 ||
                               head.fields.find("Transfer-Encoding"));
    }

    auto check_head() -> void
    {
        this->checked = true;
        auto& head = this->parser->head;
        const auto length = this->parser->content_length();
        const auto framing = framing_of(head, this->parser->chunked(), length.has_value());
        if (!framing)
        {
            this->failure = read_error::unsupported_coding;
            return;
        }
        constexpr int version_with_codings = 11; // with one, the framing of HTTP/1.0 is faulty
        if (framing == body_framing::chunked && this->parser->version < version_with_codings)
        {
            this->failure = read_error::malformed;
            return;
        }
        head.framing = *framing;
        if (this->parser->need_eof())
        {
            head.framing = body_framing::until_close;
        }
        head.content_length = length ? *length : 0;
        head.keep_alive = this->parser->keep_alive();
    }

    std::optional<response_parser> parser;
    pending_bytes pending;
    std::size_t interim_bytes = 0; ///< of the interim responses that were skipped
    read_error failure = read_error::none;
    bool checked = false;
    bool to_head_request = false;
};

response_reader::response_reader() : self(std::make_unique<implementation>())
{
}
response_reader::~response_reader() = default;
response_reader::response_reader(response_reader&&) noexcept = default;
auto response_reader::operator=(response_reader&&) noexcept -> response_reader& = default;

auto response_reader::next(bool to_head_request) -> void
{
    this->self->to_head_request = to_head_request;
    this->self->interim_bytes = 0;
    this->self->restart();
    this->self->advance_parser();
}

auto response_reader::feed(std::string_view bytes) -> void
{
    this->self->pending.append(bytes);
    this->self->advance_parser();
}

auto response_reader::feed_end() -> void
{
    auto& parser = *this->self->parser;
    if (this->self->failure != read_error::none || parser.is_done())
    {
        return;
    }
    beast::error_code code;
    if (parser.head_done && parser.need_eof())
    {
        parser.put_eof(code);
    }
    if (code || !parser.is_done())
    {
        this->self->failure = read_error::malformed;
    }
}

auto response_reader::error() const -> read_error
{
    return this->self->failure;
}
auto response_reader::has_begun() const -> bool
{
    return this->self->parser->got_some() || !this->self->pending.empty();
}
auto response_reader::has_head() const -> bool
{
    return this->self->checked && this->self->parser->head_done;
}
auto response_reader::is_complete() const -> bool
{
    return this->self->failure == read_error::none && this->self->parser->is_done();
}
auto response_reader::bytes_ahead() const -> std::size_t
{
    return this->self->pending.size();
}
auto response_reader::head() const -> const response_head&
{
    return this->self->parser->head;
}
auto response_reader::take_body() -> std::string
{
    return std::exchange(this->self->parser->body, {});
}

} // namespace poplardrift::http
