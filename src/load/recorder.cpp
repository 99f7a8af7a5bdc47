#include "load/recorder.hpp"

#include <algorithm>

namespace poplardrift::load
{

auto recorder::add(chat_sample sample) -> void
{
    const std::lock_guard lock(this->mutex);
    this->chat_samples.push_back(std::move(sample));
}

auto recorder::add(booking_sample sample) -> void
{
    const std::lock_guard lock(this->mutex);
    this->booking_samples.push_back(std::move(sample));
}

auto recorder::add_loads(double at_seconds, std::map<std::string, int> loads) -> void
{
    const std::lock_guard lock(this->mutex);
    this->load_samples.emplace_back(at_seconds, std::move(loads));
}

auto recorder::add_mark(double at_seconds, const std::string& what) -> void
{
    const std::lock_guard lock(this->mutex);
    this->mark_list.emplace_back(at_seconds, what);
}

auto percentile(std::vector<double> values, double share) -> double
{
    if (values.empty())
    {
        return 0.0;
    }
    const auto position = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position),
                     values.end());
    return values[position];
}

} // namespace poplardrift::load
