#include "address_block.hpp"

#include <stdexcept>

namespace poplardrift::soak
{

namespace
{

constexpr std::uint16_t claim_port = 7339;
constexpr int last_network = 250;
constexpr std::size_t first_host_number = 10;

} // namespace

address_block::address_block(int first_network) : claim(this->io)
{
    for (auto network = first_network; network <= last_network; ++network)
    {
        const auto address =
            boost::asio::ip::make_address_v4("127." + std::to_string(network) + ".0.1");
        boost::system::error_code error;
        this->claim.open(boost::asio::ip::tcp::v4(), error);
        if (!error)
        {
            this->claim.bind({address, claim_port}, error);
        }
        if (!error)
        {
            this->claim.listen(1, error);
        }
        if (!error)
        {
            this->claimed = network;
            return;
        }
        this->claim.close(error);
    }
    throw std::runtime_error("no free block of loopback addresses");
}

auto address_block::address(std::size_t number) const -> std::string
{
    return "127." + std::to_string(this->claimed) + ".0." +
           std::to_string(first_host_number + number);
}

} // namespace poplardrift::soak
