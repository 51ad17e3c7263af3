// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CLI_EXITCODE_H
#define HALLCHUTE_CLI_EXITCODE_H

namespace Hallchute {

/// \brief Exit codes of the commands; documented in docs/OPERATIONS.md.
/// \ingroup Cli
enum class ExitCode : int {
  ok = 0,
  /// The command line is wrong.
  usage = 2,
  /// The input has findings; they were printed with their locations.
  invalid = 3,
  /// Another change was accepted first.
  conflict = 4,
  /// The daemon or the platform can't be reached; nothing was changed.
  unavailable = 5,
  /// It is not known whether the change was accepted.
  unknown = 6,
  /// The daemon refused the call.
  refused = 7,
};

}  // namespace Hallchute

#endif  // HALLCHUTE_CLI_EXITCODE_H
