#ifndef EGRETLATCH_CLI_FWD_HPP
#define EGRETLATCH_CLI_FWD_HPP

namespace egretlatch::cli
{

enum ExitCode : int;

class QtMessageLog;

} // namespace egretlatch::cli

#endif
