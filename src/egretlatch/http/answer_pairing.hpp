#ifndef EGRETLATCH_HTTP_ANSWER_PAIRING_HPP
#define EGRETLATCH_HTTP_ANSWER_PAIRING_HPP

namespace egretlatch::http
{

/*! @brief Relation of an answer to the request that waits for one. */
enum class AnswerPairing {
    /*! @brief It is a late answer to an earlier request. */
    other,
    /*! @brief It names no request; only its place on the connection speaks for one. */
    unnamed,
    /*! @brief It belongs to this request. */
    own,
};

} // namespace egretlatch::http

#endif
