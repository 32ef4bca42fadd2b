//! What the measuring programs share.

use std::future::Future;
use std::process::ExitCode;

/// Threads that run callers.
const WORKERS: usize = 2;

/// Runs a program's task; its exit code is 0 if the task gives `true`.
pub fn run(name: &str, task: impl Future<Output = std::io::Result<bool>>) -> ExitCode {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
    let result = runtime.and_then(|runtime| runtime.block_on(task));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            say(&format!("{name}: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Prints one line.
#[expect(clippy::print_stdout, reason = "progress and results are the programs' output")]
pub fn say(text: &str) {
    println!("{text}");
}
