#ifndef EGRETLATCH_ADMISSION_COST_SOURCE_HPP
#define EGRETLATCH_ADMISSION_COST_SOURCE_HPP

namespace egretlatch::admission
{

/*! @brief Source of the slot time that a root takes at the services of its call chain. */
enum class CostSource {
    /*! @brief Declared costs and calls from the configuration. */
    declared,
    /*! @brief Observed runs and their calls; the configuration declares neither costs nor calls. */
    observed,
};

} // namespace egretlatch::admission

#endif
