#include "poplardrift/config/json_reader.hpp"
#include "poplardrift/base/json_text.hpp"

#include <algorithm>
#include <numeric>

namespace poplardrift
{

namespace
{

/// Levenshtein distance, computed with two rows of the matrix.
auto edit_distance(std::string_view left, std::string_view right) -> std::size_t
{
    std::vector<std::size_t> previous(right.size() + 1);
    std::iota(previous.begin(), previous.end(), std::size_t{0});
    for (std::size_t row = 1; row <= left.size(); ++row)
    {
        std::vector<std::size_t> current(right.size() + 1);
        current[0] = row;
        for (std::size_t column = 1; column <= right.size(); ++column)
        {
            const auto substituted =
                previous[column - 1] + (left[row - 1] == right[column - 1] ? 0 : 1);
            current[column] =
                std::min({previous[column] + 1, current[column - 1] + 1, substituted});
        }
        previous = std::move(current);
    }
    return previous.back();
}

} // namespace

auto nearest_name(std::string_view name, const std::set<std::string, std::less<>>& known_names)
    -> std::string
{
    std::string best;
    auto best_distance = std::max<std::size_t>(3, name.size() / 2) + 1;
    for (const auto& candidate : known_names)
    {
        const auto distance = edit_distance(name, candidate);
        if (distance < best_distance)
        {
            best_distance = distance;
            best = candidate;
        }
    }
    return best;
}

json_reader::json_reader(const nlohmann::json& object, std::string where,
                         std::vector<config_error>& errors, bool refuse_unknown)
    : object(object), where(std::move(where)), errors(errors), refuse_unknown(refuse_unknown)
{
    if (!object.is_object())
    {
        this->errors.push_back({this->where, "must be an object"});
    }
}

auto json_reader::add_error(std::string_view name, std::string what) -> void
{
    this->errors.push_back({this->where + "/" + std::string(name), std::move(what)});
}

auto json_reader::member(std::string_view name) -> const nlohmann::json*
{
    this->known_names.emplace(name);
    if (!this->object.is_object())
    {
        return nullptr;
    }
    const auto found = this->object.find(std::string(name));
    return found == this->object.end() ? nullptr : &*found;
}

auto json_reader::text(std::string_view name, std::string& target) -> json_reader&
{
    const auto* found = this->member(name);
    if (found == nullptr)
    {
        return *this;
    }
    if (!found->is_string())
    {
        this->add_error(name, "is " + to_json_text(*found) + "; allowed: a string");
        return *this;
    }
    target = found->get<std::string>();
    return *this;
}

auto json_reader::flag(std::string_view name, bool& target) -> json_reader&
{
    const auto* found = this->member(name);
    if (found == nullptr)
    {
        return *this;
    }
    if (!found->is_boolean())
    {
        this->add_error(name, "is " + to_json_text(*found) + "; allowed: true or false");
        return *this;
    }
    target = found->get<bool>();
    return *this;
}

auto json_reader::integer(std::string_view name, std::int64_t& target, std::int64_t minimum,
                          std::int64_t maximum) -> json_reader&
{
    const auto* found = this->member(name);
    if (found == nullptr)
    {
        return *this;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < minimum ||
        found->get<std::int64_t>() > maximum)
    {
        this->add_error(name, "is " + to_json_text(*found) + "; allowed: a whole number from " +
                                  std::to_string(minimum) + " to " + std::to_string(maximum));
        return *this;
    }
    target = found->get<std::int64_t>();
    return *this;
}

auto json_reader::number(std::string_view name, double& target, double minimum, double maximum)
    -> json_reader&
{
    const auto* found = this->member(name);
    if (found == nullptr)
    {
        return *this;
    }
    if (!found->is_number() || found->get<double>() < minimum || found->get<double>() > maximum)
    {
        this->add_error(name, "is " + to_json_text(*found) + "; allowed: a number from " +
                                  to_json_text(minimum) + " to " + to_json_text(maximum));
        return *this;
    }
    target = found->get<double>();
    return *this;
}

auto json_reader::choice(std::string_view name, std::string& target,
                         const std::vector<std::string>& allowed) -> json_reader&
{
    const auto* found = this->member(name);
    if (found == nullptr)
    {
        return *this;
    }
    const auto is_valid =
        found->is_string() &&
        std::find(allowed.begin(), allowed.end(), found->get<std::string>()) != allowed.end();
    if (!is_valid)
    {
        std::string allowed_list;
        for (const auto& item : allowed)
        {
            allowed_list += (allowed_list.empty() ? "" : ", ") + item;
        }
        this->add_error(name, "is " + to_json_text(*found) + "; allowed: " + allowed_list);
        return *this;
    }
    target = found->get<std::string>();
    return *this;
}

auto json_reader::texts(std::string_view name, std::vector<std::string>& target) -> json_reader&
{
    const auto* found = this->member(name);
    if (found == nullptr)
    {
        return *this;
    }
    const auto is_valid =
        found->is_array() && std::all_of(found->begin(), found->end(),
                                         [](const auto& item) { return item.is_string(); });
    if (!is_valid)
    {
        this->add_error(name, "allowed: an array of strings");
        return *this;
    }
    target = found->get<std::vector<std::string>>();
    return *this;
}

auto json_reader::require(std::string_view name) -> json_reader&
{
    if (this->member(name) == nullptr)
    {
        this->add_error(name, "is missing");
    }
    return *this;
}

auto json_reader::finish() -> void
{
    if (!this->object.is_object() || !this->refuse_unknown)
    {
        return;
    }
    for (const auto& [name, value] : this->object.items())
    {
        if (this->known_names.contains(name))
        {
            continue;
        }
        const auto suggestion = nearest_name(name, this->known_names);
        this->add_error(name, suggestion.empty()
                                  ? "unknown key"
                                  : "unknown key; did you mean \"" + suggestion + "\"?");
    }
}

} // namespace poplardrift
