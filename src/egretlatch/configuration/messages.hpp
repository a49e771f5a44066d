#ifndef EGRETLATCH_CONFIGURATION_MESSAGES_HPP
#define EGRETLATCH_CONFIGURATION_MESSAGES_HPP

#include <cstdint>
#include <string>

#include <QByteArray>

namespace egretlatch::configuration
{

/*! @brief Says which configuration a daemon has in force. */
struct Advert
{
    /*! @brief Zero for none. */
    std::uint64_t version{};
    std::string hash;
    /*! @brief Address of the sender's peer socket, for a receiver that does not know it yet. */
    std::string endpoint;

    friend bool operator==(const Advert &, const Advert &) = default;
};

/*! @brief Asks for the manifest with a hash. */
struct BodyRequest
{
    std::string hash;
    /*! @brief Address of the sender's peer socket. */
    std::string endpoint;

    friend bool operator==(const BodyRequest &, const BodyRequest &) = default;
};

/*! @brief A manifest that was asked for. */
struct BodyReply
{
    std::string hash;
    /*! @brief Empty if the sender does not hold it. */
    QByteArray manifest;

    friend bool operator==(const BodyReply &, const BodyReply &) = default;
};

} // namespace egretlatch::configuration

#endif
