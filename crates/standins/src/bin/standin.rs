//! Serves one stand-in over HTTP: a model engine, a tool service or the platform.

use argh::FromArgs;
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use standins::engine::{self, Engine};
use standins::platform::Platform;
use standins::tool::Tool;
use std::path::PathBuf;
use tokio::net::TcpListener;

/// Serves a stand-in for a system around buckthornshelf.
#[derive(FromArgs)]
struct Arguments {
    /// engine, tool or platform
    #[argh(positional)]
    kind: String,
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// path of the ledger file
    #[argh(option, default = "PathBuf::from(\"standin.ledger\")")]
    ledger: PathBuf,
    /// time to generate one token, in microseconds
    #[argh(option, default = "2000")]
    token_us: u64,
    /// time to compute one prompt token, in microseconds
    #[argh(option, default = "20")]
    prefill_us: u64,
    /// number of streams that run at full speed
    #[argh(option, default = "8")]
    slots: u32,
    /// size of the prefix cache, in tokens
    #[argh(option, default = "200000")]
    cache_tokens: u64,
    /// delay of the load report or the instance list, in milliseconds
    #[argh(option, default = "200")]
    lag_ms: u64,
    /// lose every n-th cache event; 0 loses none
    #[argh(option, default = "0")]
    lose_event_every: u64,
    /// execute orders with a stale fencing token
    #[argh(switch)]
    ignore_fence: bool,
    /// URL of the weight store; none if loading does not use it
    #[argh(option)]
    weight_store: Option<String>,
    /// maximum number of loads per second that the weight store serves
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

/// Returns the routes of the stand-in of the given kind.
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
        other => Err(format!("unknown kind {other:?}; accepted: engine, tool, platform").into()),
    }
}
