//! Entry point and output of the `quickstart` and `bench` commands.

use std::future::Future;
use std::process::ExitCode;

/// Number of worker threads of the runtime.
const WORKER_THREADS: usize = 2;

/// Runs the task of the command `name` to completion.
///
/// The exit code is 0 only if the task returns `true`; an error is printed.
pub fn run(name: &str, task: impl Future<Output = std::io::Result<bool>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let result = runtime.and_then(|runtime| runtime.block_on(task));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            print_line(&format!("{name}: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Prints a line to the standard output.
#[expect(clippy::print_stdout, reason = "progress and results go to standard output")]
pub fn print_line(text: &str) {
    println!("{text}");
}
