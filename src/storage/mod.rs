//! Durable storage of a voter: write-ahead log and snapshots in its data folder.
//!
//! The folder holds `meta` (identity of the owner), `log-N` segments and one `snapshot-N`. Every
//! write to the log is one frame with its length and checksum, and the next frame is written only
//! after the file is synced. Therefore an invalid frame with a complete frame after it was damaged
//! after its sync, and the folder is refused. An invalid frame at the end of the log was never
//! acknowledged and is truncated.

pub mod disk;
pub mod frame;
pub mod record;
mod replay;
pub mod store;
pub mod writer;

use std::fmt;

use error_stack::Report;

/// Why the data folder cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// An operation on a file failed.
    Io {
        /// The operation that failed.
        step: &'static str,
        /// The file.
        file: String,
        /// The error of the operating system.
        reason: String,
    },
    /// Another process uses the folder.
    Locked {
        /// The folder.
        folder: String,
    },
    /// Synced data cannot be read back.
    Damaged {
        /// The file.
        file: String,
        /// Offset of the damage in the file, in bytes.
        offset: u64,
        /// The kind of damage.
        reason: &'static str,
    },
    /// The folder belongs to another cluster, group or daemon.
    Foreign {
        /// Which part of the identity differs.
        what: &'static str,
        /// The value in the settings.
        expected: String,
        /// The value in the folder.
        found: String,
    },
    /// A newer version of the program wrote the folder.
    NewerFormat {
        /// The format of the folder.
        found: u32,
        /// The newest format that this program reads.
        known: u32,
    },
    /// An earlier write or sync failed; no further write is accepted.
    Stopped,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { step, file, reason } => write!(f, "cannot {step} {file}: {reason}"),
            Self::Locked { folder } => write!(f, "another process uses the data folder {folder}"),
            Self::Damaged { file, offset, reason } => {
                write!(f, "{file} is damaged at byte {offset}: {reason}")
            }
            Self::Foreign { what, expected, found } => {
                write!(f, "the data folder is of {what} {found}, the settings say {expected}")
            }
            Self::NewerFormat { found, known } => {
                write!(f, "the data folder has format {found}, this program reads up to {known}")
            }
            Self::Stopped => f.write_str("an earlier write or sync of the data folder failed"),
        }
    }
}

impl std::error::Error for Error {}

/// The result of an operation on the data folder.
pub type Result<T> = std::result::Result<T, Report<Error>>;
