//! The data folder of a voter: what is written there and what counts as synced.
//!
//! The folder holds `meta` (whose folder it is), `log-N` segments and one `snapshot-N`. Every
//! write of the log is one frame with its length and checksum, and the next frame is written only
//! once the file is synced. So a bad frame with a whole frame behind it was damaged after it was
//! synced, which is refused; one with nothing behind it was never acknowledged and is cut off.

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
        /// What was being done.
        step: &'static str,
        /// The file.
        file: String,
        /// What the system said.
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
        /// Where in the file, in bytes.
        offset: u64,
        /// What is wrong there.
        reason: &'static str,
    },
    /// The folder belongs to something else.
    Foreign {
        /// Which part of the identity differs.
        what: &'static str,
        /// What the settings say.
        expected: String,
        /// What the folder says.
        found: String,
    },
    /// A newer version of the program wrote the folder.
    NewerFormat {
        /// The format of the folder.
        found: u32,
        /// The newest format that this program reads.
        known: u32,
    },
    /// An earlier write or sync failed, after which nothing more is acknowledged.
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
