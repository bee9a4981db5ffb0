//! The `fescuebay` program.

use std::process::ExitCode;

use fescuebay::cli;

fn main() -> ExitCode {
    match cli::run(std::env::args_os()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("fescuebay: {report:#}");
            cli::exit_code(&report)
        }
    }
}
