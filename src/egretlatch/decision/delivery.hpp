#ifndef EGRETLATCH_DECISION_DELIVERY_HPP
#define EGRETLATCH_DECISION_DELIVERY_HPP

namespace egretlatch::decision
{

/*! @brief Limits the incarnations of a daemon that one message may reach. */
enum class Delivery {
    /*! @brief A message delivered to one incarnation may be delivered to a later one again. */
    severalIncarnations,
    /*! @brief A message is written to one connection once, and the connection ends with the incarnation that accepted it. */
    oneIncarnation,
};

} // namespace egretlatch::decision

#endif
