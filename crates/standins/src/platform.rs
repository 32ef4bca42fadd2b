//! Stand-in for the platform: a lagging instance list and a rate-limited weight store.

use coordination::retry::Bucket;
use protocol::backend::InstanceList;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Request, Response, Router, handler};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Counts of the weight store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// Loads served.
    pub served: u64,
    /// Loads above the rate.
    pub refused: u64,
}

/// The platform.
#[derive(Clone)]
pub struct Platform(Arc<Shared>);

struct Shared {
    lag: Duration,
    start: Instant,
    leaving: Mutex<Vec<(Instant, String)>>,
    loads: Mutex<(Bucket, Loads)>,
}

impl Platform {
    /// A platform whose list lags by `lag_ms` and whose store serves so many loads a second.
    pub fn new(lag_ms: u64, loads_per_second: f64) -> Self {
        let bucket = Bucket::new(loads_per_second, loads_per_second.max(2.0), 0);
        Self(Arc::new(Shared {
            lag: Duration::from_millis(lag_ms),
            start: Instant::now(),
            leaving: Mutex::default(),
            loads: Mutex::new((bucket, Loads::default())),
        }))
    }

    /// Routes of the platform.
    pub fn router(&self) -> Router {
        Router::new()
            .push(Router::with_path("instances").get(List(self.clone())))
            .push(Router::with_path("leave/{name}").post(Leave(self.clone())))
            .push(Router::with_path("weights").post(Serve(self.clone())).get(Count(self.clone())))
    }

    fn list(&self) -> InstanceList {
        let leaving = self.0.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        let published = leaving.iter().filter(|(at, _)| *at + self.0.lag <= Instant::now());
        InstanceList { leaving: published.map(|(_, name)| name.clone()).collect() }
    }

    fn load(&self) -> StatusCode {
        let now = u64::try_from(self.0.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut loads = self.0.loads.lock().unwrap_or_else(PoisonError::into_inner);
        if loads.0.take(now) {
            loads.1.served += 1;
            StatusCode::OK
        } else {
            loads.1.refused += 1;
            StatusCode::TOO_MANY_REQUESTS
        }
    }
}

struct List(Platform);
struct Leave(Platform);
struct Serve(Platform);
struct Count(Platform);

#[handler]
impl List {
    async fn handle(&self, response: &mut Response) {
        response.render(Json(self.0.list()));
    }
}

#[handler]
impl Leave {
    async fn handle(&self, request: &mut Request) {
        let name = request.param::<String>("name").unwrap_or_default();
        let mut leaving = self.0.0.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.push((Instant::now(), name));
    }
}

#[handler]
impl Serve {
    async fn handle(&self, response: &mut Response) {
        response.status_code(self.0.load());
    }
}

#[handler]
impl Count {
    async fn handle(&self, response: &mut Response) {
        let loads = self.0.0.loads.lock().unwrap_or_else(PoisonError::into_inner);
        response.render(Json(loads.1));
    }
}
