#ifndef EGRETLATCH_CONFIGURATION_MESSAGES_HPP
#define EGRETLATCH_CONFIGURATION_MESSAGES_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <QByteArray>

#include <egretlatch/store/store_time.hpp>

namespace egretlatch::configuration
{

/*! @brief Advertisement of the configuration that a daemon has in force. */
struct Advert
{
    /*! @brief Version in force; zero for none. */
    std::uint64_t version{};
    std::string hash;
    /*! @brief Address of the sender's peer socket, for receivers that do not know it yet. */
    std::string endpoint;
    /*! @brief Age of the latest confirmation by the store that no newer version was accepted, as known to the sender; empty for none. */
    std::optional<std::chrono::milliseconds> confirmedAge{};
    /*! @brief Time of the store's clock up to which no newer version was accepted, as proven to the sender; empty for none. */
    std::optional<store::StoreTime> provenAt{};

    friend bool operator==(const Advert &, const Advert &) = default;
};

/*! @brief Request for the manifest with a given hash. */
struct BodyRequest
{
    std::string hash;
    /*! @brief Address of the sender's peer socket. */
    std::string endpoint;

    friend bool operator==(const BodyRequest &, const BodyRequest &) = default;
};

/*! @brief Reply to a BodyRequest. */
struct BodyReply
{
    std::string hash;
    /*! @brief The manifest; empty if the sender does not hold it. */
    QByteArray manifest;

    friend bool operator==(const BodyReply &, const BodyReply &) = default;
};

} // namespace egretlatch::configuration

#endif
