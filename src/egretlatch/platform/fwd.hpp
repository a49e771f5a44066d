#ifndef EGRETLATCH_PLATFORM_FWD_HPP
#define EGRETLATCH_PLATFORM_FWD_HPP

namespace egretlatch::platform
{

struct CallerRequest;
struct AcceptedConfiguration;
struct ConfigurationPage;
struct Bounds;
struct ServerReport;
enum class ServerReportState;

} // namespace egretlatch::platform

#endif
