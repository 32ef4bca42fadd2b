//! `buckthornshelfd`, the daemon that runs on every instance of a deployment.
//!
//! It reads the settings file, starts the instance and stops it on SIGTERM or SIGINT.
//! Exit codes: 0 after a requested stop or a successful check, 1 if the instance cannot start,
//! 2 for invalid settings.

use argh::FromArgs;
use protocol::settings::Settings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use transport::{Node, log};

/// Worker threads of the asynchronous runtime.
const WORKER_THREADS: usize = 2;

/// Exit code for settings that cannot be read or are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Schedules agent programs over backend servers.
#[derive(FromArgs)]
struct Arguments {
    /// settings file; by default, a single instance runs on loopback and stores its journals in
    /// ./data
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match read_settings(arguments.settings.as_deref()) {
        Ok(settings) => settings,
        Err(message) => {
            return fail(&message, ExitCode::from(EXIT_INVALID_SETTINGS));
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    let log = log::Settings {
        filter: settings.log.filter.clone(),
        format: settings.log.format,
        ..log::Settings::default()
    };
    let _log = match log::start(&log, Box::new(std::io::stderr())) {
        Ok(log) => log,
        Err(error) => {
            return fail(&error.to_string(), ExitCode::from(EXIT_INVALID_SETTINGS));
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => fail(&message, ExitCode::FAILURE),
    }
}

/// Reads the settings file and resolves its paths against its folder; default settings without
/// a path.
fn read_settings(path: Option<&Path>) -> Result<Settings, String> {
    let Some(path) = path else {
        return Ok(Settings::default());
    };
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| format!("{}: {error}", path.display()))?;
    let mut settings =
        Settings::parse(&text).map_err(|errors| format!("{}:\n{errors}", path.display()))?;
    settings.resolve(path.parent().unwrap_or(Path::new(".")));
    Ok(settings)
}

async fn run(settings: Settings) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let name = settings.name.clone();
    let start = Node::start(settings);
    let node = tokio::select! {
        node = start => node.map_err(|error| error.to_string())?,
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    let (callers, operators) = (node.callers_address(), node.operators_address());
    tracing::info!(name, %callers, %operators, "listening");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    Ok(())
}

fn fail(message: &str, code: ExitCode) -> ExitCode {
    log::report(format!("buckthornshelfd: {message}"));
    code
}
