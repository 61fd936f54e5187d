//! Reads and validates a part of a balancer's file.

use crate::configuration::{self, ContentError};
use fernroute_fleet::configuration::MAX_CONTENT_BYTES;
use std::path::{Path, PathBuf};

/// Why a part of a balancer's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It could not be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// It is longer than the coordinators accept.
    #[error("{}: it has {bytes} bytes, the limit is {MAX_CONTENT_BYTES}", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its length.
        bytes: usize,
    },
    /// It is not UTF-8.
    #[error("{}: {source}", path.display())]
    NotUtf8 {
        /// The file.
        path: PathBuf,
        /// Where it is not UTF-8.
        source: std::string::FromUtf8Error,
    },
    /// A balancer would reject it.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All its faults.
        source: ContentError,
    },
}

/// Reads a file that is short enough to be entered.
pub fn read(path: &Path) -> Result<String, FileError> {
    let path = path.to_owned();
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(source) => return Err(FileError::Unreadable { path, source }),
    };
    if bytes.len() > MAX_CONTENT_BYTES {
        return Err(FileError::TooLong { path, bytes: bytes.len() });
    }
    String::from_utf8(bytes).map_err(|source| FileError::NotUtf8 { path, source })
}

/// Whether a balancer would accept `content`, which was read from `path`.
pub fn validate(path: &Path, content: &str) -> Result<(), FileError> {
    configuration::check_content(content)
        .map_err(|source| FileError::Invalid { path: path.to_owned(), source })
}
