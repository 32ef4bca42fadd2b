//! The buckthornshelf daemon.
//!
//! One program on every instance; its settings file says what else the instance does.
//! Exit codes: 0 after a planned stop or a passed check, 1 if the instance cannot start,
//! 2 for faulty settings.

use argh::FromArgs;
use protocol::settings::{Format, Log, Settings};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use transport::Node;

/// Threads that run the tasks of one instance.
const WORKERS: usize = 2;

/// Exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;

/// Schedules agent programs over backend servers.
#[derive(FromArgs)]
struct Arguments {
    /// settings file; without one, a single instance runs on loopback with its journal
    /// under ./data
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match read(arguments.settings.as_deref()) {
        Ok(settings) => settings,
        Err(text) => {
            complain(&text);
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    start_log(&settings.log);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            complain(&text);
            ExitCode::FAILURE
        }
    }
}

fn read(path: Option<&Path>) -> Result<Settings, String> {
    let Some(path) = path else {
        return Ok(Settings::default());
    };
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| format!("{}: {error}", path.display()))?;
    let mut settings =
        Settings::parse(&text).map_err(|faults| format!("{}:\n{faults}", path.display()))?;
    settings.resolve(path.parent().unwrap_or(Path::new(".")));
    Ok(settings)
}

async fn run(settings: Settings) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let name = settings.name.clone();
    let starting = Node::start(settings);
    let node = tokio::select! {
        node = starting => node.map_err(|error| error.to_string())?,
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

fn start_log(log: &Log) {
    let filter = tracing_subscriber::EnvFilter::new(&log.filter);
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match log.format {
        Format::Text => builder.with_ansi(false).init(),
        Format::Json => builder.json().init(),
    }
}

#[expect(clippy::print_stderr, reason = "the log may not have started")]
fn complain(text: &str) {
    eprintln!("buckthornshelfd: {text}");
}
