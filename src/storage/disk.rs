//! File operations in one folder, behind a trait so that tests can inject faults.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use error_stack::{Report, ResultExt as _, bail};

use super::{Error, Result};

const LOCK_FILE: &str = "lock";

/// Access to the files of one folder by name. File content is durable only after [`Disk::sync`],
/// file names only after [`Disk::sync_folder`].
///
/// A clone is another handle to the same folder, for use by another thread.
pub trait Disk: Clone + Send {
    /// Lists the names of all files except the lock file.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads the whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, which must not exist yet.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends bytes to a file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, length_bytes: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes creations, renames and removals durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder in the file system, locked against other processes.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Holds the lock until the last handle is dropped.
    lock: Arc<File>,
    /// The file that was last appended to.
    current: Option<(String, File)>,
}

impl Folder {
    /// Opens and locks a folder, which is created if it is missing.
    ///
    /// # Errors
    /// Another process uses the folder, or a file operation fails.
    pub fn open(path: &Path) -> Result<Self> {
        let io_error = |step| Error::Io {
            step,
            file: path.display().to_string(),
            reason: "see the cause".to_owned(),
        };
        fs::create_dir_all(path).change_context(io_error("make the folder"))?;
        let mut options = File::options();
        let lock = options
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .change_context(io_error("open the lock file in"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => {
                bail!(Error::Locked { folder: path.display().to_string() })
            }
            Err(fs::TryLockError::Error(error)) => {
                return Err(Report::new(error).change_context(io_error("lock")));
            }
        }
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            // Makes the entry of the folder in its parent durable.
            let synced = File::open(parent).and_then(|parent| parent.sync_all());
            synced.change_context(io_error("sync the parent of"))?;
        }
        Ok(Self { path: path.to_owned(), lock: Arc::new(lock), current: None })
    }

    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        let is_current = self.current.as_ref().is_some_and(|(current, _)| current == name);
        if !is_current {
            let file = File::options().append(true).open(self.path.join(name))?;
            self.current = Some((name.to_owned(), file));
        }
        match &mut self.current {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Clone for Folder {
    fn clone(&self) -> Self {
        Self { path: self.path.clone(), lock: self.lock.clone(), current: None }
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = File::options().append(true).create_new(true).open(self.path.join(name))?;
        self.current = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length_bytes: u64) -> io::Result<()> {
        self.open_for_append(name)?.set_len(length_bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.current = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
