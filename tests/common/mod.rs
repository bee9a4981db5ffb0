//! Shared by the tests of the built binary.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod process;
pub mod proxy;

use std::path::PathBuf;
use std::process::{Command, Output};

/// Where the folder of this name is.
pub fn path_of(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// A folder of this name for one test, empty at first.
pub fn folder(name: &str) -> PathBuf {
    let folder = path_of(name);
    if folder.exists() {
        std::fs::remove_dir_all(&folder).unwrap();
    }
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// The built binary, without settings from the environment.
pub fn fescuebay() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fescuebay"));
    for variable in ["FESCUEBAY_ADMIN", "FESCUEBAY_TOKEN", "FESCUEBAY_TOKEN_FILE"] {
        command.env_remove(variable);
    }
    command
}

/// What a command wrote to standard output.
pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// What a command wrote to standard error.
pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}
