//! The buckthornshelf command-line tool.
//!
//! Exit codes: 0 success, 1 refused by the system, 2 faulty arguments or files, 3 no
//! instance answered, 4 a ticket was accepted but is not in force within the wait.

mod arguments;
mod call;
mod client;
mod commands;
mod error;
mod members;
mod table;

use arguments::Arguments;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match commands::run(arguments).await {
        Ok(text) => {
            print(&text);
            ExitCode::SUCCESS
        }
        Err(error) => {
            complain(&error.to_string());
            ExitCode::from(error.exit_code())
        }
    }
}

#[expect(clippy::print_stdout, reason = "the tool's output")]
fn print(text: &str) {
    println!("{}", text.trim_end());
}

#[expect(clippy::print_stderr, reason = "the tool's errors")]
fn complain(text: &str) {
    eprintln!("buckthornctl: {text}");
}
