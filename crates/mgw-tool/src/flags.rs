//! Definition of the command line. The doc comments of commands and flags are the help text.

use std::path::PathBuf;

xflags::xflags! {
    /// Checks, publishes and inspects a marigoldwall deployment.
    ///
    /// Every switch of this level also is a variable of the environment, such as
    /// MARIGOLDWALL_OPERATOR_KEY for --operator-key; a switch takes precedence. A variable that
    /// starts with MARIGOLDWALL_ and is not known is an error.
    ///
    /// Exit codes: 0 done; 1 the sheet has faults (with check --strict, or warnings), or the compared
    /// sheets differ; 2 wrong usage, settings or unreadable file; 3 the base is outdated, nothing was changed; 4 no entry
    /// reached, nothing was changed (for events: not every entry answered); 5 sent, but the outcome
    /// is not known; 6 refused by the entry, nothing was changed.
    cmd marigoldwall {
        /// IP address and port of an entry's operators interface; may be repeated
        repeated --entry address: String
        /// Bearer key of the operators
        optional --operator-key key: String
        /// Bound of one HTTP request in ms, 100 to 600000, 5000 by default
        optional --timeout-ms ms: String
        /// How long to ask for the outcome of a publication whose reply was lost, in ms, 0 to
        /// 600000, 20000 by default
        optional --settle-ms ms: String
        /// Print JSON instead of text
        optional --json

        /// Check a sheet before it is published: faults, contradictions and, with --against or
        /// --in-force, what differs
        cmd check {
            /// The sheet
            required file: PathBuf
            /// Compare with this sheet
            optional --against file: PathBuf
            /// Compare with the sheet in force, which is asked of the entries
            optional --in-force
            /// Treat warnings as errors
            optional --strict
        }

        /// Print the difference of two sheets; exit code 1 if there is one
        cmd diff {
            /// The old sheet
            required old: PathBuf
            /// The new sheet
            required new: PathBuf
        }

        /// Print the hash of a team's bearer key for column `key` of the sheet
        cmd hash-key {
            /// The bearer key
            required key: String
        }

        /// Publish a sheet
        cmd publish {
            /// The sheet
            required file: PathBuf
            /// The version that the sheet was made from; by default the one in force at the start
            optional --base version: u64
        }

        /// Print what publishing a sheet would lead to; changes nothing
        cmd preview {
            /// The sheet
            required file: PathBuf
        }

        /// Print how an instance or group stands, and the events that led there
        cmd why {
            /// instance or group
            required what: String
            /// Name of the instance or id of the group
            required name: String
        }

        /// Publish the sheet of an earlier version again
        cmd rollback {
            /// The version
            required version: u64
        }

        /// Print the versions that were in force
        cmd history {}

        /// Print config, groups, instances or entries
        cmd show {
            /// config, groups, instances or entries
            required what: String
        }

        /// Print the events of running entries in one order
        cmd events {
            /// Only events with a higher number at their entry
            optional --after seq: u64
            /// Only events of this request
            optional --request id: String
            /// Only events of this group
            optional --group id: u64
            /// Only events of this instance or server
            optional --instance name: String
            /// Only events of this team
            optional --team name: String
            /// Only events that this entry reports or that are about it
            optional --of-entry name: String
            /// Only events from this time on: ms since 1970 or UTC such as 2026-12-04T06:00:00
            optional --from time: String
            /// Only events up to this time
            optional --until time: String
            /// Only events of this severity or higher: debug, info, warn or error
            optional --severity name: String
        }

        /// Print the events of files, or of running entries if there is no file, in one order
        cmd timeline {
            /// Files with one event per line in JSON
            repeated files: PathBuf
            /// Only events of this request
            optional --request id: String
            /// Only events of this group
            optional --group id: u64
            /// Only events of this instance or server
            optional --instance name: String
            /// Only events of this team
            optional --team name: String
            /// Only events that this entry reports or that are about it
            optional --of-entry name: String
            /// Only events from this time on: ms since 1970 or UTC such as 2026-12-04T06:00:00
            optional --from time: String
            /// Only events up to this time
            optional --until time: String
            /// Only events of this severity or higher: debug, info, warn or error
            optional --severity name: String
        }

        /// Set or clear the mark of an instance or entry
        cmd mark {
            /// cordon (no new work), drain (move work away) or clear
            required mark: String
            /// instance or entry
            required target: String
            /// Name of the instance or entry
            required name: String
        }

        /// Confirm that the process of an entry has ended, which ends its custody of instances
        cmd gone {
            /// Name of the entry
            required entry: String
        }
    }
}
