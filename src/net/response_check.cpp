#include "net/response_check.hpp"

#include "http/message.hpp"

#include <algorithm>
#include <iterator>
#include <optional>

namespace poplardrift
{

namespace
{

/// True if the fields define one body length (RFC 9112, section 6). The client library takes the
/// first field of each name, and its numbers up to the first other letter.
auto has_valid_framing(const httplib::Response& response) -> bool
{
    constexpr int no_content = 204;
    const auto lengths = response.headers.equal_range("Content-Length");
    const auto codings = response.headers.equal_range("Transfer-Encoding");
    const auto has_coding = codings.first != codings.second;
    const auto length = lengths.first != lengths.second ? http::parse_number(lengths.first->second)
                                                        : std::optional<std::uint64_t>(0);
    const auto is_one_length =
        length &&
        std::all_of(lengths.first, lengths.second,
                    [&](const auto& field) { return http::parse_number(field.second) == length; });
    if (response.status == no_content)
    {
        return !has_coding && is_one_length && *length == 0;
    }
    if (!has_coding)
    {
        return is_one_length;
    }
    return lengths.first == lengths.second && std::next(codings.first) == codings.second &&
           http::equal_names(codings.first->second, "chunked") && response.version == "HTTP/1.1";
}

} // namespace

auto has_valid_head(const httplib::Response& response) -> bool
{
    constexpr int lowest_final_status = 200;
    return response.status >= lowest_final_status && http::is_valid_status(response.status) &&
           std::all_of(response.headers.begin(), response.headers.end(),
                       [](const auto& field) { return http::is_valid_field_name(field.first); }) &&
           has_valid_framing(response);
}

auto has_valid_response(const httplib::Result& result) -> bool
{
    return result && has_valid_head(*result);
}

auto describe_failure(const httplib::Result& result) -> std::string
{
    return result ? "the response is not valid HTTP" : httplib::to_string(result.error());
}

} // namespace poplardrift
