#pragma once

// One host's quarantine with a clock of its own, for tests.

#include "quarantine/prompt_quarantine.hpp"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <vector>

namespace poplardrift::quarantine::tests
{

using namespace std::chrono_literals;

class recorded_decisions final : public quarantine_listener
{
public:
    auto on_quarantined(const part_evidence& evidence, bool) -> void override
    {
        this->quarantined.push_back(evidence.part);
    }
    auto on_released(const part_evidence& evidence, const part_release& release) -> void override
    {
        this->released.push_back(evidence.part);
        this->release_reasons.push_back(release.reason);
    }
    std::vector<routing::prompt_part_id> quarantined;
    std::vector<routing::prompt_part_id> released;
    std::vector<release_reason> release_reasons;
};

using part_list = std::vector<routing::prompt_part>;

inline auto parts_of(std::initializer_list<std::uint64_t> ids) -> part_list
{
    part_list parts;
    for (const auto id : ids)
    {
        parts.push_back({id, 100, routing::prompt_part_id(id)});
    }
    return parts;
}

inline constexpr std::uint64_t common = 1;  ///< in all prompts
inline constexpr std::uint64_t session = 2; ///< in prompts with the fatal part and in sound ones
inline constexpr std::uint64_t fatal = 3;

/// One host's decisions, with a clock and numbered requests and upstreams.
class one_host final
{
public:
    one_host() { this->warm_up(); }

    /// Ordinary traffic before the events of a test.
    auto warm_up() -> void
    {
        for (int number = 0; number < 50; ++number)
        {
            this->pass(20ms);
            this->answer({common, 1000U + static_cast<std::uint64_t>(number)});
        }
    }
    auto pass(duration time) -> void { this->now += time; }
    auto answer(std::initializer_list<std::uint64_t> ids) -> void
    {
        this->decisions.on_harmless({parts_of(ids), std::nullopt}, this->now, this->now);
    }
    auto interrupt(std::initializer_list<std::uint64_t> ids, std::uint32_t upstream,
                   std::uint32_t request) -> void
    {
        this->decisions.on_interrupted({parts_of(ids), std::nullopt}, upstream_instance(upstream),
                                       request_key(request), this->now);
    }
    /// The same for a request that its caller may repeat.
    auto interrupt_request(std::initializer_list<std::uint64_t> ids, std::uint64_t whole,
                           std::uint32_t upstream) -> void
    {
        this->decisions.on_interrupted({parts_of(ids), routing::prompt_part_id(whole)},
                                       upstream_instance(upstream), request_key(++this->attempts),
                                       this->now);
    }
    [[nodiscard]] auto is_request_refused(std::initializer_list<std::uint64_t> ids,
                                          std::uint64_t whole) const -> bool
    {
        return this->decisions
            .find_refusal({parts_of(ids), routing::prompt_part_id(whole)}, this->now)
            .has_value();
    }
    [[nodiscard]] auto is_refused(std::initializer_list<std::uint64_t> ids) const -> bool
    {
        return this->decisions.find_refusal({parts_of(ids), std::nullopt}, this->now).has_value();
    }
    auto merge_from(const one_host& other) -> void
    {
        this->decisions.merge(other.decisions.evidence_to_share(other.now).parts, this->now);
    }
    /// Three engines end under two requests with the fatal part.
    auto quarantine_fatal_part() -> void
    {
        this->interrupt({common, session, fatal}, 1, 1);
        this->pass(200ms);
        this->interrupt({common, session, fatal}, 2, 1);
        this->pass(200ms);
        this->answer({common, session});
        this->interrupt({common, session, fatal}, 3, 2);
    }

    time_point now{std::chrono::seconds(1000)};
    std::uint32_t attempts = 1'000'000;
    recorded_decisions recorded;
    prompt_quarantine decisions{this->recorded};
};

inline const routing::host_group single_host{routing::host_key(1), {}, true, 1};

} // namespace poplardrift::quarantine::tests
