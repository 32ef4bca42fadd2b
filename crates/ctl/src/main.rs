//! `buckthornctl`, the command-line tool for operators of a buckthornshelf deployment.
//!
//! Exit codes: 0 success, 1 request refused by an instance, 2 invalid arguments or files, 3 no
//! instance responded, 4 a ticket was accepted but was not in force within the wait.

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
            print_output(&text);
            ExitCode::SUCCESS
        }
        Err(error) => {
            print_error(&error.to_string());
            ExitCode::from(error.exit_code())
        }
    }
}

#[expect(clippy::print_stdout, reason = "the output of a command goes to standard output")]
fn print_output(text: &str) {
    println!("{}", text.trim_end());
}

#[expect(clippy::print_stderr, reason = "errors go to standard error")]
fn print_error(text: &str) {
    eprintln!("buckthornctl: {text}");
}
