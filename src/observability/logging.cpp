#include "observability/logging.hpp"

#include "net/clock.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace poplardrift
{

namespace
{

constexpr std::size_t max_recent_lines = 500;

auto logger() -> const log4cxx::LoggerPtr&
{
    static const auto instance = log4cxx::Logger::getLogger("poplardrift");
    return instance;
}

auto level_from(const std::string& text) -> log4cxx::LevelPtr
{
    if (text == "debug")
    {
        return log4cxx::Level::getDebug();
    }
    if (text == "warning")
    {
        return log4cxx::Level::getWarn();
    }
    return text == "error" ? log4cxx::Level::getError() : log4cxx::Level::getInfo();
}

} // namespace

event_log::event_log(const std::string& host, const std::string& level) : host(host)
{
    const auto layout =
        std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
    logger()->removeAllAppenders();
    logger()->setAdditivity(false);
    logger()->addAppender(appender);
    logger()->setLevel(level_from(level));
}

auto event_log::write(const event& occurred) -> void
{
    const auto& entry = describe(occurred.code);
    auto line = "E" + std::to_string(static_cast<int>(occurred.code)) + " " +
                std::string(entry.name) + " host=" + this->host +
                (occurred.detail.empty() ? "" : " " + occurred.detail);
    switch (entry.level)
    {
    case event_level::debug:
        LOG4CXX_DEBUG(logger(), line);
        return;
    case event_level::info:
        LOG4CXX_INFO(logger(), line);
        break;
    case event_level::warning:
        LOG4CXX_WARN(logger(), line);
        break;
    case event_level::error:
        LOG4CXX_ERROR(logger(), line);
        break;
    }
    const std::lock_guard lock(this->mutex);
    this->recent_lines.push_back(std::to_string(wall_clock_ms()) + " " + line);
    if (this->recent_lines.size() > max_recent_lines)
    {
        this->recent_lines.pop_front();
    }
}

auto event_log::recent() const -> std::vector<std::string>
{
    const std::lock_guard lock(this->mutex);
    return {this->recent_lines.begin(), this->recent_lines.end()};
}

} // namespace poplardrift
