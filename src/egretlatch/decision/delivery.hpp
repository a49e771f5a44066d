#ifndef EGRETLATCH_DECISION_DELIVERY_HPP
#define EGRETLATCH_DECISION_DELIVERY_HPP

namespace egretlatch::decision
{

/*! @brief How many lives of a daemon a message between daemons may reach. */
enum class Delivery {
    /*! @brief What an earlier life was given may come to a later one too. */
    severalIncarnations,
    /*! @brief A message is given to one connection once, and that ends with the life that took it. */
    oneIncarnation,
};

} // namespace egretlatch::decision

#endif
