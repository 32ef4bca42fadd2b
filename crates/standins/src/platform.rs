//! Stand-in for the platform below the cluster.
//!
//! It serves the list of backend servers that are about to leave, which is published with a
//! delay, and a weight store that limits the rate of loads.

use coordination::retry::Bucket;
use protocol::backend::InstanceList;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Request, Response, Router, handler};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Numbers of loads that the weight store served and refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of loads that were served.
    pub served: u64,
    /// Number of loads that were refused because they exceeded the rate limit.
    pub refused: u64,
}

/// A platform; clones share one state.
#[derive(Clone)]
pub struct Platform(Arc<Shared>);

struct Shared {
    /// Delay with which the instance list is published.
    lag: Duration,
    start: Instant,
    /// Announced leaves with their time.
    leaving: Mutex<Vec<(Instant, String)>>,
    /// Rate limit and counts of the weight store.
    loads: Mutex<(Bucket, Counts)>,
}

impl Platform {
    /// Creates a platform whose list is published `lag_ms` milliseconds late and whose weight
    /// store serves up to `loads_per_second`.
    pub fn new(lag_ms: u64, loads_per_second: f64) -> Self {
        let bucket = Bucket::new(loads_per_second, loads_per_second.max(2.0), 0);
        Self(Arc::new(Shared {
            lag: Duration::from_millis(lag_ms),
            start: Instant::now(),
            leaving: Mutex::default(),
            loads: Mutex::new((bucket, Counts::default())),
        }))
    }

    /// Returns the routes of the platform's HTTP interface.
    pub fn router(&self) -> Router {
        Router::new()
            .push(Router::with_path("instances").get(List(self.clone())))
            .push(Router::with_path("leave/{name}").post(Leave(self.clone())))
            .push(Router::with_path("weights").post(Load(self.clone())).get(Count(self.clone())))
    }

    /// Returns the leaves that were announced at least the delay ago.
    fn list(&self) -> InstanceList {
        let leaving = self.0.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        let published =
            leaving.iter().filter(|(announced_at, _)| *announced_at + self.0.lag <= Instant::now());
        let leaving: Vec<String> = published.map(|(_, name)| name.clone()).collect();
        InstanceList { leaving: leaving.into() }
    }

    /// Counts a load; status 429 above the rate limit.
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

/// Handler of the instance list.
struct List(Platform);
/// Handler that announces that a backend server is about to leave.
struct Leave(Platform);
/// Handler of weight loads.
struct Load(Platform);
/// Handler that returns the counts of the weight store.
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
impl Load {
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
