#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace poplardrift
{

/// The text of a JSON value that leaves the process. Invalid UTF-8, which ids and keys from outside
/// may hold, becomes replacement characters: the library's default throws an exception. With
/// `indent` spaces a level, or on one line if that is negative.
[[nodiscard]] inline auto to_json_text(const nlohmann::json& value, int indent = -1) -> std::string
{
    return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace poplardrift
