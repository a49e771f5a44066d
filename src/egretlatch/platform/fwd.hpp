#ifndef EGRETLATCH_PLATFORM_FWD_HPP
#define EGRETLATCH_PLATFORM_FWD_HPP

namespace egretlatch::platform
{

struct CallerRequest;
struct ConfigurationRow;
struct FeedPage;
struct Bounds;
struct ServerReport;
enum class ServerReportState;

} // namespace egretlatch::platform

#endif
