//! Runs one stand-in as a process.

use argh::FromArgs;
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use standins::engine::{self, Engine};
use standins::platform::Platform;
use standins::tool::Tool;
use std::path::PathBuf;
use tokio::net::TcpListener;

/// One stand-in for a system around buckthornshelf.
#[derive(FromArgs)]
struct Arguments {
    /// engine, tool or platform
    #[argh(positional)]
    kind: String,
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// ledger file
    #[argh(option, default = "PathBuf::from(\"standin.ledger\")")]
    ledger: PathBuf,
    /// time for one token, in microseconds
    #[argh(option, default = "2000")]
    token_us: u64,
    /// time to compute one prompt token, in microseconds
    #[argh(option, default = "20")]
    prefill_us: u64,
    /// streams that run at full speed
    #[argh(option, default = "8")]
    slots: u32,
    /// size of the prefix cache, in tokens
    #[argh(option, default = "200000")]
    cache_tokens: u64,
    /// lag of load report or instance list, in milliseconds
    #[argh(option, default = "200")]
    lag_ms: u64,
    /// every how many cache events one is lost; 0 loses none
    #[argh(option, default = "0")]
    lose_event_every: u64,
    /// obey orders with an old fencing number
    #[argh(switch)]
    ignore_fence: bool,
    /// URL of the weight store
    #[argh(option)]
    weight_store: Option<String>,
    /// loads a second that the weight store serves
    #[argh(option, default = "2.0")]
    loads_per_second: f64,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 1)]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Arguments = argh::from_env();
    let listener = TcpListener::bind(&arguments.listen).await?;
    let router = router(arguments)?;
    Server::new(TcpAcceptor::try_from(listener)?).serve(router).await;
    Ok(())
}

fn router(arguments: Arguments) -> Result<Router, Box<dyn std::error::Error>> {
    let incarnation = standins::ledger::now_us();
    match arguments.kind.as_str() {
        "engine" => {
            let settings = engine::Settings {
                token_us: arguments.token_us,
                prefill_us: arguments.prefill_us,
                slots: arguments.slots,
                cache_tokens: arguments.cache_tokens,
                report_lag_ms: arguments.lag_ms,
                lose_event_every: arguments.lose_event_every,
                ignores_fence: arguments.ignore_fence,
                weight_store: arguments.weight_store,
                ledger: arguments.ledger,
            };
            Ok(Engine::new(settings, incarnation)?.router())
        }
        "tool" => Ok(Tool::new(&arguments.ledger, incarnation)?.router()),
        "platform" => Ok(Platform::new(arguments.lag_ms, arguments.loads_per_second).router()),
        other => Err(format!("kind {other:?}; accepted: engine, tool, platform").into()),
    }
}
