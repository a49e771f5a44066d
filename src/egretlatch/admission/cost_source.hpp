#ifndef EGRETLATCH_ADMISSION_COST_SOURCE_HPP
#define EGRETLATCH_ADMISSION_COST_SOURCE_HPP

namespace egretlatch::admission
{

/*! @brief Where it is known from what a root costs at the services down its chain. */
enum class CostSource {
    /*! @brief The operators declare costs and calls. */
    declared,
    /*! @brief Runs and their calls show it; configurations declare neither. */
    observed,
};

} // namespace egretlatch::admission

#endif
